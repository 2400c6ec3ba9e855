#include "forward/blocked_store.h"

#include <string.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/crash_suspects.h"
#include "forward/mesh.h"
#include "policy/fingerprint.h"

/* Delay after a failed call; a random delay of up to the same length is added. */
#define RETRY_MS          500
#define SWEEP_INTERVAL_MS 60000 /* between searches for records to delete */
#define ROWS_MAX          4096u
#define HEX_BASE          16
#define PART_PREFIX       "part-" /* before the fingerprint in the key of a part's record */

enum row_state
{
  ROW_TO_WRITE,
  ROW_STORED,
  ROW_TO_DELETE
};

/* A blocked request or part whose record this VM has read or has to write. */
struct row
{
  struct kcp_suspect suspect;
  int64_t until_ms; /* Unix time at which the block ends */
  bool own;         /* this VM writes its record */
  enum row_state state;
};

struct kcp_blocked_store
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  GArray *rows;
  char *last_key;     /* listed so far; NULL: the listing begins */
  bool writing;       /* a call that writes is in progress */
  struct row written; /* the row that it writes, as it was then */
  struct kcp_loop_timer list_timer;
  struct kcp_loop_timer write_timer;
  struct kcp_loop_timer sweep_timer;
};

static void list (void *user);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void
read_record (struct kcp_blocked_store *blocked, const struct kcp_store_record *record);
static void on_new_era (void *user, int64_t era);
static void write_next (void *user);
static void append (struct kcp_blocked_store *blocked, const struct row *row);
static void on_written (void *user, const struct kcp_store_answer *answer);
static void sweep (void *user);
static char *make_key (struct kcp_suspect suspect);
static struct kcp_suspect read_key (const char *key);
static struct row *
find_row (struct kcp_blocked_store *blocked, struct kcp_suspect suspect);
static void add_row (struct kcp_blocked_store *blocked, const struct row *row);
static bool is_row_of (const struct row *row, struct kcp_suspect suspect);
static void remove_row (struct kcp_blocked_store *blocked, struct kcp_suspect suspect);
static void schedule_retry (struct kcp_blocked_store *blocked,
                            struct kcp_loop_timer *timer, kcp_loop_step *retry);
static int64_t realtime_ms (const struct kcp_blocked_store *blocked);

/* Starts to read the blocked requests. gateway and store must outlive the result. */
struct kcp_blocked_store *
kcp_blocked_store_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_blocked_store *blocked = g_new0 (struct kcp_blocked_store, 1);
  struct kcp_loop *loop = gateway->loop;

  blocked->gateway = gateway;
  blocked->store = store;
  blocked->rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  store->watch_era (store->self, on_new_era, blocked);
  list (blocked);
  kcp_loop_timer_set (loop, &blocked->sweep_timer,
                      kcp_loop_now (loop) + SWEEP_INTERVAL_MS * KCP_NS_PER_MS, sweep,
                      blocked);
  return blocked;
}

/* Cancels the timers and frees the state; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_blocked_store_stop (struct kcp_blocked_store *blocked)
{
  if (blocked == NULL)
    return;
  kcp_loop_timer_cancel (&blocked->list_timer);
  kcp_loop_timer_cancel (&blocked->write_timer);
  kcp_loop_timer_cancel (&blocked->sweep_timer);
  g_array_unref (blocked->rows);
  g_free (blocked->last_key);
  g_free (blocked);
}

/* Writes a request or part that has just been blocked to the store, and repeats that
   until it has succeeded. Does nothing if blocked is NULL or it is known to be stored. */
void
kcp_blocked_store_add (struct kcp_blocked_store *blocked, struct kcp_suspect suspect,
                       int64_t remaining_ms)
{
  struct row row = { .suspect = suspect, .own = true, .state = ROW_TO_WRITE };
  const struct row *known;

  if (blocked == NULL)
    return;
  known = find_row (blocked, suspect);
  if (known != NULL && known->until_ms > realtime_ms (blocked))
    return;
  row.until_ms = realtime_ms (blocked) + remaining_ms;
  remove_row (blocked, suspect);
  add_row (blocked, &row);
  write_next (blocked);
}

