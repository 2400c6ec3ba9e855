/* Simulates the load that follows when a third of the servers of a large deployment is
   down: 43 servers remain, new weights have emptied their caches, and a fifth more long
   prompts arrive than the servers can prefill. Guards against admitting prompts that
   cannot be prefilled before their callers time out, and against refusing most of the
   streams that callers resume with less time left. */
#include <check.h>
#include <glib.h>

#include "policy/backlog.h"
#include "policy/retry_after.h"
#include "tests/harness/run_suite.h"

#define SERVERS           43
#define PREFILL_MS        353 /* for 17,020 tokens at 48.2 tokens per millisecond */
#define CALLER_TIMEOUT_MS 6000
#define STEP_MS           10
#define RUN_MS            24000
#define OVERLOAD_PERCENT  120
#define SEED              7
#define RESUMED_EVERY     10   /* one of so many prompts is of a resumed stream */
#define RESUMED_LEFT_MS   3000 /* of its caller's time */

struct prompt
{
  int server;
  int64_t remaining_ms; /* prefill time left */
  int64_t deadline_ms;  /* when the caller times out */
  bool retried;         /* refused once, then sent again */
  bool resumed;         /* of a stream that its caller resumes */
};

struct retrying_caller
{
  int64_t at_ms;
  int64_t deadline_ms;
  bool resumed;
};

struct outcome
{
  unsigned requests;
  unsigned in_time;
  unsigned wasted; /* admitted, but not prefilled when the caller timed out */
  unsigned refused;
  unsigned resumed; /* requests that resume a stream */
  unsigned resumed_in_time;
};

struct simulation
{
  bool refuses;
  GArray *prompts; /* struct prompt, being prefilled */
  GArray *callers; /* struct retrying_caller */
  GRand *rand;
  struct outcome outcome;
};

static int64_t
pending_prefill_ms (const struct simulation *simulation, int server)
{
  int64_t sum = 0;

  for (guint i = 0; i < simulation->prompts->len; i++)
    {
      const struct prompt *prompt
          = &g_array_index (simulation->prompts, struct prompt, i);

      if (prompt->server == server)
        sum += prompt->remaining_ms;
    }
  return sum;
}

/* Sends the prompt to the server with the shortest pending prefill, or refuses it. */
static void
on_arrival (struct simulation *simulation, int64_t now_ms, int64_t deadline_ms,
            bool retried, bool resumed)
{
  struct prompt prompt = { .remaining_ms = PREFILL_MS,
                           .deadline_ms = deadline_ms,
                           .retried = retried,
                           .resumed = resumed };
  int64_t min_ms = pending_prefill_ms (simulation, 0);
  struct kcp_backlog backlog = { .prefill_us = PREFILL_MS * 1000, .resumed = resumed };
  struct retrying_caller caller = { .deadline_ms = deadline_ms, .resumed = resumed };

  for (int server = 1; server < SERVERS; server++)
    {
      int64_t ms = pending_prefill_ms (simulation, server);

      if (ms >= min_ms)
        continue;
      min_ms = ms;
      prompt.server = server;
    }
  backlog.wait_us = min_ms * 1000;
  backlog.remaining_ms = deadline_ms - now_ms;
  if (!simulation->refuses || !kcp_backlog_refuses (&backlog))
    {
      g_array_append_val (simulation->prompts, prompt);
      return;
    }
  if (retried)
    {
      simulation->outcome.refused++;
      return;
    }
  caller.at_ms = now_ms
                 + kcp_retry_after_ms (min_ms, backlog.remaining_ms,
                                       g_rand_int (simulation->rand));
  g_array_append_val (simulation->callers, caller);
}

/* Counts a prompt that has been prefilled, or whose caller has timed out. */
static void
count_end (struct outcome *outcome, const struct prompt *prompt)
{
  bool in_time = prompt->remaining_ms <= 0;

  outcome->in_time += in_time;
  outcome->wasted += !in_time;
  outcome->resumed_in_time += in_time && prompt->resumed;
}

/* Lets each server prefill for one step: the prompts of resumed streams first, which
   share the step equally, or else its other ones. */
static void
run_prefills (struct simulation *simulation, int64_t now_ms)
{
  unsigned resumed[SERVERS] = { 0 };
  unsigned others[SERVERS] = { 0 };

  for (guint i = 0; i < simulation->prompts->len; i++)
    {
      const struct prompt *prompt
          = &g_array_index (simulation->prompts, struct prompt, i);

      (prompt->resumed ? resumed : others)[prompt->server]++;
    }
  for (guint i = simulation->prompts->len; i > 0; i--)
    {
      struct prompt *prompt = &g_array_index (simulation->prompts, struct prompt, i - 1);
      bool waits = !prompt->resumed && resumed[prompt->server] > 0;
      unsigned sharing = (prompt->resumed ? resumed : others)[prompt->server];
      /* In each step, one of the prompts gets the remainder. */
      int64_t slice_ms
          = STEP_MS / sharing + ((now_ms / STEP_MS + i) % sharing < STEP_MS % sharing);

      prompt->remaining_ms -= waits ? 0 : slice_ms;
      if (prompt->remaining_ms > 0 && now_ms < prompt->deadline_ms)
        continue;
      count_end (&simulation->outcome, prompt);
      g_array_remove_index (simulation->prompts, i - 1);
    }
}

