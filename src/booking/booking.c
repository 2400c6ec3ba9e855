#include "booking/booking.h"

#include <glib.h>
#include <string.h>

#include "base/counter.h"
#include "booking/seal.h"
#include "booking/uuid7.h"
#include "booking/worker.h"

#define STEP        "booking"
#define WORKERS_MAX 4

/* The number of leading digits of the key's hash that select the partition. */
#define PARTITION_HASH_DIGITS 8
#define HEX_BASE              16

/* An append and the read that follows it share the platform timeout. */
#define LOG_CALLS_PER_CLAIM 2

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

/* The caller of a claim, who receives the answer once its outcome has been decrypted. */
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
decrypt_outcome (const struct claimant *claimant, struct kcp_claim_answer *answer);

/* Starts the booking module and its worker threads. */
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
      .decision_timeout_ms = settings->platform_timeout_ms,
      .is_alive = options->is_alive,
      .user = options->user,
    },
  };

  booking->log = kcp_platform_log_new (
      settings->platform_log_url,
      MAX (settings->platform_timeout_ms / LOG_CALLS_PER_CLAIM, 1));
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

/* Processes the queued entries for a limited time, stops the workers and frees booking;
   NULL is allowed. */
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

/* Claims a key. done is called exactly once, on a booking thread, within the platform
   timeout plus the timeout of one append that may be running before it. */
void
kcp_booking_claim (struct kcp_booking *booking, const struct kcp_booking_call *call,
                   kcp_claim_done *done, void *user)
{
  struct claimant *claimant = g_new0 (struct claimant, 1);
  struct kcp_pending *pending
      = kcp_pending_new_claim (call->key, call->body_hash, on_claimed, claimant);

  claimant->booking = booking;
  g_strlcpy (claimant->key, call->key, sizeof claimant->key);
  claimant->done = done;
  claimant->user = user;
  pending->key_created_ms = kcp_uuid7_time_ms (call->idempotency_key);
  pending->deadline_ms = kcp_clock_realtime_ms (booking->clock) + call->remaining_ms;
  kcp_counter_add (KCP_COUNT_BOOKING_CLAIMS, 1);
  post (booking, call->key, pending);
}

/* Records the outcome of a won claim, so that later calls with the same key get the same
   answer. The outcome is encrypted first. done is called when the outcome is in the log
   or its first append has failed. */
void
kcp_booking_record_outcome (struct kcp_booking *booking, const char *key,
                            const char *claim, json_t *outcome, kcp_outcome_done *done,
                            void *user)
{
  g_autofree char *sealed = kcp_seal_encrypt (&booking->seal, key, outcome);

  post (booking, key, kcp_pending_new_outcome (key, claim, sealed, done, user));
}

/* Releases a won claim whose call was not dispatched and never will be. */
void
kcp_booking_release (struct kcp_booking *booking, const char *key, const char *claim)
{
  post (booking, key, kcp_pending_new_release (key, claim));
}

static void
post (struct kcp_booking *booking, const char *key, struct kcp_pending *pending)
{
  g_autofree char *head = g_strndup (key, PARTITION_HASH_DIGITS);
  unsigned partition
      = (unsigned)(g_ascii_strtoull (head, NULL, HEX_BASE) % booking->partitions);

  kcp_booking_worker_post (booking->workers[partition % booking->worker_count], partition,
                           pending);
}

static void
on_claimed (void *user, const struct kcp_claim_answer *answer)
{
  struct claimant *claimant = user;
  struct kcp_claim_answer decrypted = *answer;

  if (decrypted.result == KCP_CLAIM_REPEAT)
    decrypt_outcome (claimant, &decrypted);
  claimant->done (claimant->user, &decrypted);
  json_decref (decrypted.outcome);
  g_free (claimant);
}

static void
decrypt_outcome (const struct claimant *claimant, struct kcp_claim_answer *answer)
{
  answer->outcome
      = kcp_seal_decrypt (&claimant->booking->seal, claimant->key, answer->sealed);
  if (answer->outcome != NULL)
    return;
  answer->result = KCP_CLAIM_REFUSED;
  kcp_error_set (&answer->error, KCP_ERR_OUTCOME_UNKNOWN, STEP, NULL,
                 "this call ran, but its outcome was sealed under another key; look up "
                 "its status");
  answer->error.execution = KCP_EXECUTION_RAN;
}