static void
list (void *user)
{
  struct kcp_blocked_store *blocked = user;

  blocked->store->list (blocked->store->self, KCP_STORE_BLOCKED, blocked->last_key,
                        on_listed, blocked);
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_blocked_store *blocked = user;

  if (answer->end != KCP_STORE_DONE)
    {
      KCP_LOG ("blocked_not_listed", KCP_LOG_TEXT ("reason", answer->reason));
      schedule_retry (blocked, &blocked->list_timer, list);
      return;
    }
  for (guint i = 0; i < answer->records->len; i++)
    read_record (blocked, &g_array_index (answer->records, struct kcp_store_record, i));
  if (answer->more && answer->records->len > 0)
    {
      list (blocked);
      return;
    }
  KCP_LOG ("blocked_listed", KCP_LOG_INT ("requests", blocked->rows->len));
}

/* Blocks the request or part of a record. The key of a record is the fingerprint as the
   log shows it, after PART_PREFIX if it is a part's, the value the Unix time in
   milliseconds at which the block ends. */
static void
read_record (struct kcp_blocked_store *blocked, const struct kcp_store_record *record)
{
  struct row row = { .state = ROW_STORED };
  int64_t remaining_ms;

  g_free (blocked->last_key);
  blocked->last_key = kcp_str_dup (record->key);
  if (record->value.len == 0)
    return;
  if (!kcp_str_to_int64 (record->value, &row.until_ms))
    {
      KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", "blocked"),
               KCP_LOG_STR ("key", record->key), KCP_LOG_INT ("offset", record->offset),
               KCP_LOG_TEXT ("why", "not a time"));
      return;
    }
  row.suspect = read_key (blocked->last_key);
  if (find_row (blocked, row.suspect) == NULL)
    add_row (blocked, &row);
  remaining_ms = row.until_ms - realtime_ms (blocked);
  if (remaining_ms > 0)
    kcp_crash_suspects_restore (blocked->gateway, row.suspect, remaining_ms);
}

/* Has the records written again that the store may have lost: by the VM that wrote them,
   and by the leader, since that VM may be gone. */
static void
on_new_era (void *user, int64_t era)
{
  struct kcp_blocked_store *blocked = user;
  bool leader = kcp_mesh_is_leader (blocked->gateway->mesh);
  int64_t now_ms = realtime_ms (blocked);

  (void)era;
  for (guint i = 0; i < blocked->rows->len; i++)
    {
      struct row *row = &g_array_index (blocked->rows, struct row, i);

      if (row->until_ms > now_ms && (row->own || leader))
        row->state = ROW_TO_WRITE;
    }
  write_next (blocked);
}

/* Writes or deletes the next record, one at a time. */
static void
write_next (void *user)
{
  struct kcp_blocked_store *blocked = user;

  if (blocked->writing || blocked->write_timer.position != NULL)
    return;
  for (guint i = 0; i < blocked->rows->len; i++)
    {
      const struct row *row = &g_array_index (blocked->rows, struct row, i);

      if (row->state == ROW_STORED)
        continue;
      append (blocked, row);
      return;
    }
}

static void
append (struct kcp_blocked_store *blocked, const struct row *row)
{
  g_autofree char *key = make_key (row->suspect);
  g_autofree char *value = row->state == ROW_TO_DELETE
                               ? g_strdup ("")
                               : g_strdup_printf ("%" G_GINT64_FORMAT, row->until_ms);

  blocked->writing = true;
  blocked->written = *row;
  blocked->store->append (blocked->store->self, KCP_STORE_BLOCKED,
                          KCP_STORE_UNCONDITIONAL, kcp_str_from_c (key),
                          kcp_str_from_c (value), on_written, blocked);
}

