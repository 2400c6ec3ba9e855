#include "booking/booking.h"

#include <glib.h>
#include <string.h>

#include "base/counter.h"
#include "booking/seal.h"
#include "booking/uuid7.h"
#include "booking/worker.h"

#define STEP        "booking"
#define WORKERS_MAX 4
#define HASH_DIGITS 8 /* of a key's hash, that choose its partition */
#define HEX_BASE    16

/* An append and the read after it share the platform's time limit. */
#define CALLS_PER_DECISION 2

struct kcp_booking
{
  struct kcp_platform_log *log;
  const struct kcp_clock *clock;
  char *vm;
  char writer[KCP_ID_LEN + 1];
  struct kcp_seal seal;
  unsigned partitions;
  unsigned worker_count;
  struct kcp_booking_worker *workers[WORKERS_MAX];
};

/* What a claim's caller gets once its answer has been opened. */
struct claimant
{
  struct kcp_booking *booking;
  char key[KCP_HASH_HEX_LEN + 1];
  kcp_claim_done *done;
  void *user;
};

static void
post (struct kcp_booking *booking, const char *key, struct kcp_pending *pending);
static void on_claimed (void *user, const struct kcp_claim_answer *answer);
static void
open_outcome (const struct claimant *claimant, struct kcp_claim_answer *answer);

/* Starts the workers. */
struct kcp_booking *
kcp_booking_start (const struct kcp_booking_options *options)
{
  const struct kcp_settings *settings = options->settings;
  struct kcp_booking *booking = g_new0 (struct kcp_booking, 1);
  struct kcp_booking_worker_options worker = {
    .clock = options->clock,
    .partitions = settings->booking_partitions,
    .batch_ms = settings->booking_batch_ms,
    .partition = {
      .writer = booking->writer,
      .window_ms = settings->booking_dedupe_window_s * KCP_MS_PER_S,
      .checkpoint_ms = settings->booking_checkpoint_ms,
      .outcome_retry_ms = settings->booking_outcome_retry_ms,
      .decision_limit_ms = settings->platform_timeout_ms,
      .is_alive = options->is_alive,
      .user = options->user,
    },
  };

  booking->log = kcp_platform_log_new (
      settings->platform_log_url,
      MAX (settings->platform_timeout_ms / CALLS_PER_DECISION, 1));
  booking->clock = options->clock;
  booking->vm = g_strdup (settings->vm_id);
  kcp_id_random (booking->writer);
  kcp_seal_init (&booking->seal, settings->peers_key);
  booking->partitions = (unsigned)settings->booking_partitions;
  booking->worker_count = MIN (booking->partitions, WORKERS_MAX);
  worker.log = booking->log;
  worker.partition.vm = booking->vm;
  for (unsigned i = 0; i < booking->worker_count; i++)
    booking->workers[i] = kcp_booking_worker_start (&worker);
  return booking;
}

/* Settles what is queued, for a bounded time, stops the workers and frees it; NULL is
   allowed. */
void
kcp_booking_stop (struct kcp_booking *booking)
{
  if (booking == NULL)
    return;
  for (unsigned i = 0; i < booking->worker_count; i++)
    kcp_booking_worker_stop (booking->workers[i]);
  kcp_seal_clear (&booking->seal);
  kcp_platform_log_free (booking->log);
  g_free (booking->vm);
  g_free (booking);
}

/* Claims a key. done is called exactly once, on a booking thread, within the platform's
   time limit and that of one append before it. */
void
kcp_booking_claim (struct kcp_booking *booking, const struct kcp_booking_call *call,
                   kcp_claim_done *done, void *user)
{
  struct claimant *claimant = g_new0 (struct claimant, 1);
  struct kcp_pending *pending
      = kcp_pending_claim (call->key, call->body_hash, on_claimed, claimant);

  claimant->booking = booking;
  g_strlcpy (claimant->key, call->key, sizeof claimant->key);
  claimant->done = done;
  claimant->user = user;
  pending->key_ms = kcp_uuid7_time_ms (call->idempotency_key);
  pending->until_ms = kcp_clock_realtime_ms (booking->clock) + call->left_ms;
  kcp_counter_add (KCP_COUNT_BOOKING_CLAIMS, 1);
  post (booking, call->key, pending);
}

/* Records the outcome of a won claim, so that repeats of its key get the same answer. It
   is sealed first. done is called when it is in the log or its first append failed. */
void
kcp_booking_record_outcome (struct kcp_booking *booking, const char *key,
                            const char *claim, json_t *outcome, kcp_outcome_done *done,
                            void *user)
{
  g_autofree char *sealed = kcp_seal_close (&booking->seal, key, outcome);

  post (booking, key, kcp_pending_outcome (key, claim, sealed, done, user));
}

/* Gives up a won claim that was never dispatched and never will be. */
void
kcp_booking_release (struct kcp_booking *booking, const char *key, const char *claim)
{
  post (booking, key, kcp_pending_release (key, claim));
}

static void
post (struct kcp_booking *booking, const char *key, struct kcp_pending *pending)
{
  g_autofree char *head = g_strndup (key, HASH_DIGITS);
  unsigned partition
      = (unsigned)(g_ascii_strtoull (head, NULL, HEX_BASE) % booking->partitions);

  kcp_booking_worker_post (booking->workers[partition % booking->worker_count], partition,
                           pending);
}

static void
on_claimed (void *user, const struct kcp_claim_answer *answer)
{
  struct claimant *claimant = user;
  struct kcp_claim_answer opened = *answer;

  if (opened.result == KCP_CLAIM_REPEAT)
    open_outcome (claimant, &opened);
  claimant->done (claimant->user, &opened);
  json_decref (opened.outcome);
  g_free (claimant);
}

static void
open_outcome (const struct claimant *claimant, struct kcp_claim_answer *answer)
{
  answer->outcome
      = kcp_seal_open (&claimant->booking->seal, claimant->key, answer->sealed);
  if (answer->outcome != NULL)
    return;
  answer->result = KCP_CLAIM_REFUSED;
  kcp_error_set (&answer->error, KCP_ERR_OUTCOME_UNKNOWN, STEP, NULL,
                 "this call ran, but its outcome was sealed under another key; look up "
                 "its status");
  answer->error.execution = KCP_EXECUTION_RAN;
}
