/* Tests the parts of request forwarding that need no network: routes, records of the
   store, messages between VMs, event streams, settings and the log. */
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/decision_log.h"
#include "forward/event_framer.h"
#include "forward/gateway.h"
#include "forward/mesh_message.h"
#include "forward/prefix_index.h"
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
  struct kcp_operator_record record;
  const char *reason = NULL;

  if (!kcp_platform_read_operator (KCP_STR ("config"), kcp_str_from_c (text), &record,
                                   &reason)
      || record.kind != KCP_OPERATOR_ROUTES)
    return NULL;
  return record.routes;
}

START_TEST (test_route_with_longest_path_prefix_wins)
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

START_TEST (test_keys_select_teams_and_weights_select_services)
{
  struct kcp_routes *routes = read_routes (config_text);
  const struct kcp_route *route = g_ptr_array_index (routes->routes, 1);
  unsigned second = 0;

  ck_assert_str_eq (kcp_routes_team (routes, KCP_STR ("k2"))->name, "t");
  ck_assert (kcp_routes_team (routes, KCP_STR ("k1"))->isolated);
  ck_assert_ptr_null (kcp_routes_team (routes, KCP_STR ("k")));
  for (uint64_t random = 0; random < 100; random++)
    second += strcmp (kcp_route_target (route, random), "s2") == 0;
  ck_assert_uint_eq (second, 10);
  kcp_routes_unref (routes);
}
END_TEST

START_TEST (test_invalid_configuration_is_rejected)
{
  ck_assert_ptr_null (read_routes ("{\"version\":3}"));
  ck_assert_ptr_null (read_routes ("not json"));
  ck_assert_ptr_null (read_routes (
      "{\"version\":3,\"routes\":[{\"name\":\"a\",\"route-type\":\"odd\"}]}"));
}
END_TEST

START_TEST (test_older_or_equal_routes_are_rejected)
{
  struct kcp_gateway gateway;
  struct kcp_forward_settings settings = { .retry_burst = 54, .retry_window_s = 10 };

  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  ck_assert (kcp_gateway_set_routes (&gateway, kcp_routes_new (5)));
  ck_assert (!kcp_gateway_set_routes (&gateway, kcp_routes_new (4)));
  ck_assert (!kcp_gateway_set_routes (&gateway, kcp_routes_new (5)));
  ck_assert_int_eq (gateway.routes->version, 5);
  kcp_gateway_clear (&gateway);
}
END_TEST

/* Guards against measuring the age of old weights from the newest version. If a new
   version becomes the desired one every 4 s, the time of a server with version 1 counts
   from version 2. */
START_TEST (test_weights_replacement_time_counts_from_first_successor)
{
  struct kcp_gateway gateway;
  struct kcp_forward_settings settings = { .retry_burst = 54, .retry_window_s = 10 };
  const struct kcp_desired_weights *desired;

  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  for (int64_t version = 2; version <= 40; version++)
    kcp_gateway_add_desired_weights (&gateway, "m", version, version * 100);
  kcp_gateway_add_desired_weights (&gateway, "m", 7, 9999);
  desired = kcp_gateway_desired_weights (&gateway, "m");
  ck_assert_int_eq (desired->version, 40);
  ck_assert_int_eq (kcp_desired_weights_replaced_ns (desired, 38), 3900);
  ck_assert_int_eq (kcp_desired_weights_replaced_ns (desired, 39), 4000);
  ck_assert_int_eq (kcp_desired_weights_replaced_ns (desired, 40), 0);
  kcp_gateway_clear (&gateway);
}
END_TEST

struct entry_case
{
  const char *text;
  bool valid;
};

START_TEST (test_invalid_server_entries_are_rejected)
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
      const char *reason = NULL;
      bool valid = kcp_platform_read_server (
          KCP_STR ("i-1"), kcp_str_from_c (cases[i].text), &entry, &reason);

      ck_assert_msg (valid == cases[i].valid, "case %zu: %s", i, reason);
      if (valid)
        kcp_server_entry_clear (&entry);
    }
}
END_TEST

static void
apply_entry (struct kcp_servers *servers, const char *text)
{
  struct kcp_server_entry entry;
  const char *reason = NULL;

  ck_assert (
      kcp_platform_read_server (KCP_STR ("i-1"), kcp_str_from_c (text), &entry, &reason));
  kcp_servers_apply (servers, &entry);
}

