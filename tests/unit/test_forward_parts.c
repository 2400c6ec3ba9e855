/* The parts of routed traffic that need no network: routes, records, messages, streams,
   the log. */
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/decision_log.h"
#include "forward/event_cutter.h"
#include "forward/gateway.h"
#include "forward/mesh_message.h"
#include "forward/prefix_memory.h"
#include "platform/platform.h"
#include "platform/records.h"
#include "route/routes.h"
#include "settings/forward_settings.h"
#include "tests/harness/run_suite.h"

static const char config_text[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"host\":\"h.example\",\"path-prefix\":\"/x/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":800,\"max-attempts\":2,"
      "\"service\":\"s1\",\"public\":false},"
      "{\"name\":\"b\",\"host\":\"h.example\",\"path-prefix\":\"/x/y/\","
      "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":6000,"
      "\"max-attempts\":2,\"backends\":[{\"service\":\"s1\",\"weight\":90},"
      "{\"service\":\"s2\",\"weight\":10}]}],"
      "\"services\":[{\"name\":\"s1\",\"max-conns\":9},"
      "{\"name\":\"kv\",\"kv-store-addr\":\"10.0.0.9:1\",\"zone\":\"z\"}],"
      "\"limits\":{\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],\"priority\":1,"
      "\"isolated\":true}]}";

static struct kcp_routes *
read_routes (const char *text)
{
  struct kcp_operator_record word;
  const char *why = NULL;

  if (!kcp_platform_read_operator (KCP_STR ("config"), kcp_str_from_c (text), &word, &why)
      || word.kind != KCP_OPERATOR_ROUTES)
    return NULL;
  return word.routes;
}

START_TEST (test_the_longest_prefix_of_the_host_wins)
{
  struct kcp_routes *routes = read_routes (config_text);
  const struct kcp_route *route;

  ck_assert_ptr_nonnull (routes);
  route = kcp_routes_find (routes, KCP_STR ("H.example:80"), KCP_STR ("/x/y/z?q=1"));
  ck_assert_str_eq (route->name, "b");
  ck_assert_int_eq (route->repeat, KCP_REPEAT_RESUMABLE);
  route = kcp_routes_find (routes, KCP_STR ("h.example"), KCP_STR ("/x/q"));
  ck_assert_str_eq (route->name, "a");
  ck_assert_ptr_null (kcp_routes_find (routes, KCP_STR ("h.example"), KCP_STR ("/x")));
  ck_assert_ptr_null (kcp_routes_find (routes, KCP_STR ("other"), KCP_STR ("/x/q")));
  kcp_routes_unref (routes);
}
END_TEST

START_TEST (test_keys_name_teams_and_services_share_by_weight)
{
  struct kcp_routes *routes = read_routes (config_text);
  const struct kcp_route *route = g_ptr_array_index (routes->routes, 1);
  unsigned second = 0;

  ck_assert_str_eq (kcp_routes_team (routes, KCP_STR ("k2"))->name, "t");
  ck_assert (kcp_routes_team (routes, KCP_STR ("k1"))->isolated);
  ck_assert_ptr_null (kcp_routes_team (routes, KCP_STR ("k")));
  for (uint64_t draw = 0; draw < 100; draw++)
    second += strcmp (kcp_route_target (route, draw), "s2") == 0;
  ck_assert_uint_eq (second, 10);
  kcp_routes_unref (routes);
}
END_TEST

START_TEST (test_a_configuration_that_cannot_be_read_changes_nothing)
{
  ck_assert_ptr_null (read_routes ("{\"version\":3}"));
  ck_assert_ptr_null (read_routes ("not json"));
  ck_assert_ptr_null (read_routes (
      "{\"version\":3,\"routes\":[{\"name\":\"a\",\"route-type\":\"odd\"}]}"));
}
END_TEST

START_TEST (test_an_older_version_is_never_put_in_force)
{
  struct kcp_gateway gateway;
  struct kcp_forward_settings settings = { .retry_burst = 54, .retry_window_s = 10 };

  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  ck_assert (kcp_gateway_take_routes (&gateway, kcp_routes_new (5)));
  ck_assert (!kcp_gateway_take_routes (&gateway, kcp_routes_new (4)));
  ck_assert (!kcp_gateway_take_routes (&gateway, kcp_routes_new (5)));
  ck_assert_int_eq (gateway.routes->version, 5);
  kcp_gateway_clear (&gateway);
}
END_TEST

/* Versions named every 4 s: the time of a server with version 1 runs from version 2. */
START_TEST (test_the_time_of_old_weights_runs_from_their_first_successor)
{
  struct kcp_gateway gateway;
  struct kcp_forward_settings settings = { .retry_burst = 54, .retry_window_s = 10 };
  const struct kcp_named_weights *named;

  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  for (int64_t version = 2; version <= 40; version++)
    kcp_gateway_name_weights (&gateway, "m", version, version * 100);
  kcp_gateway_name_weights (&gateway, "m", 7, 9999);
  named = kcp_gateway_weights (&gateway, "m");
  ck_assert_int_eq (named->version, 40);
  ck_assert_int_eq (kcp_named_weights_replaced (named, 38), 3900);
  ck_assert_int_eq (kcp_named_weights_replaced (named, 39), 4000);
  ck_assert_int_eq (kcp_named_weights_replaced (named, 40), 0);
  kcp_gateway_clear (&gateway);
}
END_TEST

struct entry_case
{
  const char *text;
  bool sound;
};

START_TEST (test_entries_of_other_writers_name_no_server)
{
  static const struct entry_case cases[] = {
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"ready\",\"born\":17}",
      true },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"draining\"}",
      true },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"odd\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":\"6\","
      "\"state\":\"ready\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"ready\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"ready\",\"born\":1.5}",
      false },
    { "[1,2]", false },
    { "\xff\xfe", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct kcp_server_entry entry;
      const char *why = NULL;
      bool sound = kcp_platform_read_server (
          KCP_STR ("i-1"), kcp_str_from_c (cases[i].text), &entry, &why);

      ck_assert_msg (sound == cases[i].sound, "case %zu: %s", i, why);
      if (sound)
        kcp_server_entry_clear (&entry);
    }
}
END_TEST

