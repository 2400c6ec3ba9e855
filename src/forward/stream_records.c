#include "forward/stream_records.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/id.h"
#include "forward/software_versions.h"

#define FLUSH_DELAY_NS                                                                   \
  (20 * KCP_NS_PER_MS) /* streams within this time share a record                        \
                        */
/* Delay after a failed call; a random delay of up to the same length is added. */
#define RETRY_MS    250
#define KEEP_NS     (30 * KCP_NS_PER_S) /* longer than any caller goes on with a stream */
#define STREAMS_MAX 65536u
#define PENDING_MAX 4096u
/* A record has a line for each stream: the keys of its id, its service and the software
   in hexadecimal, with a space between them. */
#define RECORD_LINES_MAX 64u
#define HEX_BASE         16

struct stream
{
  uint64_t id; /* key of the id of the caller's attempt */
  struct kcp_stream_record record;
  int64_t noted_ns;
};

struct kcp_stream_records
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  GHashTable *streams; /* id -> struct stream */
  GQueue by_age;       /* the same, oldest first */
  GArray *pending;     /* uint64_t, ids of streams to be written */
  guint writing;       /* the first of them, which a call is writing; 0: none is */
  struct kcp_loop_timer flush_timer;
  int64_t position; /* offset of the next record to read */
  kcp_stream_records_read *read_done;
  void *read_user;
};

static uint64_t make_id (const char *id);
static struct stream *add_stream (struct kcp_stream_records *records, uint64_t id,
                                  const struct kcp_stream_origin *origin);
static bool have_same_origin (const struct kcp_stream_origin *one,
                              const struct kcp_stream_origin *other);
static void
log_difference (const struct stream *known, const struct kcp_stream_origin *origin);
static void expire (struct kcp_stream_records *records);
static void remove_oldest (struct kcp_stream_records *records);
static void write_later (struct kcp_stream_records *records, const struct stream *stream);
static void schedule_flush (struct kcp_stream_records *records, int64_t delay_ns);
static void flush (void *user);
static void append_line (GString *text, const struct stream *stream);
static void on_written (void *user, const struct kcp_store_answer *answer);
static void read_next (struct kcp_stream_records *records);
static void on_read (void *user, const struct kcp_store_answer *answer);
static void
read_record (struct kcp_stream_records *records, const struct kcp_store_record *record);
static bool read_line (const char *line, uint64_t *id, struct kcp_stream_origin *origin);
static void on_new_era (void *user, int64_t era);

/* Creates the records, without any. gateway and store must outlive the result. */
struct kcp_stream_records *
kcp_stream_records_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_stream_records *records = g_new0 (struct kcp_stream_records, 1);

  records->gateway = gateway;
  records->store = store;
  records->streams = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&records->by_age);
  records->pending = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  store->watch_era (store->self, on_new_era, records);
  return records;
}

/* Cancels the timer and frees the records; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_stream_records_stop (struct kcp_stream_records *records)
{
  if (records == NULL)
    return;
  kcp_loop_timer_cancel (&records->flush_timer);
  g_hash_table_unref (records->streams);
  g_queue_clear_full (&records->by_age, g_free);
  g_array_unref (records->pending);
  g_free (records);
}

/* Notes that a server has begun a stream: its first event is about to go to the caller.
   id is that of the caller's attempt. records may be NULL. */
void
kcp_stream_records_note (struct kcp_stream_records *records, const char *id,
                         const struct kcp_stream_origin *origin, bool write)
{
  struct stream *stream;

  if (records == NULL)
    return;
  stream = add_stream (records, make_id (id), origin);
  stream->record.own = true;
  if (write)
    write_later (records, stream);
}

/* Has all recent streams of this VM written. records may be NULL. */
void
kcp_stream_records_write_own (struct kcp_stream_records *records)
{
  if (records == NULL)
    return;
  expire (records);
  for (const GList *link = records->by_age.head; link != NULL; link = link->next)
    if (((const struct stream *)link->data)->record.own)
      write_later (records, link->data);
}

