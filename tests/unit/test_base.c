/* Guards against settings errors without line or range, server-sent events that are
   parsed differently if they arrive in several chunks, prefix hashes that are equal for
   different teams, weights or earlier blocks, and timeline timestamps that decrease. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "backend/sse.h"
#include "base/timeline.h"
#include "policy/prefix.h"
#include "settings/settings.h"
#include "tests/harness/run_suite.h"

START_TEST (test_settings_report_all_errors_with_line_and_range)
{
  static const char text[]
      = "[vm]\nid=a b\ndata_center=dc1\nworkers=0\n[callers]\nprot=1\n"
        "port=1\nport=2\n[operators]\ntoken=x\n[platform]\nlog_url=u\n"
        "list_url=u\n[peers]\nkey=12\n";
  static const char *const expected[] = {
    "f:6: callers.prot: unknown key",
    "f:8: callers.port: given twice, one value is allowed",
    "f:2: vm.id: not a valid text, 1 to 63 letters, digits, '-', '_' or '.' are allowed "
    "in "
    "names, and no empty text",
    "f:4: vm.workers: '0' is not a number in the allowed range 1 to 64",
    "f:15: peers.key: not a key, 64 hexadecimal digits are allowed",
  };
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);

  ck_assert_ptr_null (kcp_settings_parse ("f", text, errors));
  ck_assert_uint_eq (errors->len, G_N_ELEMENTS (expected));
  for (guint i = 0; i < errors->len; i++)
    ck_assert_str_eq (g_ptr_array_index (errors, i), expected[i]);
}
END_TEST

START_TEST (test_sse_events_do_not_depend_on_chunk_boundaries)
{
  static const char text[]
      = "id: 0\ndata: a\n\n: comment\n\nevent: error\r\ndata: b\ndata: c\r\n\r\n";

  for (size_t cut = 0; cut < strlen (text); cut++)
    {
      g_autoptr (GString) seen = g_string_new (NULL);
      struct kcp_str parts[] = { { text, cut }, { text + cut, strlen (text) - cut } };
      struct kcp_sse_event event;
      struct kcp_sse sse;

      kcp_sse_init (&sse, 1000);
      for (int i = 0; i < 2; i++)
        {
          ck_assert (kcp_sse_feed (&sse, parts[i]));
          while (kcp_sse_next (&sse, &event))
            g_string_append_printf (seen, "%.*s|%.*s|%.*s;", KCP_STR_ARG (event.name),
                                    KCP_STR_ARG (event.id), KCP_STR_ARG (event.data));
        }
      ck_assert_str_eq (seen->str, "|0|a;error||b\nc;");
      kcp_sse_clear (&sse);
    }
}
END_TEST

START_TEST (test_prefix_chains_depend_on_team_weights_and_earlier_blocks)
{
  g_autofree char *text = g_strnfill (3 * KCP_BLOCK_TOKENS * KCP_BYTES_PER_TOKEN, 'a');
  struct kcp_str prompt = kcp_str_from_c (text);
  struct kcp_prefix_seed seeds[] = {
    { KCP_STR ("t"), KCP_STR ("m"), KCP_STR ("w1"), KCP_STR ("") },
    { KCP_STR ("u"), KCP_STR ("m"), KCP_STR ("w1"), KCP_STR ("") },
    { KCP_STR ("t"), KCP_STR ("m"), KCP_STR ("w2"), KCP_STR ("") },
  };
  g_autoptr (GArray) hashes = kcp_prefix_hash (prompt);
  g_autoptr (GArray) first = kcp_prefix_chain (&seeds[0], hashes);

  ck_assert_uint_eq (first->len, 3);
  for (int i = 1; i < 3; i++)
    {
      g_autoptr (GArray) other = kcp_prefix_chain (&seeds[i], hashes);

      for (int block = 0; block < 3; block++)
        ck_assert_uint_ne (g_array_index (first, uint64_t, block),
                           g_array_index (other, uint64_t, block));
    }
  ck_assert_uint_ne (g_array_index (first, uint64_t, 0),
                     g_array_index (first, uint64_t, 1));
}
END_TEST

START_TEST (test_timeline_stamps_increase_and_follow_observed_stamps)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL, .realtime = { .tv_sec = 100 } };
  struct kcp_timeline *timeline = kcp_timeline_new (&clock, 4);
  uint64_t first = kcp_timeline_stamp (timeline);
  uint64_t second;

  clock.realtime.tv_sec = 50;
  second = kcp_timeline_stamp (timeline);
  ck_assert_uint_gt (second, first);
  kcp_timeline_observe (timeline, second + 1000);
  ck_assert_uint_gt (kcp_timeline_stamp (timeline), second + 1000);
  kcp_timeline_free (timeline);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("base");

  tcase_add_test (tests, test_settings_report_all_errors_with_line_and_range);
  tcase_add_test (tests, test_sse_events_do_not_depend_on_chunk_boundaries);
  tcase_add_test (tests, test_prefix_chains_depend_on_team_weights_and_earlier_blocks);
  tcase_add_test (tests, test_timeline_stamps_increase_and_follow_observed_stamps);
  return run_started_suite ();
}