static void
apply_entry (struct kcp_servers *servers, const char *text)
{
  struct kcp_server_entry entry;
  const char *why = NULL;

  ck_assert (
      kcp_platform_read_server (KCP_STR ("i-1"), kcp_str_from_c (text), &entry, &why));
  kcp_servers_apply (servers, &entry);
}

#define ENTRY(born, version)                                                             \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"           \
  "\"state\":\"ready\",\"born\":" born                                                   \
  ",\"models\":[{\"name\":\"m\",\"version\":" version "}]}"

START_TEST (test_a_server_that_starts_again_under_its_id_is_a_new_one)
{
  struct kcp_servers *servers = kcp_servers_new ();
  struct kcp_server *server;

  apply_entry (servers, ENTRY ("100", "3"));
  server = kcp_server_ref (kcp_servers_find (servers, "i-1"));
  server->orders_taken = 5;
  kcp_server_learn_version (server, "m", 4, 1);
  apply_entry (servers, ENTRY ("100", "3"));
  ck_assert_int_eq (kcp_server_version (server, "m"), 4);
  apply_entry (servers, ENTRY ("200", "3"));
  ck_assert (server->gone);
  ck_assert_int_eq (kcp_servers_find (servers, "i-1")->orders_taken, -1);
  ck_assert_int_eq (kcp_server_version (kcp_servers_find (servers, "i-1"), "m"), 3);
  apply_entry (servers, ENTRY ("100", "9"));
  ck_assert_int_eq (kcp_server_version (kcp_servers_find (servers, "i-1"), "m"), 3);
  kcp_server_unref (server);
  kcp_servers_free (servers);
}
END_TEST

