#include "booking/checkpoint.h"

#include <glib.h>

#include "booking/entry.h"

#define ENTRIES_PER_PART 256
#define PARTS_MAX        65536

/* The maximum number of checkpoints of different writers that are assembled at the same
   time. */
#define PARTIALS_MAX 8

struct kcp_checkpoint_writer
{
  char *id;
  uint64_t as_of;
  int64_t time_ms;
  json_t *parts; /* lists of entries */
};

/* A checkpoint of which some parts have been read. */
struct partial
{
  json_t *parts; /* records, or null where one is missing */
  int64_t parts_read;
  uint64_t as_of;
};

struct kcp_checkpoint_reader
{
  GHashTable *partials; /* id, struct partial */
};

static json_t *make_part (const struct kcp_checkpoint_writer *writer, size_t index);
static struct partial *
find_partial (struct kcp_checkpoint_reader *reader, const char *id, int64_t parts);
static void partial_free (gpointer data);

/* Creates a writer for a checkpoint of the state as of an offset and a log time. */
struct kcp_checkpoint_writer *
kcp_checkpoint_writer_new (const char *id, uint64_t as_of, int64_t time_ms)
{
  struct kcp_checkpoint_writer *writer = g_new0 (struct kcp_checkpoint_writer, 1);

  writer->id = g_strdup (id);
  writer->as_of = as_of;
  writer->time_ms = time_ms;
  writer->parts = json_pack ("[[]]");
  return writer;
}

/* Adds an entry and takes ownership of it. */
void
kcp_checkpoint_writer_add (struct kcp_checkpoint_writer *writer, json_t *entry)
{
  json_t *last = json_array_get (writer->parts, json_array_size (writer->parts) - 1);

  if (json_array_size (last) == ENTRIES_PER_PART)
    {
      last = json_array ();
      json_array_append_new (writer->parts, last);
    }
  json_array_append_new (last, entry);
}

/* Returns the checkpoint as a new list of objects with the members "checkpoint" and
   "entries", and frees the writer. */
json_t *
kcp_checkpoint_writer_end (struct kcp_checkpoint_writer *writer)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < json_array_size (writer->parts); i++)
    json_array_append_new (list, make_part (writer, i));
  json_decref (writer->parts);
  g_free (writer->id);
  g_free (writer);
  return list;
}

/* Creates a reader that has not read any part. */
struct kcp_checkpoint_reader *
kcp_checkpoint_reader_new (void)
{
  struct kcp_checkpoint_reader *reader = g_new0 (struct kcp_checkpoint_reader, 1);

  reader->partials
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, partial_free);
  return reader;
}

/* Frees the reader; NULL is allowed. */
void
kcp_checkpoint_reader_free (struct kcp_checkpoint_reader *reader)
{
  if (reader == NULL)
    return;
  g_hash_table_unref (reader->partials);
  g_free (reader);
}

/* Discards the parts read so far. */
void
kcp_checkpoint_reader_clear (struct kcp_checkpoint_reader *reader)
{
  g_hash_table_remove_all (reader->partials);
}

/* Adds a part, given as its record. Returns a new list of all parts in order once the
   checkpoint is complete, or NULL while parts are missing. */
json_t *
kcp_checkpoint_reader_add (struct kcp_checkpoint_reader *reader, const json_t *record)
{
  const json_t *head = json_object_get (record, "checkpoint");
  const char *id = kcp_entry_text (head, "id");
  int64_t index = kcp_entry_int (head, "part");
  int64_t parts = kcp_entry_int (head, "parts");
  struct partial *partial;
  json_t *complete;

  if (index < 0 || index >= parts || parts > PARTS_MAX)
    return NULL;
  partial = find_partial (reader, id, parts);
  if (partial == NULL || (size_t)parts != json_array_size (partial->parts))
    return NULL;
  if (json_is_null (json_array_get (partial->parts, (size_t)index)))
    {
      json_array_set (partial->parts, (size_t)index, (json_t *)record);
      partial->parts_read++;
    }
  if (partial->parts_read < parts)
    return NULL;
  complete = json_incref (partial->parts);
  kcp_checkpoint_reader_clear (reader);
  return complete;
}

/* Returns the offset of a part's checkpoint: the state includes all records below it. */
uint64_t
kcp_checkpoint_as_of (const json_t *record)
{
  return (uint64_t)kcp_entry_int (json_object_get (record, "checkpoint"), "as_of");
}

/* Returns the log time of a part's checkpoint. */
int64_t
kcp_checkpoint_time_ms (const json_t *record)
{
  return kcp_entry_int (json_object_get (record, "checkpoint"), "ms");
}

static json_t *
make_part (const struct kcp_checkpoint_writer *writer, size_t index)
{
  json_t *head
      = json_pack ("{sssIsIsIsI}", "id", writer->id, "as_of", (json_int_t)writer->as_of,
                   "ms", (json_int_t)writer->time_ms, "part", (json_int_t)index, "parts",
                   (json_int_t)json_array_size (writer->parts));

  return json_pack ("{sosO}", "checkpoint", head, "entries",
                    json_array_get (writer->parts, index));
}

static struct partial *
find_partial (struct kcp_checkpoint_reader *reader, const char *id, int64_t parts)
{
  struct partial *partial = g_hash_table_lookup (reader->partials, id);

  if (partial != NULL)
    return partial;
  if (g_hash_table_size (reader->partials) == PARTIALS_MAX)
    kcp_checkpoint_reader_clear (reader);
  partial = g_new0 (struct partial, 1);
  partial->parts = json_array ();
  for (int64_t i = 0; i < parts; i++)
    json_array_append_new (partial->parts, json_null ());
  g_hash_table_insert (reader->partials, g_strdup (id), partial);
  return partial;
}

static void
partial_free (gpointer data)
{
  struct partial *partial = data;

  json_decref (partial->parts);
  g_free (partial);
}
