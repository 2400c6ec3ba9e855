#include "forward/suspect_store.h"

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/crash_suspects.h"
#include "forward/kept_records.h"
#include "forward/suspect_record.h"

#define FACTS_MAX   256u /* of one record; further ones are not kept */
#define RECORDS_MAX 512u
#define KEY_SIZE    17 /* with the final 0 */

/* The delays of the records of a kind. */
struct batch_times
{
  int64_t delay_ns;
  int64_t gap_ns;
};

/* When a record is written after its first suspect, and the least time after the record
   before. The first delay is short, since all VMs may be killed soon after a crash, and
   servers that crash together are found to have crashed one after the other. */
static const struct batch_times crashed_times
    = { .delay_ns = 5 * KCP_NS_PER_MS, .gap_ns = 200 * KCP_NS_PER_MS };
static const struct batch_times cleared_times
    = { .delay_ns = 1 * KCP_NS_PER_S, .gap_ns = 1 * KCP_NS_PER_S };

/* Suspects that wait to be written together. */
struct batch
{
  struct kcp_suspect_store *store;
  GArray *suspects; /* struct kcp_suspect */
  const struct batch_times *times;
  int64_t written_ns; /* when the last record was; 0: none was */
  struct kcp_loop_timer timer;
};

struct kcp_suspect_store
{
  struct kcp_gateway *gateway;
  struct kcp_kept_records *records;
  struct batch crashed;
  struct batch cleared;
};

static int64_t
read_record (void *user, struct kcp_str key, struct kcp_str value, const char **reason);
static void batch_init (struct kcp_suspect_store *store, struct batch *batch,
                        const struct batch_times *times);
static void batch_clear (struct batch *batch);
static void batch_add (struct batch *batch, struct kcp_suspect suspect);
static bool contains (const struct batch *batch, struct kcp_suspect suspect);
static void write_batch (void *user);
static int64_t add_fact (const struct kcp_suspect_store *store,
                         struct kcp_suspect suspect, GString *record);

/* Starts to read the suspects. gateway and store must outlive the result. */
struct kcp_suspect_store *
kcp_suspect_store_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_suspect_store *suspects = g_new0 (struct kcp_suspect_store, 1);

  suspects->gateway = gateway;
  batch_init (suspects, &suspects->crashed, &crashed_times);
  batch_init (suspects, &suspects->cleared, &cleared_times);
  suspects->records = kcp_kept_records_start (&(struct kcp_kept_records_spec){
      .gateway = gateway,
      .store = store,
      .topic = KCP_STORE_SUSPECTS,
      .what = "suspects",
      .rows_max = RECORDS_MAX,
      .read = read_record,
      .user = suspects,
  });
  return suspects;
}

/* Cancels the timers and frees the state; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_suspect_store_stop (struct kcp_suspect_store *suspects)
{
  if (suspects == NULL)
    return;
  batch_clear (&suspects->crashed);
  batch_clear (&suspects->cleared);
  kcp_kept_records_stop (suspects->records);
  g_free (suspects);
}

/* Has a suspect written with which this VM found a server crashed. suspects may be NULL
   here and in the function below. */
void
kcp_suspect_store_add_crash (struct kcp_suspect_store *suspects,
                             struct kcp_suspect suspect)
{
  if (suspects != NULL)
    batch_add (&suspects->crashed, suspect);
}

/* Has it written that this VM cleared a suspect. */
void
kcp_suspect_store_add_cleared (struct kcp_suspect_store *suspects,
                               struct kcp_suspect suspect)
{
  if (suspects != NULL)
    batch_add (&suspects->cleared, suspect);
}

/* Merges the facts of a record. */
static int64_t
read_record (void *user, struct kcp_str key, struct kcp_str value, const char **reason)
{
  const struct kcp_suspect_store *suspects = user;
  int64_t now_ms = kcp_clock_realtime_ms (suspects->gateway->clock);
  int64_t until_ms = KCP_KEPT_RECORD_INVALID;

  (void)key;
  *reason = "no fact";
  while (value.len > 0)
    {
      struct kcp_str line = kcp_suspect_record_next_line (&value);
      struct kcp_suspect_fact known;

      if (!kcp_suspect_record_read (line, now_ms, &known))
        continue;
      until_ms = MAX (until_ms, now_ms + known.fact.remaining_ms);
      kcp_crash_suspects_restore_fact (suspects->gateway, known.kind, &known.fact);
    }
  return until_ms;
}

static void
batch_init (struct kcp_suspect_store *store, struct batch *batch,
            const struct batch_times *times)
{
  batch->store = store;
  batch->times = times;
  batch->suspects = g_array_new (FALSE, FALSE, sizeof (struct kcp_suspect));
}

static void
batch_clear (struct batch *batch)
{
  kcp_loop_timer_cancel (&batch->timer);
  g_array_unref (batch->suspects);
}

static void
batch_add (struct batch *batch, struct kcp_suspect suspect)
{
  struct kcp_loop *loop = batch->store->gateway->loop;

  if (contains (batch, suspect))
    return;
  if (batch->suspects->len == FACTS_MAX)
    {
      write_batch (batch);
      kcp_loop_timer_cancel (&batch->timer);
    }
  g_array_append_val (batch->suspects, suspect);
  if (batch->suspects->len == 1)
    kcp_loop_timer_set (loop, &batch->timer,
                        MAX (kcp_loop_now (loop) + batch->times->delay_ns,
                             batch->written_ns + batch->times->gap_ns),
                        write_batch, batch);
}

static bool
contains (const struct batch *batch, struct kcp_suspect suspect)
{
  for (guint i = 0; i < batch->suspects->len; i++)
    {
      const struct kcp_suspect *known
          = &g_array_index (batch->suspects, struct kcp_suspect, i);

      if (known->kind == suspect.kind && known->fingerprint == suspect.fingerprint)
        return true;
    }
  return false;
}

/* Writes what is known of the batch's suspects now. */
static void
write_batch (void *user)
{
  struct batch *batch = user;
  const struct kcp_suspect_store *store = batch->store;
  g_autoptr (GString) record = g_string_new (NULL);
  char key[KEY_SIZE];
  int64_t until_ms = 0;

  for (guint i = 0; i < batch->suspects->len; i++)
    until_ms = MAX (
        until_ms,
        add_fact (store, g_array_index (batch->suspects, struct kcp_suspect, i), record));
  g_array_set_size (batch->suspects, 0);
  batch->written_ns = kcp_loop_now (store->gateway->loop);
  if (record->len == 0)
    return;
  (void)g_snprintf (key, sizeof key, "%016" G_GINT64_MODIFIER "x", kcp_id_random_u64 ());
  kcp_kept_records_put (store->records, key, record->str, until_ms);
}

/* Adds the line of a suspect. Returns the Unix time in milliseconds at which the fact
   ends; 0: there is none. */
static int64_t
add_fact (const struct kcp_suspect_store *store, struct kcp_suspect suspect,
          GString *record)
{
  const struct kcp_gateway *gateway = store->gateway;
  int64_t now_ms = kcp_clock_realtime_ms (gateway->clock);
  struct kcp_suspect_fact known = { .kind = suspect.kind };

  if (!kcp_quarantine_get_fact (gateway->quarantines[suspect.kind], suspect.fingerprint,
                                kcp_loop_now (gateway->loop), &known.fact))
    return 0;
  kcp_suspect_record_add (record, &known, now_ms);
  return now_ms + known.fact.remaining_ms;
}