/* The store of kept cache stays the same object over configurations, and is not gone. */
START_TEST (test_a_store_of_cache_outlives_a_configuration)
{
  struct kcp_servers *servers = kcp_servers_new ();
  struct kcp_routes *routes = read_routes (config_text);
  struct kcp_server *store;

  kcp_servers_take_stores (servers, routes);
  store = g_ptr_array_index (kcp_servers_stores (servers), 0);
  kcp_servers_take_stores (servers, routes);
  ck_assert_ptr_eq (g_ptr_array_index (kcp_servers_stores (servers), 0), store);
  ck_assert (!store->gone);
  kcp_routes_unref (routes);
  kcp_servers_free (servers);
}
END_TEST

/* Cut at every byte, the stream comes out whole events at a time, each once. */
START_TEST (test_streams_are_cut_behind_whole_events)
{
  const char *text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

  for (size_t cut = 0; cut <= strlen (text); cut++)
    {
      struct kcp_event_cutter cutter;
      GString *out = g_string_new (NULL);
      size_t whole;

      kcp_event_cutter_init (&cutter);
      ck_assert (kcp_event_cutter_feed (
          &cutter, (struct kcp_str){ .data = text, .len = cut }, out));
      whole = out->len;
      ck_assert (whole == 0 || g_str_has_suffix (out->str, "\n\n"));
      kcp_event_cutter_drop (&cutter);
      /* Another server goes on, and repeats what it need not. */
      ck_assert (kcp_event_cutter_feed (&cutter, kcp_str_from_c (text), out));
      ck_assert_str_eq (out->str, text);
      ck_assert_str_eq (cutter.last_id->str, "3");
      g_string_free (out, TRUE);
      kcp_event_cutter_clear (&cutter);
    }
}
END_TEST

START_TEST (test_messages_between_vms_survive_the_wire_and_nothing_else_passes)
{
  struct kcp_mesh_message message;
  struct kcp_mesh_message copy;
  struct kcp_mesh_row *row;
  char bytes[KCP_MESH_MESSAGE_MAX];
  uint64_t part = 0x1234567890abcdefu;
  size_t len;

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, "10.0.0.1:7341", sizeof message.vm);
  g_strlcpy (message.data_center, "z", sizeof message.data_center);
  message.start = 5;
  message.number = 6;
  row = kcp_mesh_message_add_row (&message);
  row->server = 99;
  row->in_flight = 3;
  row->read = true;
  g_array_append_val (row->parts, part);
  len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  kcp_mesh_message_init (&copy);
  ck_assert (kcp_mesh_message_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, message.vm);
  row = &g_array_index (copy.rows, struct kcp_mesh_row, 0);
  ck_assert_uint_eq (g_array_index (row->parts, uint64_t, 0), part);
  ck_assert_uint_eq (row->in_flight, 3);
  kcp_mesh_message_clear (&copy);
  for (size_t cut = 0; cut < len; cut++)
    {
      kcp_mesh_message_init (&copy);
      ck_assert (!kcp_mesh_message_decode (&copy, bytes, cut));
      kcp_mesh_message_clear (&copy);
    }
  kcp_mesh_message_clear (&message);
}
END_TEST

/* Load pattern: two VMs are left, and each reads the events of half of the servers. */
START_TEST (test_a_message_with_all_that_a_vm_may_tell_fits_a_datagram)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t short_len;

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, "255.255.255.255:65535", sizeof message.vm);
  for (uint64_t i = 0; i < KCP_MESH_ROWS_MAX; i++)
    {
      struct kcp_mesh_row *row = kcp_mesh_message_add_row (&message);

      row->server = i;
      row->in_flight = 3;
    }
  short_len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  ck_assert_uint_gt (short_len, 0);
  /* A row that says only what is open there is a key and a word. */
  ck_assert_uint_lt (short_len, KCP_MESH_ROWS_MAX * 12 + 200);
  for (guint i = 0; i < KCP_MESH_ROWS_MAX; i++)
    {
      struct kcp_mesh_row *row = &g_array_index (message.rows, struct kcp_mesh_row, i);

      row->unread_tokens = 9;
      row->version = 9;
      row->read = true;
      g_array_set_size (row->parts, KCP_MESH_PARTS_MAX / KCP_MESH_ROWS_MAX);
    }
  ck_assert_uint_gt (kcp_mesh_message_encode (&message, bytes, sizeof bytes), 0);
  kcp_mesh_message_clear (&message);
}
END_TEST