#define ENTRY(born, version)                                                             \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"           \
  "\"state\":\"ready\",\"born\":" born                                                   \
  ",\"models\":[{\"name\":\"m\",\"version\":" version "}]}"

START_TEST (test_restarted_server_with_same_id_is_a_new_server)
{
  struct kcp_servers *servers = kcp_servers_new ();
  struct kcp_server *server;

  apply_entry (servers, ENTRY ("100", "3"));
  server = kcp_server_ref (kcp_servers_find (servers, "i-1"));
  server->orders_taken = 5;
  kcp_server_update_version (server, "m", 4, 1);
  apply_entry (servers, ENTRY ("100", "3"));
  ck_assert_int_eq (kcp_server_version (server, "m"), 4);
  apply_entry (servers, ENTRY ("200", "3"));
  ck_assert (server->removed);
  ck_assert_int_eq (kcp_servers_find (servers, "i-1")->orders_taken, -1);
  ck_assert_int_eq (kcp_server_version (kcp_servers_find (servers, "i-1"), "m"), 3);
  apply_entry (servers, ENTRY ("100", "9"));
  ck_assert_int_eq (kcp_server_version (kcp_servers_find (servers, "i-1"), "m"), 3);
  kcp_server_unref (server);
  kcp_servers_free (servers);
}
END_TEST

/* VMs name servers to each other by their keys. Two servers with one key would be one. */
START_TEST (test_servers_with_short_ids_share_a_key)
{
  struct kcp_servers *servers = kcp_servers_new ();

  for (int i = 0; i < 10; i++)
    {
      struct kcp_server_entry entry;

      kcp_server_entry_init (&entry);
      entry.id = g_strdup_printf ("i-%d", i);
      entry.service = g_strdup ("s");
      entry.address = g_strdup_printf ("10.0.0.%d:80", i);
      entry.data_center = g_strdup ("z");
      entry.started_ms = 1000 + i;
      ck_assert (kcp_servers_apply (servers, &entry));
    }
  for (guint i = 0; i < 10; i++)
    {
      struct kcp_server *server = g_ptr_array_index (kcp_servers_all (servers), i);

      ck_assert_ptr_eq (kcp_servers_find_by_key (servers, kcp_server_key (server)),
                        server);
    }
  kcp_servers_free (servers);
}
END_TEST

/* A cache store must stay the same object when the same configuration is applied again,
   and must not be marked as removed. */
START_TEST (test_cache_store_survives_reconfiguration)
{
  struct kcp_servers *servers = kcp_servers_new ();
  struct kcp_routes *routes = read_routes (config_text);
  struct kcp_server *store;

  kcp_servers_set_stores (servers, routes);
  store = g_ptr_array_index (kcp_servers_stores (servers), 0);
  kcp_servers_set_stores (servers, routes);
  ck_assert_ptr_eq (g_ptr_array_index (kcp_servers_stores (servers), 0), store);
  ck_assert (!store->removed);
  kcp_routes_unref (routes);
  kcp_servers_free (servers);
}
END_TEST

/* Guards against an event that is missing, duplicate or incomplete after a stream was
   interrupted and resumed. The stream is interrupted after each of its bytes. */
START_TEST (test_interrupted_streams_resume_at_event_boundaries)
{
  const char *text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

  for (size_t cut = 0; cut <= strlen (text); cut++)
    {
      struct kcp_event_framer framer;
      GString *out = g_string_new (NULL);
      size_t emitted_len;

      kcp_event_framer_init (&framer);
      ck_assert_int_eq (kcp_event_framer_feed (
                            &framer, (struct kcp_str){ .data = text, .len = cut }, out),
                        KCP_EVENT_FRAMER_OK);
      emitted_len = out->len;
      ck_assert (emitted_len == 0 || g_str_has_suffix (out->str, "\n\n"));
      kcp_event_framer_discard_partial (&framer);
      /* Another server resumes the stream and repeats events that were already sent. */
      ck_assert_int_eq (kcp_event_framer_feed (&framer, kcp_str_from_c (text), out),
                        KCP_EVENT_FRAMER_OK);
      ck_assert_str_eq (out->str, text);
      ck_assert_str_eq (framer.last_id->str, "3");
      g_string_free (out, TRUE);
      kcp_event_framer_clear (&framer);
    }
}
END_TEST