/* Returns what this VM knows of a stream, or NULL. */
const struct kcp_stream_record *
kcp_stream_records_find (const struct kcp_stream_records *records, const char *id)
{
  uint64_t key = make_id (id);
  const struct stream *stream = g_hash_table_lookup (records->streams, &key);

  return stream != NULL ? &stream->record : NULL;
}

/* Reads what other VMs have written since the last time. One such call may be in
   progress. */
void
kcp_stream_records_read_store (struct kcp_stream_records *records,
                               kcp_stream_records_read *done, void *user)
{
  records->read_done = done;
  records->read_user = user;
  read_next (records);
}

static uint64_t
make_id (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

/* Adds a stream. What is known of it already is kept; a VM of an older build may have
   written several origins of one stream. */
static struct stream *
add_stream (struct kcp_stream_records *records, uint64_t id,
            const struct kcp_stream_origin *origin)
{
  struct stream *stream;

  expire (records);
  stream = g_hash_table_lookup (records->streams, &id);
  if (stream == NULL)
    {
      stream = g_new0 (struct stream, 1);
      stream->id = id;
      stream->record.origin = *origin;
      stream->noted_ns = kcp_loop_now (records->gateway->loop);
      g_hash_table_insert (records->streams, &stream->id, stream);
      g_queue_push_tail (&records->by_age, stream);
    }
  else if (!have_same_origin (&stream->record.origin, origin))
    {
      log_difference (stream, origin);
      stream->record.contradicted = true;
    }
  return stream;
}

static bool
have_same_origin (const struct kcp_stream_origin *one,
                  const struct kcp_stream_origin *other)
{
  return one->service == other->service && one->software == other->software;
}

static void
log_difference (const struct stream *known, const struct kcp_stream_origin *origin)
{
  char key[KCP_SOFTWARE_TEXT_SIZE];
  char before[KCP_SOFTWARE_TEXT_SIZE];
  char now[KCP_SOFTWARE_TEXT_SIZE];

  KCP_LOG ("stream_records_differ",
           KCP_LOG_TEXT ("stream_key", kcp_software_key_text (known->id, key)),
           KCP_LOG_TEXT ("before",
                         kcp_software_key_text (known->record.origin.software, before)),
           KCP_LOG_TEXT ("now", kcp_software_key_text (origin->software, now)),
           KCP_LOG_INT ("own", known->record.own));
}

static void
expire (struct kcp_stream_records *records)
{
  int64_t now = kcp_loop_now (records->gateway->loop);
  const struct stream *oldest;

  while ((oldest = g_queue_peek_head (&records->by_age)) != NULL
         && (now - oldest->noted_ns > KEEP_NS || records->by_age.length >= STREAMS_MAX))
    remove_oldest (records);
}

static void
remove_oldest (struct kcp_stream_records *records)
{
  struct stream *stream = g_queue_pop_head (&records->by_age);

  g_hash_table_remove (records->streams, &stream->id);
  g_free (stream);
}

static void
write_later (struct kcp_stream_records *records, const struct stream *stream)
{
  if (records->pending->len >= PENDING_MAX)
    {
      KCP_LOG ("stream_records_full", KCP_LOG_INT ("streams", PENDING_MAX));
      return;
    }
  g_array_append_val (records->pending, stream->id);
  if (records->pending->len == 1)
    schedule_flush (records, FLUSH_DELAY_NS);
}

static void
schedule_flush (struct kcp_stream_records *records, int64_t delay_ns)
{
  struct kcp_loop *loop = records->gateway->loop;

  kcp_loop_timer_set (loop, &records->flush_timer, kcp_loop_now (loop) + delay_ns, flush,
                      records);
}

/* Writes a record of pending streams, one at a time. */
static void
flush (void *user)
{
  struct kcp_stream_records *records = user;
  g_autoptr (GString) text = g_string_new (NULL);
  guint count = MIN (records->pending->len, RECORD_LINES_MAX);

  if (records->writing > 0 || count == 0)
    return;
  for (guint i = 0; i < count; i++)
    {
      const struct stream *stream = g_hash_table_lookup (
          records->streams, &g_array_index (records->pending, uint64_t, i));

      if (stream != NULL)
        append_line (text, stream);
    }
  if (text->len == 0)
    {
      /* All of them have expired while the store did not answer. */
      g_array_remove_range (records->pending, 0, count);
      schedule_flush (records, FLUSH_DELAY_NS);
      return;
    }
  records->writing = count;
  kcp_counter_add (KCP_COUNT_STREAM_RECORDS, 1);
  records->store->append (records->store->self, KCP_STORE_STREAMS,
                          KCP_STORE_UNCONDITIONAL, (struct kcp_str){ 0 },
                          (struct kcp_str){ .data = text->str, .len = text->len },
                          on_written, records);
}

static void
append_line (GString *text, const struct stream *stream)
{
  g_string_append_printf (text,
                          "%016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER
                          "x %016" G_GINT64_MODIFIER "x\n",
                          stream->id, stream->record.origin.service,
                          stream->record.origin.software);
}

static void
on_written (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_stream_records *records = user;
  guint count = records->writing;
  int64_t delay_ns = FLUSH_DELAY_NS;

  records->writing = 0;
  if (answer->end == KCP_STORE_DONE)
    g_array_remove_range (records->pending, 0, count);
  else
    {
      KCP_LOG ("streams_not_written", KCP_LOG_INT ("streams", count),
               KCP_LOG_TEXT ("reason", answer->reason));
      delay_ns = (RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS)) * KCP_NS_PER_MS;
    }
  if (records->pending->len > 0)
    schedule_flush (records, delay_ns);
}

