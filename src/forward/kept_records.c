#include "forward/kept_records.h"

#include <string.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/mesh.h"

/* Delay after a failed call; a random delay of up to the same length is added. */
#define RETRY_MS          500
#define SWEEP_INTERVAL_MS 60000 /* between searches for records to delete */

enum row_state
{
  ROW_TO_WRITE,
  ROW_STORED,
  ROW_TO_DELETE
};

/* A record that this VM has read or has to write. */
struct row
{
  char *key;
  char *value;
  int64_t until_ms; /* Unix time */
  bool own;         /* this VM writes it */
  enum row_state state;
};

struct kcp_kept_records
{
  struct kcp_kept_records_spec spec;
  GPtrArray *rows;    /* struct row, oldest first */
  GHashTable *by_key; /* key -> struct row, borrowed */
  char *last_key;     /* listed so far; NULL: the listing begins */
  char *written;      /* key of the call in progress; NULL: none is */
  enum row_state written_as;
  int64_t written_until_ms;
  struct kcp_loop_timer list_timer;
  struct kcp_loop_timer write_timer;
  struct kcp_loop_timer sweep_timer;
};

static void list (void *user);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void
read_record (struct kcp_kept_records *records, const struct kcp_store_record *record);
static void on_new_era (void *user, int64_t era);
static void write_next (void *user);
static void append (struct kcp_kept_records *records, const struct row *row);
static void on_written (void *user, const struct kcp_store_answer *answer);
static void sweep (void *user);
static void add_row (struct kcp_kept_records *records, struct row *row);
static void remove_row (struct kcp_kept_records *records, const char *key);
static void row_free (gpointer data);
static void schedule_retry (struct kcp_kept_records *records,
                            struct kcp_loop_timer *timer, kcp_loop_step *retry);
static int64_t realtime_ms (const struct kcp_kept_records *records);

/* Starts to read the records of a topic. */
struct kcp_kept_records *
kcp_kept_records_start (const struct kcp_kept_records_spec *spec)
{
  struct kcp_kept_records *records = g_new0 (struct kcp_kept_records, 1);
  struct kcp_loop *loop = spec->gateway->loop;

  records->spec = *spec;
  records->rows = g_ptr_array_new_with_free_func (row_free);
  records->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  spec->store->watch_era (spec->store->self, on_new_era, records);
  list (records);
  kcp_loop_timer_set (loop, &records->sweep_timer,
                      kcp_loop_now (loop) + SWEEP_INTERVAL_MS * KCP_NS_PER_MS, sweep,
                      records);
  return records;
}

/* Cancels the timers and frees the state; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_kept_records_stop (struct kcp_kept_records *records)
{
  if (records == NULL)
    return;
  kcp_loop_timer_cancel (&records->list_timer);
  kcp_loop_timer_cancel (&records->write_timer);
  kcp_loop_timer_cancel (&records->sweep_timer);
  g_hash_table_unref (records->by_key);
  g_ptr_array_unref (records->rows);
  g_free (records->last_key);
  g_free (records->written);
  g_free (records);
}

/* Writes a record, in place of the one that has the key, until it has succeeded. */
void
kcp_kept_records_put (struct kcp_kept_records *records, const char *key,
                      const char *value, int64_t until_ms)
{
  struct row *row = g_new0 (struct row, 1);

  *row = (struct row){ .key = g_strdup (key),
                       .value = g_strdup (value),
                       .until_ms = until_ms,
                       .own = true,
                       .state = ROW_TO_WRITE };
  remove_row (records, key);
  add_row (records, row);
  write_next (records);
}

/* Returns true if a record with this key is known that has not ended. */
bool
kcp_kept_records_has (const struct kcp_kept_records *records, const char *key)
{
  const struct row *row = g_hash_table_lookup (records->by_key, key);

  return row != NULL && row->until_ms > realtime_ms (records);
}

static void
list (void *user)
{
  struct kcp_kept_records *records = user;
  const struct kcp_store *store = records->spec.store;

  store->list (store->self, records->spec.topic, records->last_key, on_listed, records);
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_kept_records *records = user;

  if (answer->end != KCP_STORE_DONE)
    {
      KCP_LOG ("kept_not_listed", KCP_LOG_TEXT ("what", records->spec.what),
               KCP_LOG_TEXT ("reason", answer->reason));
      schedule_retry (records, &records->list_timer, list);
      return;
    }
  for (guint i = 0; i < answer->records->len; i++)
    read_record (records, &g_array_index (answer->records, struct kcp_store_record, i));
  if (answer->more && answer->records->len > 0)
    {
      list (records);
      return;
    }
  KCP_LOG ("kept_listed", KCP_LOG_TEXT ("what", records->spec.what),
           KCP_LOG_INT ("records", records->rows->len));
}

static void
read_record (struct kcp_kept_records *records, const struct kcp_store_record *record)
{
  const struct kcp_kept_records_spec *spec = &records->spec;
  const char *reason = NULL;
  struct row *row;
  int64_t until_ms;

  g_free (records->last_key);
  records->last_key = kcp_str_dup (record->key);
  if (record->value.len == 0)
    return;
  until_ms = spec->read (spec->user, record->key, record->value, &reason);
  if (until_ms == KCP_KEPT_RECORD_INVALID)
    {
      KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", spec->what),
               KCP_LOG_STR ("key", record->key), KCP_LOG_INT ("offset", record->offset),
               KCP_LOG_TEXT ("why", reason));
      return;
    }
  if (g_hash_table_contains (records->by_key, records->last_key))
    return;
  row = g_new0 (struct row, 1);
  *row = (struct row){ .key = g_strdup (records->last_key),
                       .value = kcp_str_dup (record->value),
                       .until_ms = until_ms,
                       .state = ROW_STORED };
  add_row (records, row);
}

