/* Tests the parts of request forwarding that need no network: routes, records of the
   store, event streams, settings and the log. */
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/decision_log.h"
#include "forward/event_framer.h"
#include "forward/gateway.h"
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
  tcase_add_test (cases, test_prompts_of_other_vms_queue_until_prefilled);
  tcase_add_test (cases, test_prefix_index_is_bounded);
  tcase_add_test (cases, test_log_without_reader_does_not_block);
  tcase_add_test (cases, test_log_writes_contain_complete_lines);
  tcase_add_test (cases, test_settings_errors_name_file_and_line);
  tcase_add_test (cases, test_default_drain_notice_fits_balancer_and_grace_period);
  return run_started_suite ();
}
