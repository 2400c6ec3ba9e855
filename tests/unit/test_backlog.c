/* Replays the load of a grown deployment with a third of its servers dark: 43 servers are
   left, new weights have emptied their caches, and a fifth more long prompts come than
   they can read. */
#include <check.h>
#include <glib.h>

#include "policy/backlog.h"
#include "policy/retry_after.h"
#include "tests/harness/run_suite.h"

#define SERVERS          43
#define READ_MS          353 /* for 17,020 tokens at 48.2 in a millisecond */
#define PATIENCE_MS      6000
#define STEP_MS          10
#define RUN_MS           24000
#define OVERLOAD_PERCENT 120
#define SEED             7

struct prompt
{
  int server;
  int64_t remaining_ms; /* of the reading */
  int64_t deadline_ms;  /* of the caller */
  bool returned;        /* it was refused once and came back */
};

struct returning
{
  int64_t at_ms;
  int64_t deadline_ms;
};

struct outcome
{
  unsigned asked;
  unsigned in_time;
  unsigned in_vain; /* taken, but not read when their callers left */
  unsigned refused;
};

struct world
{
  bool refuses;
  GArray *prompts; /* struct prompt, being read */
  GArray *callers; /* struct returning */
  GRand *rand;
  struct outcome outcome;
};

static int64_t
unread_ms (const struct world *world, int server)
{
  int64_t sum = 0;

  for (guint i = 0; i < world->prompts->len; i++)
    {
      const struct prompt *prompt = &g_array_index (world->prompts, struct prompt, i);

      if (prompt->server == server)
        sum += prompt->remaining_ms;
    }
  return sum;
}

/* Takes the prompt at the server with the least to read, or refuses it. */
static void
arrive (struct world *world, int64_t now_ms, int64_t deadline_ms, bool returned)
{
  struct prompt prompt
      = { .remaining_ms = READ_MS, .deadline_ms = deadline_ms, .returned = returned };
  int64_t least_ms = unread_ms (world, 0);
  struct kcp_backlog backlog = { .prefill_us = READ_MS * 1000 };
  struct returning caller = { .deadline_ms = deadline_ms };

  for (int server = 1; server < SERVERS; server++)
    {
      int64_t ms = unread_ms (world, server);

      if (ms >= least_ms)
        continue;
      least_ms = ms;
      prompt.server = server;
    }
  backlog.wait_us = least_ms * 1000;
  backlog.remaining_ms = deadline_ms - now_ms;
  if (!world->refuses || !kcp_backlog_refuses (&backlog))
    {
      g_array_append_val (world->prompts, prompt);
      return;
    }
  if (returned)
    {
      world->outcome.refused++;
      return;
    }
  caller.at_ms
      = now_ms
        + kcp_retry_after_ms (least_ms, backlog.remaining_ms, g_rand_int (world->rand));
  g_array_append_val (world->callers, caller);
}

/* Each server reads for all its prompts by turns. */
static void
read_some (struct world *world, int64_t now_ms)
{
  unsigned count[SERVERS] = { 0 };

  for (guint i = 0; i < world->prompts->len; i++)
    count[g_array_index (world->prompts, struct prompt, i).server]++;
  for (guint i = world->prompts->len; i > 0; i--)
    {
      struct prompt *prompt = &g_array_index (world->prompts, struct prompt, i - 1);
      unsigned others = count[prompt->server];
      /* The remainder goes to one of them each step. */
      int64_t turn_ms
          = STEP_MS / others + ((now_ms / STEP_MS + i) % others < STEP_MS % others);

      prompt->remaining_ms -= turn_ms;
      if (prompt->remaining_ms > 0 && now_ms < prompt->deadline_ms)
        continue;
      if (prompt->remaining_ms <= 0)
        world->outcome.in_time++;
      else
        world->outcome.in_vain++;
      g_array_remove_index (world->prompts, i - 1);
    }
}

static void
let_return (struct world *world, int64_t now_ms)
{
  for (guint i = world->callers->len; i > 0; i--)
    {
      struct returning caller = g_array_index (world->callers, struct returning, i - 1);

      if (caller.at_ms > now_ms)
        continue;
      g_array_remove_index_fast (world->callers, i - 1);
      arrive (world, now_ms, caller.deadline_ms, true);
    }
}

static struct outcome
play (bool refuses)
{
  struct world world = { .refuses = refuses,
                         .prompts = g_array_new (FALSE, FALSE, sizeof (struct prompt)),
                         .callers = g_array_new (FALSE, FALSE, sizeof (struct returning)),
                         .rand = g_rand_new_with_seed (SEED) };
  int64_t due_ms = 0; /* of reading that has to arrive */

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      due_ms += SERVERS * STEP_MS * OVERLOAD_PERCENT / 100;
      for (; due_ms >= READ_MS; due_ms -= READ_MS)
        {
          world.outcome.asked++;
          arrive (&world, now_ms, now_ms + PATIENCE_MS, false);
        }
      let_return (&world, now_ms);
      read_some (&world, now_ms);
    }
  g_array_unref (world.prompts);
  g_array_unref (world.callers);
  g_rand_free (world.rand);
  return world.outcome;
}

START_TEST (test_what_is_taken_under_overload_is_read_in_time)
{
  struct outcome taken_all = play (false);
  struct outcome outcome = play (true);
  unsigned could_read = SERVERS * RUN_MS / READ_MS;

  ck_assert_uint_gt (taken_all.in_vain, taken_all.asked / 10);
  ck_assert_uint_eq (outcome.in_vain, 0);
  ck_assert_uint_gt (outcome.in_time, could_read * 9 / 10);
  ck_assert_uint_gt (outcome.in_time, taken_all.in_time);
}
END_TEST

START_TEST (test_short_prompts_and_short_waits_are_never_refused)
{
  struct kcp_backlog backlog
      = { .wait_us = 1400000, .prefill_us = 353000, .remaining_ms = PATIENCE_MS };

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
  Suite *suite = suite_create ("backlog");
  TCase *cases = tcase_create ("backlog");

  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_what_is_taken_under_overload_is_read_in_time);
  tcase_add_test (cases, test_short_prompts_and_short_waits_are_never_refused);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
