/* Tests the cache index, placement, the concurrency limit and admission. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/admission.h"
#include "policy/cache_index.h"
#include "policy/concurrency_limit.h"
#include "policy/placement.h"
#include "tests/harness/run_suite.h"

#define SEED          1u
#define INDEX_ENTRIES 4096
#define TEAMS         4000
#define WORK          1000                  /* cost of a request, in prompt tokens */
#define LONG_NS       (1000 * KCP_NS_PER_S) /* a deadline that does not matter */
/* Maximum size per entry. It leaves room for all other memory within the target of 256 MB
   for 1.2 million blocks. */
#define TARGET_BYTES 64

static guint32 seed = SEED;

START_TEST (test_a_new_incarnation_clears_the_index_entries_of_a_server)
{
  struct kcp_cache_index *index = kcp_cache_index_new (INDEX_ENTRIES);
  const uint64_t chain[] = { 11, 12, 13 };
  kcp_cache_index_slot slot;
  kcp_cache_index_slot found;
  int64_t leading;

  ck_assert (kcp_cache_index_find_slot (index, 1, 100, &slot));
  kcp_cache_index_add_chain (index, slot, chain, 3);
  kcp_cache_index_count_leading (index, chain, 3, &slot, 1, &leading);
  ck_assert_int_eq (leading, 3);
  ck_assert (kcp_cache_index_find_slot (index, 1, 200, &found));
  ck_assert_uint_eq (found, slot);
  kcp_cache_index_count_leading (index, chain, 3, &slot, 1, &leading);
  ck_assert_int_eq (leading, 0);
  ck_assert (!kcp_cache_index_find_slot (index, 1, 100, &found));
  ck_assert (kcp_cache_index_find_slot (index, 1, 200, &found));
  kcp_cache_index_free (index);
}
END_TEST

START_TEST (test_the_index_counts_only_leading_blocks_of_each_server)
{
  struct kcp_cache_index *index = kcp_cache_index_new (INDEX_ENTRIES);
  const uint64_t chain[] = { 21, 22, 23 };
  kcp_cache_index_slot slots[2];
  int64_t leading[2];

  ck_assert (kcp_cache_index_find_slot (index, 1, 1, &slots[0]));
  ck_assert (kcp_cache_index_find_slot (index, 2, 1, &slots[1]));
  kcp_cache_index_add_chain (index, slots[0], chain, 2);
  kcp_cache_index_add_chain (index, slots[1], chain, 3);
  kcp_cache_index_remove (index, slots[1], 22);
  kcp_cache_index_count_leading (index, chain, 3, slots, 2, leading);
  ck_assert_int_eq (leading[0], 2);
  ck_assert_int_eq (leading[1], 1);
  kcp_cache_index_free (index);
}
END_TEST

/* After any number of events, the index must use the same amount of memory and report
   only blocks that were recorded for the current incarnation of the server. */
START_TEST (test_the_index_is_bounded_and_reports_only_recorded_blocks)
{
  struct kcp_cache_index *index = kcp_cache_index_new (INDEX_ENTRIES);
  GRand *random = g_rand_new_with_seed (seed);
  bool cached[4][256] = { 0 };
  uint64_t incarnations[4] = { 1, 1, 1, 1 };

  for (int i = 0; i < 200000; i++)
    {
      int server = g_rand_int_range (random, 0, 4);
      uint64_t block = (uint64_t)g_rand_int_range (random, 0, 256);
      uint64_t id = block * 0x9E3779B97F4A7C15u + 1;
      kcp_cache_index_slot slot;
      int64_t leading;

      if (g_rand_int_range (random, 0, 5000) == 0)
        {
          incarnations[server]++;
          memset (cached[server], 0, sizeof cached[server]);
        }
      ck_assert (kcp_cache_index_find_slot (index, (uint64_t)server + 1,
                                            incarnations[server], &slot));
      kcp_cache_index_count_leading (index, &id, 1, &slot, 1, &leading);
      ck_assert (leading == 0 || cached[server][block]);
      cached[server][block] = g_rand_boolean (random);
      if (cached[server][block])
        kcp_cache_index_add (index, slot, id);
      else
        kcp_cache_index_remove (index, slot, id);
    }
  ck_assert_uint_le (kcp_cache_index_bytes (index) / INDEX_ENTRIES, TARGET_BYTES);
  g_rand_free (random);
  kcp_cache_index_free (index);
}
END_TEST