static void
on_written (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_blocked_store *blocked = user;
  const struct row *written = &blocked->written;
  struct row *row = find_row (blocked, written->suspect);
  g_autofree char *key = make_key (written->suspect);

  blocked->writing = false;
  KCP_LOG ("blocked_written", KCP_LOG_TEXT ("key", key),
           KCP_LOG_INT ("deleted", written->state == ROW_TO_DELETE),
           KCP_LOG_INT ("done", answer->end == KCP_STORE_DONE),
           KCP_LOG_TEXT ("reason", answer->reason));
  if (answer->end != KCP_STORE_DONE)
    {
      schedule_retry (blocked, &blocked->write_timer, write_next);
      return;
    }
  if (row != NULL && row->state == written->state && written->state == ROW_TO_DELETE)
    remove_row (blocked, row->suspect);
  else if (row != NULL && row->state == written->state)
    row->state = ROW_STORED;
  write_next (blocked);
}

/* Has the records of ended blocks deleted: by the VM that wrote them, and by the leader,
   since that VM may be gone. */
static void
sweep (void *user)
{
  struct kcp_blocked_store *blocked = user;
  struct kcp_loop *loop = blocked->gateway->loop;
  bool leader = kcp_mesh_is_leader (blocked->gateway->mesh);
  int64_t now_ms = realtime_ms (blocked);

  for (guint i = 0; i < blocked->rows->len; i++)
    {
      struct row *row = &g_array_index (blocked->rows, struct row, i);

      if (row->until_ms <= now_ms && (row->own || leader))
        row->state = ROW_TO_DELETE;
    }
  write_next (blocked);
  kcp_loop_timer_set (loop, &blocked->sweep_timer,
                      kcp_loop_now (loop) + SWEEP_INTERVAL_MS * KCP_NS_PER_MS, sweep,
                      blocked);
}

static char *
make_key (struct kcp_suspect suspect)
{
  char text[KCP_FINGERPRINT_TEXT_SIZE];

  return g_strconcat (suspect.kind == KCP_SUSPECT_PART ? PART_PREFIX : "",
                      kcp_fingerprint_text (suspect.fingerprint, text), NULL);
}

static struct kcp_suspect
read_key (const char *key)
{
  struct kcp_suspect suspect = { .kind = KCP_SUSPECT_REQUEST };

  if (g_str_has_prefix (key, PART_PREFIX))
    {
      suspect.kind = KCP_SUSPECT_PART;
      key += strlen (PART_PREFIX);
    }
  suspect.fingerprint = g_ascii_strtoull (key, NULL, HEX_BASE);
  return suspect;
}

static bool
is_row_of (const struct row *row, struct kcp_suspect suspect)
{
  return row->suspect.kind == suspect.kind
         && row->suspect.fingerprint == suspect.fingerprint;
}

static struct row *
find_row (struct kcp_blocked_store *blocked, struct kcp_suspect suspect)
{
  for (guint i = 0; i < blocked->rows->len; i++)
    {
      struct row *row = &g_array_index (blocked->rows, struct row, i);

      if (is_row_of (row, suspect))
        return row;
    }
  return NULL;
}

/* Adds a row. The oldest is forgotten if there are too many. */
static void
add_row (struct kcp_blocked_store *blocked, const struct row *row)
{
  if (blocked->rows->len == ROWS_MAX)
    {
      KCP_LOG ("blocked_store_full", KCP_LOG_INT ("requests", ROWS_MAX));
      g_array_remove_index (blocked->rows, 0);
    }
  g_array_append_val (blocked->rows, *row);
}

static void
remove_row (struct kcp_blocked_store *blocked, struct kcp_suspect suspect)
{
  for (guint i = 0; i < blocked->rows->len; i++)
    if (is_row_of (&g_array_index (blocked->rows, struct row, i), suspect))
      {
        g_array_remove_index (blocked->rows, i);
        return;
      }
}

static void
schedule_retry (struct kcp_blocked_store *blocked, struct kcp_loop_timer *timer,
                kcp_loop_step *retry)
{
  struct kcp_loop *loop = blocked->gateway->loop;
  int64_t wait_ms = RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS);

  kcp_loop_timer_set (loop, timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS, retry,
                      blocked);
}

static int64_t
realtime_ms (const struct kcp_blocked_store *blocked)
{
  return kcp_clock_realtime_ms (blocked->gateway->clock);
}