START_TEST (test_records_between_vms_survive_the_wire_and_nothing_else_passes)
{
  struct kcp_mesh_record row
      = { .offset = 8, .hold_ms = 9, .key = KCP_STR ("i-1"), .value = KCP_STR ("{}") };
  struct kcp_mesh_records records;
  struct kcp_mesh_records copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_records_init (&records);
  g_strlcpy (records.vm, "10.0.0.1:7341", sizeof records.vm);
  records.from = 8;
  records.next = 10;
  g_array_append_val (records.records, row);
  len = kcp_mesh_records_encode (&records, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_RECORDS);
  kcp_mesh_records_init (&copy);
  ck_assert (kcp_mesh_records_decode (&copy, bytes, len));
  row = g_array_index (copy.records, struct kcp_mesh_record, 0);
  ck_assert_int_eq (copy.next, 10);
  ck_assert_int_eq (row.offset, 8);
  ck_assert_uint_eq (row.hold_ms, 9);
  ck_assert (kcp_str_equal (row.key, KCP_STR ("i-1")));
  ck_assert (kcp_str_equal (row.value, KCP_STR ("{}")));
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_records_decode (&copy, bytes, cut));
  kcp_mesh_records_clear (&copy);
  kcp_mesh_records_clear (&records);
}
END_TEST

START_TEST (test_updates_between_vms_survive_the_wire_and_are_told_from_messages)
{
  struct kcp_mesh_change change
      = { .server = 7, .part = 8, .unread_tokens = 9, .version = 10, .loading_ms = 11 };
  struct kcp_mesh_update update;
  struct kcp_mesh_update copy;
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, "10.0.0.1:7341", sizeof update.vm);
  update.start = 5;
  update.number = 6;
  g_array_append_val (update.changes, change);
  len = kcp_mesh_update_encode (&update, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_UPDATE);
  kcp_mesh_update_init (&copy);
  ck_assert (kcp_mesh_update_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, update.vm);
  ck_assert_uint_eq (copy.number, 6);
  ck_assert_mem_eq (copy.changes->data, &change, sizeof change);
  kcp_mesh_update_clear (&copy);
  kcp_mesh_message_init (&message);
  ck_assert (!kcp_mesh_message_decode (&message, bytes, len));
  kcp_mesh_message_clear (&message);
  for (size_t cut = 0; cut < len; cut++)
    {
      kcp_mesh_update_init (&copy);
      ck_assert (!kcp_mesh_update_decode (&copy, bytes, cut));
      kcp_mesh_update_clear (&copy);
    }
  kcp_mesh_update_clear (&update);
}
END_TEST

/* Long prompts that other VMs send to a server queue up there until they are read, and
   their parts count as being there until the server's events show them. */
START_TEST (test_prompts_that_other_vms_send_queue_up_and_pass)
{
  struct kcp_server server = { 0 };
  int64_t start_ns = KCP_NS_PER_S;

  kcp_server_note_others_prompt (&server, 1, 10000, start_ns);
  kcp_server_note_others_prompt (&server, 2, 10000, start_ns);
  ck_assert_int_eq (kcp_server_others_unread (&server, start_ns), 20000);
  ck_assert (kcp_server_is_sent_part (&server, 1, start_ns));
  ck_assert (!kcp_server_is_sent_part (&server, 3, start_ns));
  /* 10,000 tokens take 210 ms. */
  ck_assert_int_eq (kcp_server_others_unread (&server, start_ns + 210 * KCP_NS_PER_MS),
                    10000);
  ck_assert_int_eq (kcp_server_others_unread (&server, start_ns + KCP_NS_PER_S), 0);
  ck_assert (kcp_server_is_sent_part (&server, 2, start_ns + KCP_NS_PER_S));
  ck_assert (!kcp_server_is_sent_part (&server, 2, start_ns + 2 * KCP_NS_PER_S));
  kcp_server_note_others_prompt (&server, 4, 0, start_ns + 2 * KCP_NS_PER_S);
  ck_assert_uint_eq (server.others_parts->len, 1);
  g_array_unref (server.others_parts);
}
END_TEST

