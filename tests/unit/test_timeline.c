/* Guards against a VM with a wrong clock that advances the timestamps of all others, and
   checks the order and the selection of events in merged timelines. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeline.h"
#include "base/timeline_merge.h"
#include "tests/harness/run_suite.h"

#define LOGICAL_BITS 16

START_TEST (test_stamp_of_a_wrong_clock_is_rejected)
{
  struct kcp_clock clock = { .kind = KCP_CLOCK_MANUAL, .realtime = { .tv_sec = 100 } };
  struct kcp_timeline *timeline = kcp_timeline_new (&clock, 4);
  uint64_t before = kcp_timeline_stamp (timeline);
  uint64_t wrong = before + ((uint64_t)3600 * KCP_MS_PER_S << LOGICAL_BITS);

  ck_assert (!kcp_timeline_observe (timeline, wrong));
  ck_assert (!kcp_timeline_observe (timeline, UINT64_MAX));
  ck_assert_uint_lt (kcp_timeline_stamp (timeline) >> LOGICAL_BITS, 101 * KCP_MS_PER_S);
  /* Timestamps that are only slightly ahead are accepted, but even a series of them must
     not advance the clock beyond the limit. */
  ck_assert (
      kcp_timeline_observe (timeline, before + (5 * KCP_MS_PER_S << LOGICAL_BITS)));
  for (int i = 0; i < 100; i++)
    (void)kcp_timeline_observe (timeline, kcp_timeline_stamp (timeline)
                                              + (5 * KCP_MS_PER_S << LOGICAL_BITS));
  ck_assert_uint_le (kcp_timeline_stamp (timeline) >> LOGICAL_BITS, 111 * KCP_MS_PER_S);
  kcp_timeline_free (timeline);
}
END_TEST

static json_t *
load_json (const char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  ck_assert_ptr_nonnull (json);
  return json;
}

static char *
merge_samples (const struct kcp_timeline_filter *filter)
{
  json_t *lists[] = {
    load_json ("[{\"stamp\":5,\"vm\":\"b\",\"event\":\"placed\",\"request\":\"r1\"},"
               "{\"stamp\":9,\"vm\":\"b\",\"event\":\"refused\",\"request\":\"r2\"}]"),
    load_json ("[{\"stamp\":5,\"vm\":\"a\",\"event\":\"accepted\",\"request\":\"r1\"},"
               "{\"stamp\":5,\"vm\":\"a\",\"event\":\"queued\",\"request\":\"r1\"},"
               "{\"stamp\":7,\"vm\":\"a\",\"event\":\"placed\",\"request\":\"r2\"},"
               "{\"no\":\"stamp\"},17]"),
    load_json ("{\"not\":\"a list\"}"),
  };
  json_t *merged = kcp_timeline_merge (lists, G_N_ELEMENTS (lists), filter);
  GString *text = g_string_new (NULL);
  json_t *entry;
  size_t i;

  json_array_foreach (merged, i, entry) g_string_append_printf (
      text, "%s:%s ", json_string_value (json_object_get (entry, "vm")),
      json_string_value (json_object_get (entry, "event")));
  json_decref (merged);
  for (i = 0; i < G_N_ELEMENTS (lists); i++)
    json_decref (lists[i]);
  return g_string_free (text, FALSE);
}

START_TEST (test_events_are_ordered_by_stamp_then_vm)
{
  g_autofree char *text
      = merge_samples (&(struct kcp_timeline_filter){ .request = NULL });

  ck_assert_str_eq (text, "a:accepted a:queued b:placed a:placed b:refused ");
}
END_TEST

START_TEST (test_events_are_filtered_by_request_vm_and_kind)
{
  const struct
  {
    struct kcp_timeline_filter filter;
    const char *expected;
  } cases[] = {
    { { .request = "r2" }, "a:placed b:refused " },
    { { .vm = "b" }, "b:placed b:refused " },
    { { .event = "placed" }, "b:placed a:placed " },
    { { .request = "r1", .vm = "a", .event = "queued" }, "a:queued " },
    { { .request = "none" }, "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = merge_samples (&cases[i].filter);

      ck_assert_str_eq (text, cases[i].expected);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("timeline");

  tcase_add_test (tests, test_stamp_of_a_wrong_clock_is_rejected);
  tcase_add_test (tests, test_events_are_ordered_by_stamp_then_vm);
  tcase_add_test (tests, test_events_are_filtered_by_request_vm_and_kind);
  return run_started_suite ();
}