/* Has the records written again that the store may have lost: by the VM that wrote them,
   and by the leader, since that VM may be gone. */
static void
on_new_era (void *user, int64_t era)
{
  struct kcp_kept_records *records = user;
  bool leader = kcp_mesh_is_leader (records->spec.gateway->mesh);
  int64_t now_ms = realtime_ms (records);

  (void)era;
  for (guint i = 0; i < records->rows->len; i++)
    {
      struct row *row = g_ptr_array_index (records->rows, i);

      if (row->until_ms > now_ms && (row->own || leader))
        row->state = ROW_TO_WRITE;
    }
  write_next (records);
}

/* Writes or deletes the next record, one at a time. */
static void
write_next (void *user)
{
  struct kcp_kept_records *records = user;

  if (records->written != NULL || records->write_timer.position != NULL)
    return;
  for (guint i = 0; i < records->rows->len; i++)
    {
      const struct row *row = g_ptr_array_index (records->rows, i);

      if (row->state == ROW_STORED)
        continue;
      append (records, row);
      return;
    }
}

static void
append (struct kcp_kept_records *records, const struct row *row)
{
  const struct kcp_store *store = records->spec.store;
  const char *value = row->state == ROW_TO_DELETE ? "" : row->value;

  records->written = g_strdup (row->key);
  records->written_as = row->state;
  records->written_until_ms = row->until_ms;
  store->append (store->self, records->spec.topic, KCP_STORE_UNCONDITIONAL,
                 kcp_str_from_c (row->key), kcp_str_from_c (value), on_written, records);
}

static void
on_written (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_kept_records *records = user;
  g_autofree char *key = g_steal_pointer (&records->written);
  struct row *row = g_hash_table_lookup (records->by_key, key);
  bool unchanged = row != NULL && row->state == records->written_as
                   && row->until_ms == records->written_until_ms;

  KCP_LOG ("kept_written", KCP_LOG_TEXT ("what", records->spec.what),
           KCP_LOG_TEXT ("key", key),
           KCP_LOG_INT ("deleted", records->written_as == ROW_TO_DELETE),
           KCP_LOG_INT ("done", answer->end == KCP_STORE_DONE),
           KCP_LOG_TEXT ("reason", answer->reason));
  if (answer->end != KCP_STORE_DONE)
    {
      schedule_retry (records, &records->write_timer, write_next);
      return;
    }
  if (unchanged && row->state == ROW_TO_DELETE)
    remove_row (records, key);
  else if (unchanged)
    row->state = ROW_STORED;
  write_next (records);
}

/* Has the ended records deleted: by the VM that wrote them, and by the leader, since that
   VM may be gone. */
static void
sweep (void *user)
{
  struct kcp_kept_records *records = user;
  struct kcp_loop *loop = records->spec.gateway->loop;
  bool leader = kcp_mesh_is_leader (records->spec.gateway->mesh);
  int64_t now_ms = realtime_ms (records);

  for (guint i = 0; i < records->rows->len; i++)
    {
      struct row *row = g_ptr_array_index (records->rows, i);

      if (row->until_ms <= now_ms && (row->own || leader))
        row->state = ROW_TO_DELETE;
    }
  write_next (records);
  kcp_loop_timer_set (loop, &records->sweep_timer,
                      kcp_loop_now (loop) + SWEEP_INTERVAL_MS * KCP_NS_PER_MS, sweep,
                      records);
}

/* Adds a row, whose ownership it takes. The oldest is forgotten if there are too many. */
static void
add_row (struct kcp_kept_records *records, struct row *row)
{
  if (records->rows->len == records->spec.rows_max)
    {
      const struct row *oldest = g_ptr_array_index (records->rows, 0);

      KCP_LOG ("kept_full", KCP_LOG_TEXT ("what", records->spec.what),
               KCP_LOG_INT ("records", records->rows->len));
      g_hash_table_remove (records->by_key, oldest->key);
      g_ptr_array_remove_index (records->rows, 0);
    }
  g_ptr_array_add (records->rows, row);
  g_hash_table_insert (records->by_key, row->key, row);
}

static void
remove_row (struct kcp_kept_records *records, const char *key)
{
  struct row *row = g_hash_table_lookup (records->by_key, key);

  if (row == NULL)
    return;
  g_hash_table_remove (records->by_key, key);
  g_ptr_array_remove (records->rows, row);
}

static void
row_free (gpointer data)
{
  struct row *row = data;

  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
schedule_retry (struct kcp_kept_records *records, struct kcp_loop_timer *timer,
                kcp_loop_step *retry)
{
  struct kcp_loop *loop = records->spec.gateway->loop;
  int64_t wait_ms = RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS);

  kcp_loop_timer_set (loop, timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS, retry,
                      records);
}

static int64_t
realtime_ms (const struct kcp_kept_records *records)
{
  return kcp_clock_realtime_ms (records->spec.gateway->clock);
}