/* Streams with each kind of line end, cut after each of their bytes: complete events are
   emitted at once, and only a cut between two events is not within one. */
START_TEST (test_cuts_within_an_event_are_recognised_with_each_line_end)
{
  static const char *const line_ends[] = { "\n", "\r\n", "\r" };
  const char *line_end = line_ends[_i];
  g_autofree char *event
      = g_strconcat ("id: 1", line_end, "data: a", line_end, line_end, NULL);
  g_autofree char *text
      = g_strconcat (event, "id: 2", line_end, "data: b", line_end, line_end, NULL);
  size_t len = strlen (event);

  for (size_t cut = 0; cut <= 2 * len; cut++)
    {
      struct kcp_event_framer framer;
      g_autoptr (GString) out = g_string_new (NULL);

      kcp_event_framer_init (&framer);
      for (size_t i = 0; i < cut; i++)
        ck_assert_int_eq (
            kcp_event_framer_feed (&framer,
                                   (struct kcp_str){ .data = text + i, .len = 1 }, out),
            KCP_EVENT_FRAMER_OK);
      ck_assert_uint_eq (out->len, cut / len * len);
      ck_assert_int_eq (kcp_event_framer_is_within_event (&framer), cut % len != 0);
      kcp_event_framer_clear (&framer);
    }
}
END_TEST

/* Blank lines and comments between events are relayed and belong to no event. */
START_TEST (test_comment_after_the_last_event_is_not_within_an_event)
{
  static const struct
  {
    const char *rest;
    bool within;
  } cases[] = { { "\n", false },      { ": ping\n", false }, { "\r\n", false },
                { ": ping", true },   { "id: 2\n", true },   { ": a\ndata: b\n", true },
                { "\n: a\n", false }, { "d", true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct kcp_event_framer framer;
      g_autoptr (GString) out = g_string_new (NULL);
      g_autofree char *text = g_strconcat ("id: 1\ndata: a\n\n", cases[i].rest, NULL);

      kcp_event_framer_init (&framer);
      ck_assert_int_eq (kcp_event_framer_feed (&framer, kcp_str_from_c (text), out),
                        KCP_EVENT_FRAMER_OK);
      ck_assert_int_eq (kcp_event_framer_is_within_event (&framer), cases[i].within);
      kcp_event_framer_flush (&framer, out);
      ck_assert_str_eq (out->str, text);
      kcp_event_framer_clear (&framer);
    }
}
END_TEST

START_TEST (test_mesh_message_round_trip_rejects_truncation)
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
  message.start_ms = 5;
  message.sequence = 6;
  row = kcp_mesh_message_add_row (&message);
  row->server = 99;
  row->in_flight = 3;
  row->has_parts = true;
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

/* Guards against a gossip message that is too large for a datagram. Messages are largest
   if only two VMs are alive and each reads the cache events of half of the servers. */
START_TEST (test_largest_mesh_message_fits_a_datagram)
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
  /* A row with only the requests in flight takes a key and one word. */
  ck_assert_uint_lt (short_len, KCP_MESH_ROWS_MAX * 12 + 200);
  for (guint i = 0; i < KCP_MESH_ROWS_MAX; i++)
    {
      struct kcp_mesh_row *row = &g_array_index (message.rows, struct kcp_mesh_row, i);

      row->prefill_tokens_pending = 9;
      row->version = 9;
      row->has_parts = true;
      g_array_set_size (row->parts, KCP_MESH_PARTS_MAX / KCP_MESH_ROWS_MAX);
    }
  ck_assert_uint_gt (kcp_mesh_message_encode (&message, bytes, sizeof bytes), 0);
  kcp_mesh_message_clear (&message);
}
END_TEST

START_TEST (test_mesh_records_round_trip_rejects_truncation)
{
  struct kcp_mesh_record row = {
    .offset = 8, .removal_delay_ms = 9, .key = KCP_STR ("i-1"), .value = KCP_STR ("{}")
  };
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
  ck_assert_uint_eq (row.removal_delay_ms, 9);
  ck_assert (kcp_str_equal (row.key, KCP_STR ("i-1")));
  ck_assert (kcp_str_equal (row.value, KCP_STR ("{}")));
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_records_decode (&copy, bytes, cut));
  kcp_mesh_records_clear (&copy);
  kcp_mesh_records_clear (&records);
}
END_TEST