START_TEST (test_placement_prefers_waiting_for_a_cached_prefix_to_recomputing_it)
{
  const struct kcp_placement_costs costs
      = { .ns_per_prompt_token = 50000, .ns_per_running = 1, .waste_percent = 300 };
  const struct kcp_placement_request request
      = { .prefix_head = 1, .prompt_tokens = 16000 };
  struct kcp_placement_candidate candidates[] = {
    { .hash = 1,
      .in_flight = 5,
      .limit = 5,
      .slot_wait_ns = 200 * KCP_NS_PER_MS,
      .cached_tokens = 16000 },
    { .hash = 2, .in_flight = 0, .limit = 5 },
  };

  ck_assert_int_eq (kcp_placement_choose (&request, candidates, 2, &costs), 0);
  ck_assert (!kcp_placement_has_slot (&candidates[0]));
  candidates[0].slot_wait_ns = 10 * KCP_NS_PER_S;
  ck_assert_int_eq (kcp_placement_choose (&request, candidates, 2, &costs), 1);
  ck_assert_int_eq (kcp_placement_choose (&request, candidates, 0, &costs),
                    KCP_PLACEMENT_NONE);
}
END_TEST

START_TEST (test_the_concurrency_limit_falls_on_queues_and_recovers)
{
  const struct kcp_concurrency_limit_settings settings = { .min = 4, .max = 64 };
  struct kcp_concurrency_limit limit;

  kcp_concurrency_limit_init (&limit, &settings);
  for (int i = 0; i < 100; i++)
    kcp_concurrency_limit_observe (
        &limit, &settings,
        &(struct kcp_concurrency_limit_report){ .in_flight = 30, .waiting = 6 });
  ck_assert_double_le (limit.value, 30.0);
  ck_assert_double_ge (limit.value, 4.0);
  for (int i = 0; i < 200; i++)
    kcp_concurrency_limit_observe (
        &limit, &settings,
        &(struct kcp_concurrency_limit_report){ .in_flight = (int64_t)limit.value });
  ck_assert_double_eq (limit.value, 64.0);
}
END_TEST

static struct kcp_admission_item
make_item (enum kcp_class class, uint64_t team, int64_t deadline_ns, uint64_t fingerprint)
{
  return (struct kcp_admission_item){
    .pool = 1,
    .class = class,
    .team = team,
    .share = 1,
    .work = WORK,
    .deadline_ns = deadline_ns,
    .fingerprint = fingerprint,
  };
}

static bool
fits_always (void *user, struct kcp_admission_item *item)
{
  (void)user;
  (void)item;
  return true;
}

/* A team that sends a hundred times as many requests gets no more slots than each of the
   others. */
START_TEST (test_slots_are_shared_fairly_between_4000_teams)
{
  struct kcp_admission *admission = kcp_admission_new ();
  const struct kcp_admission_now now = { 0, 0 };
  size_t count = TEAMS + 100;
  g_autofree struct kcp_admission_item *items = g_new0 (struct kcp_admission_item, count);
  g_autofree int *started = g_new0 (int, TEAMS);

  for (size_t i = 0; i < count; i++)
    {
      uint64_t team = i < 100 ? 0 : i - 100;

      items[i] = make_item (KCP_CLASS_NORMAL, team, LONG_NS, i);
      ck_assert (kcp_admission_offer (admission, &items[i], &now).queued);
    }
  for (size_t i = 0; i < TEAMS; i++)
    started[kcp_admission_next (admission, fits_always, NULL, 0)->team]++;
  for (size_t team = 0; team < TEAMS; team++)
    ck_assert_int_eq (started[team], 1);
  ck_assert_uint_eq (kcp_admission_waiting (admission), 100);
  kcp_admission_free (admission);
}
END_TEST

START_TEST (test_urgent_requests_start_first_then_the_earliest_deadline_of_a_team)
{
  struct kcp_admission *admission = kcp_admission_new ();
  const struct kcp_admission_now now = { 0, 0 };
  struct kcp_admission_item items[] = {
    make_item (KCP_CLASS_NORMAL, 1, LONG_NS, 1),
    make_item (KCP_CLASS_NORMAL, 1, LONG_NS / 2, 2),
    make_item (KCP_CLASS_URGENT, 2, LONG_NS, 3),
  };
  const uint64_t expected[] = { 3, 2, 1 };

  for (int i = 0; i < 3; i++)
    ck_assert (kcp_admission_offer (admission, &items[i], &now).queued);
  for (int i = 0; i < 3; i++)
    ck_assert_uint_eq (kcp_admission_next (admission, fits_always, NULL, 0)->fingerprint,
                       expected[i]);
  ck_assert_ptr_null (kcp_admission_next (admission, fits_always, NULL, 0));
  kcp_admission_free (admission);
}
END_TEST