static void
read_next (struct kcp_stream_records *records)
{
  records->store->read (records->store->self, KCP_STORE_STREAMS, records->position, 0,
                        on_read, records);
}

static void
on_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_stream_records *records = user;

  switch (answer->end)
    {
    case KCP_STORE_DONE:
      for (guint i = 0; i < answer->records->len; i++)
        read_record (records,
                     &g_array_index (answer->records, struct kcp_store_record, i));
      records->position += answer->records->len;
      if (answer->records->len > 0 && records->position < answer->next)
        read_next (records);
      else
        records->read_done (records->read_user, true);
      return;
    case KCP_STORE_TRIMMED:
      if (answer->next != records->position)
        {
          records->position = answer->next;
          read_next (records);
          return;
        }
      break;
    case KCP_STORE_CONFLICT:
    case KCP_STORE_FAILED:
      break;
    }
  KCP_LOG ("streams_not_read", KCP_LOG_TEXT ("reason", answer->reason));
  records->read_done (records->read_user, false);
}

static void
read_record (struct kcp_stream_records *records, const struct kcp_store_record *record)
{
  g_autofree char *text = kcp_str_dup (record->value);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      struct kcp_stream_origin origin;
      uint64_t id;

      if (**line == '\0')
        continue;
      if (read_line (*line, &id, &origin))
        (void)add_stream (records, id, &origin);
      else
        KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", "stream"),
                 KCP_LOG_INT ("offset", record->offset),
                 KCP_LOG_TEXT ("why", "not three keys"));
    }
}

static bool
read_line (const char *line, uint64_t *id, struct kcp_stream_origin *origin)
{
  char *end;

  *id = g_ascii_strtoull (line, &end, HEX_BASE);
  if (end == line || *end != ' ')
    return false;
  line = end + 1;
  origin->service = g_ascii_strtoull (line, &end, HEX_BASE);
  if (end == line || *end != ' ')
    return false;
  line = end + 1;
  origin->software = g_ascii_strtoull (line, &end, HEX_BASE);
  return end != line && *end == '\0';
}

/* Has the topic read from its beginning next time. */
static void
on_new_era (void *user, int64_t era)
{
  struct kcp_stream_records *records = user;

  (void)era;
  records->position = 0;
}