static void
expect_suspects_round_trip (enum kcp_suspect_kind kind, enum kcp_mesh_procedure procedure,
                            const struct kcp_quarantine_fact *expected)
{
  struct kcp_quarantine_fact fact = *expected;
  struct kcp_mesh_suspects suspects;
  struct kcp_mesh_suspects copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_suspects_init (&suspects, kind);
  g_strlcpy (suspects.vm, "10.0.0.1:7341", sizeof suspects.vm);
  for (guint i = 0; i < KCP_MESH_SUSPECTS_MAX; i++)
    g_array_append_val (suspects.facts, fact);
  len = kcp_mesh_suspects_encode (&suspects, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), procedure);
  kcp_mesh_suspects_init (&copy, kind);
  ck_assert (kcp_mesh_suspects_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, suspects.vm);
  ck_assert_uint_eq (copy.facts->len, KCP_MESH_SUSPECTS_MAX);
  ck_assert_mem_eq (&g_array_index (copy.facts, struct kcp_quarantine_fact, 0), &fact,
                    sizeof fact);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_suspects_decode (&copy, bytes, cut));
  kcp_mesh_suspects_clear (&copy);
  kcp_mesh_suspects_clear (&suspects);
}

START_TEST (test_mesh_notices_round_trip_rejects_truncation)
{
  struct kcp_server_notice notice = {
    .server = 1, .kind = KCP_NOTICE_LIMIT, .value = 2700, .age_ms = 40, .needs = 300
  };
  struct kcp_mesh_notices notices;
  struct kcp_mesh_notices copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_notices_init (&notices);
  g_strlcpy (notices.vm, "10.0.0.1:7341", sizeof notices.vm);
  for (guint i = 0; i < KCP_MESH_NOTICES_MAX; i++)
    g_array_append_val (notices.notices, notice);
  len = kcp_mesh_notices_encode (&notices, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_NOTICES);
  kcp_mesh_notices_init (&copy);
  ck_assert (kcp_mesh_notices_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, notices.vm);
  ck_assert_uint_eq (copy.notices->len, KCP_MESH_NOTICES_MAX);
  ck_assert_mem_eq (&g_array_index (copy.notices, struct kcp_server_notice, 0), &notice,
                    sizeof notice);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_notices_decode (&copy, bytes, cut));
  kcp_mesh_notices_clear (&copy);
  kcp_mesh_notices_clear (&notices);
}
END_TEST

START_TEST (test_mesh_needs_round_trip_rejects_truncation)
{
  struct kcp_mesh_needs_row row
      = { .server = 7,
          .message
          = { .statement = { .sequence = 3, .needs = 300 }, .acknowledged = 9 } };
  struct kcp_mesh_needs needs;
  struct kcp_mesh_needs copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_needs_init (&needs);
  g_strlcpy (needs.vm, "10.0.0.1:7341", sizeof needs.vm);
  needs.start_ms = 5;
  needs.receiver_start_ms = 6;
  for (guint i = 0; i < KCP_MESH_NEEDS_MAX; i++)
    g_array_append_val (needs.rows, row);
  len = kcp_mesh_needs_encode (&needs, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_NEEDS);
  kcp_mesh_needs_init (&copy);
  ck_assert (kcp_mesh_needs_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, needs.vm);
  ck_assert_uint_eq (copy.start_ms, needs.start_ms);
  ck_assert_uint_eq (copy.receiver_start_ms, needs.receiver_start_ms);
  ck_assert_uint_eq (copy.rows->len, KCP_MESH_NEEDS_MAX);
  ck_assert_mem_eq (&g_array_index (copy.rows, struct kcp_mesh_needs_row, 0), &row,
                    sizeof row);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_needs_decode (&copy, bytes, cut));
  kcp_mesh_needs_clear (&copy);
  kcp_mesh_needs_clear (&needs);
}
END_TEST