START_TEST (test_the_memory_of_prefixes_is_bounded)
{
  struct kcp_prefix_memory *memory = kcp_prefix_memory_new (8);

  for (uint64_t part = 1; part <= 100; part++)
    kcp_prefix_belief_add (kcp_prefix_memory_make (memory, part), part, (int64_t)part);
  ck_assert_ptr_null (kcp_prefix_memory_find (memory, 1));
  ck_assert (kcp_prefix_belief_has (kcp_prefix_memory_find (memory, 100), 100, 0));
  ck_assert (!kcp_prefix_belief_has (kcp_prefix_memory_find (memory, 100), 100, 101));
  kcp_prefix_memory_free (memory);
}
END_TEST

/* A reader that stops reading costs lines, which are counted, and no time. */
START_TEST (test_a_log_that_nobody_reads_does_not_block)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL };
  int ends[2];
  int64_t start_us;

  ck_assert_int_eq (pipe (ends), 0);
  kcp_decision_log_init (&clock, "vm", "dc", ends[1]);
  start_us = g_get_monotonic_time ();
  for (int i = 0; i < 20000; i++)
    {
      KCP_LOG ("test", KCP_LOG_TEXT ("text", "a \"quoted\" line\n"),
               KCP_LOG_INT ("number", i));
      kcp_decision_log_flush ();
      kcp_clock_advance (&clock, KCP_NS_PER_MS);
    }
  ck_assert_int_lt (g_get_monotonic_time () - start_us, 5 * G_USEC_PER_SEC);
  ck_assert_uint_gt (kcp_decision_log_dropped (), 0);
  kcp_decision_log_init (&clock, "vm", "dc", -1);
  (void)close (ends[0]);
  (void)close (ends[1]);
}
END_TEST

/* Lines are written whole, so that those of several processes can be told apart. */
START_TEST (test_log_lines_are_written_whole)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL };
  char bytes[65536];
  int ends[2];

  ck_assert_int_eq (pipe (ends), 0);
  ck_assert_int_eq (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  kcp_decision_log_init (&clock, "vm", "dc", ends[1]);
  for (int i = 0; i < 200; i++)
    KCP_LOG ("test", KCP_LOG_INT ("number", i));
  for (int i = 0; i < 20; i++)
    {
      ssize_t count;

      kcp_decision_log_flush ();
      count = read (ends[0], bytes, sizeof bytes);
      if (count <= 0)
        break;
      ck_assert_int_eq (bytes[0], '{');
      ck_assert_int_eq (bytes[count - 1], '\n');
    }
  kcp_decision_log_init (&clock, "vm", "dc", -1);
  (void)close (ends[0]);
  (void)close (ends[1]);
}
END_TEST

START_TEST (test_settings_say_where_they_are_wrong)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  const char *text = "[vm]\nid = a\ndata_center = z\n[callers]\nlisten = nowhere\n"
                     "[drain]\ngrace_s = 0.1\n";
  g_autofree char *all = NULL;

  ck_assert_ptr_null (kcp_forward_settings_parse ("f.ini", text, errors));
  g_ptr_array_add (errors, NULL);
  all = g_strjoinv ("\n", (char **)errors->pdata);
  ck_assert_ptr_nonnull (
      strstr (all, "f.ini:5: callers.listen: not an address, A.B.C.D:PORT is allowed"));
  ck_assert_ptr_nonnull (strstr (all, "f.ini:7: drain.grace_s: '0.1' is not a number"));
  ck_assert_ptr_nonnull (strstr (all, "store.address: missing, a value is required"));
}
END_TEST