/* Starts one request every 100 ms for 2 s while ten wait, so that the start rate is
   known. */
static int64_t
fill_and_run (struct kcp_admission *admission, struct kcp_admission_item *items)
{
  struct kcp_admission_now now = { 0, 0 };

  for (int i = 0; i < 30; i++)
    {
      items[i] = make_item (KCP_CLASS_NORMAL, 1, LONG_NS, 8 * (uint64_t)i);
      ck_assert (kcp_admission_offer (admission, &items[i], &now).queued);
    }
  for (int i = 0; i < 20; i++)
    {
      now.monotonic_ns += 100 * KCP_NS_PER_MS;
      ck_assert_ptr_nonnull (
          kcp_admission_next (admission, fits_always, NULL, now.monotonic_ns));
    }
  return now.monotonic_ns;
}

START_TEST (test_a_refused_request_is_queued_after_its_retry_after_time)
{
  struct kcp_admission *admission = kcp_admission_new ();
  g_autofree struct kcp_admission_item *items = g_new0 (struct kcp_admission_item, 40);
  int64_t now_ns = fill_and_run (admission, items);
  struct kcp_admission_now now = { now_ns, now_ns / KCP_NS_PER_MS };
  struct kcp_admission_item refused
      = make_item (KCP_CLASS_NORMAL, 1, now_ns + 200 * KCP_NS_PER_MS, 5);
  struct kcp_admission_item other_team
      = make_item (KCP_CLASS_NORMAL, 2, now_ns + 400 * KCP_NS_PER_MS, 6);
  struct kcp_admission_verdict verdict = kcp_admission_offer (admission, &refused, &now);

  ck_assert (!verdict.queued);
  ck_assert_int_ge (verdict.retry_after_s, 1);
  ck_assert (kcp_admission_offer (admission, &other_team, &now).queued);
  for (int i = 0; i < 11; i++)
    ck_assert_ptr_nonnull (kcp_admission_next (admission, fits_always, NULL, now_ns));
  now.monotonic_ns += verdict.retry_after_s * KCP_NS_PER_S;
  now.realtime_ms += verdict.retry_after_s * KCP_MS_PER_S;
  refused.deadline_ns = now.monotonic_ns + 200 * KCP_NS_PER_MS;
  ck_assert (kcp_admission_offer (admission, &refused, &now).queued);
  kcp_admission_free (admission);
}
END_TEST

START_TEST (test_a_request_expires_when_its_latest_start_has_passed)
{
  struct kcp_admission *admission = kcp_admission_new ();
  const struct kcp_admission_now now = { 0, 0 };
  struct kcp_admission_item item = make_item (KCP_CLASS_NORMAL, 1, 1000, 1);

  item.run_ns = 400;
  ck_assert (kcp_admission_offer (admission, &item, &now).queued);
  ck_assert_ptr_null (kcp_admission_expired (admission, 600));
  ck_assert_ptr_eq (kcp_admission_expired (admission, 601), &item);
  ck_assert_uint_eq (kcp_admission_waiting (admission), 0);
  kcp_admission_remove (admission, &item, 601);
  kcp_admission_free (admission);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("policy_decisions");

  if (argc > 1)
    seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
  (void)printf ("seed %u\n", seed);
  tcase_add_test (tests, test_a_new_incarnation_clears_the_index_entries_of_a_server);
  tcase_add_test (tests, test_the_index_counts_only_leading_blocks_of_each_server);
  tcase_add_test (tests, test_the_index_is_bounded_and_reports_only_recorded_blocks);
  tcase_add_test (tests,
                  test_placement_prefers_waiting_for_a_cached_prefix_to_recomputing_it);
  tcase_add_test (tests, test_the_concurrency_limit_falls_on_queues_and_recovers);
  tcase_add_test (tests, test_slots_are_shared_fairly_between_4000_teams);
  tcase_add_test (tests,
                  test_urgent_requests_start_first_then_the_earliest_deadline_of_a_team);
  tcase_add_test (tests, test_a_refused_request_is_queued_after_its_retry_after_time);
  tcase_add_test (tests, test_a_request_expires_when_its_latest_start_has_passed);
  return run_started_suite ();
}