START_TEST (test_mesh_suspects_round_trip_rejects_truncation)
{
  expect_suspects_round_trip (KCP_SUSPECT_REQUEST, KCP_MESH_SUSPECTS,
                              &(struct kcp_quarantine_fact){
                                  .fingerprint = 1,
                                  .crashes = { 2, 3, 4 },
                                  .rank = 7,
                                  .incidents = 2,
                                  .incident_age_ms = 8,
                                  .remaining_ms = 9,
                              });
  expect_suspects_round_trip (KCP_SUSPECT_PART, KCP_MESH_PART_SUSPECTS,
                              &(struct kcp_quarantine_fact){
                                  .fingerprint = 1,
                                  .crashes = { 2, 3, 4, 5, 6, 7 },
                                  .rank = 7,
                                  .incidents = 5,
                                  .incident_age_ms = 8,
                                  .remaining_ms = 9,
                              });
}
END_TEST

START_TEST (test_mesh_update_round_trip_is_distinct_from_message)
{
  struct kcp_mesh_change change = {
    .server = 7, .part = 8, .prefill_tokens_pending = 9, .version = 10, .loading_ms = 11
  };
  struct kcp_mesh_update update;
  struct kcp_mesh_update copy;
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, "10.0.0.1:7341", sizeof update.vm);
  update.start_ms = 5;
  update.sequence = 6;
  g_array_append_val (update.changes, change);
  len = kcp_mesh_update_encode (&update, KCP_MESH_UPDATE, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_UPDATE);
  kcp_mesh_update_init (&copy);
  ck_assert (kcp_mesh_update_decode (&copy, KCP_MESH_UPDATE, bytes, len));
  ck_assert_str_eq (copy.vm, update.vm);
  ck_assert_uint_eq (copy.sequence, 6);
  ck_assert_mem_eq (copy.changes->data, &change, sizeof change);
  kcp_mesh_update_clear (&copy);
  kcp_mesh_message_init (&message);
  ck_assert (!kcp_mesh_message_decode (&message, bytes, len));
  kcp_mesh_message_clear (&message);
  for (size_t cut = 0; cut < len; cut++)
    {
      kcp_mesh_update_init (&copy);
      ck_assert (!kcp_mesh_update_decode (&copy, KCP_MESH_UPDATE, bytes, cut));
      kcp_mesh_update_clear (&copy);
    }
  kcp_mesh_update_clear (&update);
}
END_TEST

/* Long prompts that other VMs send to a server count as queued until their prefill, and
   their parts count as cached there until the server's cache events report them. */
START_TEST (test_prompts_of_other_vms_queue_until_prefilled)
{
  struct kcp_server server = { 0 };
  int64_t start_ns = KCP_NS_PER_S;

  kcp_server_record_peer_prompt (&server, 1, 10000, start_ns);
  kcp_server_record_peer_prompt (&server, 2, 10000, start_ns);
  ck_assert_int_eq (kcp_server_peers_prefill_tokens (&server, start_ns), 20000);
  ck_assert (kcp_server_was_sent_part (&server, 1, start_ns));
  ck_assert (!kcp_server_was_sent_part (&server, 3, start_ns));
  /* The prefill of 10,000 tokens takes 210 ms. */
  ck_assert_int_eq (
      kcp_server_peers_prefill_tokens (&server, start_ns + 210 * KCP_NS_PER_MS), 10000);
  ck_assert_int_eq (kcp_server_peers_prefill_tokens (&server, start_ns + KCP_NS_PER_S),
                    0);
  ck_assert (kcp_server_was_sent_part (&server, 2, start_ns + KCP_NS_PER_S));
  ck_assert (!kcp_server_was_sent_part (&server, 2, start_ns + 2 * KCP_NS_PER_S));
  kcp_server_record_peer_prompt (&server, 4, 0, start_ns + 2 * KCP_NS_PER_S);
  ck_assert_uint_eq (server.peers_sent_parts->len, 1);
  g_array_unref (server.peers_sent_parts);
}
END_TEST