static void
retry_callers (struct simulation *simulation, int64_t now_ms)
{
  for (guint i = simulation->callers->len; i > 0; i--)
    {
      struct retrying_caller caller
          = g_array_index (simulation->callers, struct retrying_caller, i - 1);

      if (caller.at_ms > now_ms)
        continue;
      g_array_remove_index_fast (simulation->callers, i - 1);
      on_arrival (simulation, now_ms, caller.deadline_ms, true, caller.resumed);
    }
}

/* Adds a new prompt, or one of a resumed stream. */
static void
arrive (struct simulation *simulation, int64_t now_ms, bool resumed)
{
  int64_t left_ms = resumed ? RESUMED_LEFT_MS : CALLER_TIMEOUT_MS;

  simulation->outcome.requests++;
  simulation->outcome.resumed += resumed;
  on_arrival (simulation, now_ms, now_ms + left_ms, false, resumed);
}

/* resumed_every: one of so many prompts is of a resumed stream; 0: none is. */
static struct outcome
simulate (bool refuses, unsigned resumed_every)
{
  struct simulation simulation
      = { .refuses = refuses,
          .prompts = g_array_new (FALSE, FALSE, sizeof (struct prompt)),
          .callers = g_array_new (FALSE, FALSE, sizeof (struct retrying_caller)),
          .rand = g_rand_new_with_seed (SEED) };
  int64_t arriving_ms = 0; /* prefill time of prompts still to arrive */

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      arriving_ms += SERVERS * STEP_MS * OVERLOAD_PERCENT / 100;
      for (; arriving_ms >= PREFILL_MS; arriving_ms -= PREFILL_MS)
        arrive (&simulation, now_ms,
                resumed_every > 0 && simulation.outcome.requests % resumed_every == 0);
      retry_callers (&simulation, now_ms);
      run_prefills (&simulation, now_ms);
    }
  g_array_unref (simulation.prompts);
  g_array_unref (simulation.callers);
  g_rand_free (simulation.rand);
  return simulation.outcome;
}

START_TEST (test_prompts_admitted_under_overload_are_prefilled_in_time)
{
  struct outcome unlimited = simulate (false, 0);
  struct outcome outcome = simulate (true, 0);
  unsigned capacity = SERVERS * RUN_MS / PREFILL_MS;

  ck_assert_uint_gt (unlimited.wasted, unlimited.requests / 10);
  ck_assert_uint_eq (outcome.wasted, 0);
  ck_assert_uint_gt (outcome.in_time, capacity * 9 / 10);
  ck_assert_uint_gt (outcome.in_time, unlimited.in_time);
}
END_TEST

START_TEST (test_resumed_streams_are_refused_for_new_prompts)
{
  struct outcome outcome = simulate (true, RESUMED_EVERY);
  unsigned new_prompts = outcome.requests - outcome.resumed;
  unsigned new_in_time = outcome.in_time - outcome.resumed_in_time;

  g_print ("resumed %u of %u, new %u of %u, wasted %u\n", outcome.resumed_in_time,
           outcome.resumed, new_in_time, new_prompts, outcome.wasted);
  ck_assert_uint_ge (2 * outcome.resumed_in_time * new_prompts,
                     new_in_time * outcome.resumed);
  ck_assert_uint_le (outcome.wasted, outcome.requests / 100);
}
END_TEST

START_TEST (test_short_prompts_and_short_waits_are_never_refused)
{
  struct kcp_backlog backlog
      = { .wait_us = 1400000, .prefill_us = 353000, .remaining_ms = CALLER_TIMEOUT_MS };

  ck_assert (!kcp_backlog_refuses (&backlog));
  backlog.wait_us = 1600000;
  ck_assert (kcp_backlog_refuses (&backlog));
  backlog.prefill_us = 8000;
  ck_assert (!kcp_backlog_refuses (&backlog));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("backlog");

  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_prompts_admitted_under_overload_are_prefilled_in_time);
  tcase_add_test (cases, test_resumed_streams_are_refused_for_new_prompts);
  tcase_add_test (cases, test_short_prompts_and_short_waits_are_never_refused);
  return run_started_suite ();
}