/* The balancer looks each second and takes a VM out after two misses; a request that is
   taken later than 3 s behind the signal may not be cut any more when the grace ends. */
START_TEST (test_the_standard_notice_fits_between_the_balancer_and_the_last_requests)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  const char *text = "[vm]\nid = a\ndata_center = z\n[callers]\nlisten = 127.0.0.1:1\n"
                     "[ready]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n"
                     "[store]\naddress = 127.0.0.1:4\n";
  struct kcp_forward_settings *settings
      = kcp_forward_settings_parse ("f.ini", text, errors);

  ck_assert_ptr_nonnull (settings);
  ck_assert_int_ge (settings->drain_notice_ms, 2200);
  ck_assert_int_le (settings->drain_notice_ms, 2800);
  kcp_forward_settings_free (settings);
}
END_TEST

START_TEST (test_a_reload_says_what_took_effect_and_what_needs_a_restart)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GString) at_once = g_string_new (NULL);
  g_autoptr (GString) at_restart = g_string_new (NULL);
  static const char format[]
      = "[vm]\nid = a\ndata_center = z\n[callers]\nlisten = 127.0.0.1:1\n"
        "[ready]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:%d\n"
        "[store]\naddress = 127.0.0.1:4\n[retry]\nratio = %s\nburst = %d\n";
  g_autofree char *first = g_strdup_printf (format, 3, "0.1", 5);
  g_autofree char *second = g_strdup_printf (format, 9, "0.2", 7);
  struct kcp_forward_settings *before
      = kcp_forward_settings_parse ("f.ini", first, errors);
  struct kcp_forward_settings *after
      = kcp_forward_settings_parse ("f.ini", second, errors);

  kcp_forward_settings_compare (before, before, at_once, at_restart);
  ck_assert_str_eq (at_once->str, "");
  ck_assert_str_eq (at_restart->str, "");
  kcp_forward_settings_compare (before, after, at_once, at_restart);
  ck_assert_str_eq (at_once->str, "retry.ratio,retry.burst");
  ck_assert_str_eq (at_restart->str, "peers.listen");
  kcp_forward_settings_free (before);
  kcp_forward_settings_free (after);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward parts");
  TCase *cases = tcase_create ("forward parts");

  tcase_add_test (cases, test_a_reload_says_what_took_effect_and_what_needs_a_restart);
  tcase_add_test (cases, test_the_longest_prefix_of_the_host_wins);
  tcase_add_test (cases, test_keys_name_teams_and_services_share_by_weight);
  tcase_add_test (cases, test_a_configuration_that_cannot_be_read_changes_nothing);
  tcase_add_test (cases, test_an_older_version_is_never_put_in_force);
  tcase_add_test (cases, test_the_time_of_old_weights_runs_from_their_first_successor);
  tcase_add_test (cases, test_entries_of_other_writers_name_no_server);
  tcase_add_test (cases, test_a_server_that_starts_again_under_its_id_is_a_new_one);
  tcase_add_test (cases, test_a_store_of_cache_outlives_a_configuration);
  tcase_add_test (cases, test_streams_are_cut_behind_whole_events);
  tcase_add_test (cases,
                  test_messages_between_vms_survive_the_wire_and_nothing_else_passes);
  tcase_add_test (cases, test_a_message_with_all_that_a_vm_may_tell_fits_a_datagram);
  tcase_add_test (cases,
                  test_records_between_vms_survive_the_wire_and_nothing_else_passes);
  tcase_add_test (cases,
                  test_updates_between_vms_survive_the_wire_and_are_told_from_messages);
  tcase_add_test (cases, test_prompts_that_other_vms_send_queue_up_and_pass);
  tcase_add_test (cases, test_the_memory_of_prefixes_is_bounded);
  tcase_add_test (cases, test_a_log_that_nobody_reads_does_not_block);
  tcase_add_test (cases, test_log_lines_are_written_whole);
  tcase_add_test (cases, test_settings_say_where_they_are_wrong);
  tcase_add_test (
      cases, test_the_standard_notice_fits_between_the_balancer_and_the_last_requests);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