START_TEST (test_prefix_index_is_bounded)
{
  struct kcp_prefix_index *index = kcp_prefix_index_new (8);

  for (uint64_t part = 1; part <= 100; part++)
    kcp_prefix_entry_add_holder (kcp_prefix_index_ensure (index, part), part,
                                 (int64_t)part);
  ck_assert_ptr_null (kcp_prefix_index_find (index, 1));
  ck_assert (kcp_prefix_entry_has_holder (kcp_prefix_index_find (index, 100), 100, 0));
  ck_assert (!kcp_prefix_entry_has_holder (kcp_prefix_index_find (index, 100), 100, 101));
  kcp_prefix_index_free (index);
}
END_TEST

/* If the reader of the log stops reading, lines are dropped and counted, and the writer
   does not block. */
START_TEST (test_log_without_reader_does_not_block)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL };
  int pipe_fds[2];
  int64_t start_us;

  ck_assert_int_eq (pipe (pipe_fds), 0);
  kcp_decision_log_init (&clock, "vm", "dc", pipe_fds[1]);
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
  (void)close (pipe_fds[0]);
  (void)close (pipe_fds[1]);
}
END_TEST

/* Each write contains only complete lines, so that lines of several processes that share
   a log do not mix. */
START_TEST (test_log_writes_contain_complete_lines)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL };
  char bytes[65536];
  int pipe_fds[2];

  ck_assert_int_eq (pipe (pipe_fds), 0);
  ck_assert_int_eq (fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK), 0);
  kcp_decision_log_init (&clock, "vm", "dc", pipe_fds[1]);
  for (int i = 0; i < 200; i++)
    KCP_LOG ("test", KCP_LOG_INT ("number", i));
  for (int i = 0; i < 20; i++)
    {
      ssize_t count;

      kcp_decision_log_flush ();
      count = read (pipe_fds[0], bytes, sizeof bytes);
      if (count <= 0)
        break;
      ck_assert_int_eq (bytes[0], '{');
      ck_assert_int_eq (bytes[count - 1], '\n');
    }
  kcp_decision_log_init (&clock, "vm", "dc", -1);
  (void)close (pipe_fds[0]);
  (void)close (pipe_fds[1]);
}
END_TEST

START_TEST (test_settings_errors_name_file_and_line)
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

/* The load balancer checks readiness every second and removes a VM after two failed
   checks. Requests that are accepted more than 3 s after the signal could be interrupted
   at the end of the grace period, so the notice must end before that. */
START_TEST (test_default_drain_notice_fits_balancer_and_grace_period)
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

START_TEST (test_reload_reports_effective_and_restart_settings)
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
  TCase *cases = start_suite ("forward parts");

  tcase_add_test (cases, test_reload_reports_effective_and_restart_settings);
  tcase_add_test (cases, test_route_with_longest_path_prefix_wins);
  tcase_add_test (cases, test_keys_select_teams_and_weights_select_services);
  tcase_add_test (cases, test_invalid_configuration_is_rejected);
  tcase_add_test (cases, test_older_or_equal_routes_are_rejected);
  tcase_add_test (cases, test_weights_replacement_time_counts_from_first_successor);
  tcase_add_test (cases, test_invalid_server_entries_are_rejected);
  tcase_add_test (cases, test_restarted_server_with_same_id_is_a_new_server);
  tcase_add_test (cases, test_servers_with_short_ids_share_a_key);
  tcase_add_test (cases, test_cache_store_survives_reconfiguration);
  tcase_add_test (cases, test_interrupted_streams_resume_at_event_boundaries);
  tcase_add_loop_test (cases, test_cuts_within_an_event_are_recognised_with_each_line_end,
                       0, 3);
  tcase_add_test (cases, test_comment_after_the_last_event_is_not_within_an_event);
  tcase_add_test (cases, test_mesh_message_round_trip_rejects_truncation);
  tcase_add_test (cases, test_largest_mesh_message_fits_a_datagram);
  tcase_add_test (cases, test_mesh_records_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_notices_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_needs_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_suspects_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_update_round_trip_is_distinct_from_message);
  tcase_add_test (cases, test_prompts_of_other_vms_queue_until_prefilled);
  tcase_add_test (cases, test_prefix_index_is_bounded);
  tcase_add_test (cases, test_log_without_reader_does_not_block);
  tcase_add_test (cases, test_log_writes_contain_complete_lines);
  tcase_add_test (cases, test_settings_errors_name_file_and_line);
  tcase_add_test (cases, test_default_drain_notice_fits_balancer_and_grace_period);
  return run_started_suite ();
}
