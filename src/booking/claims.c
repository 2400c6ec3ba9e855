#include "booking/claims.h"

#include <glib.h>
#include <string.h>

#include "booking/checkpoint.h"
#include "booking/entry.h"

#define ADVANCES_PER_WINDOW 1440 /* records that advance the log time by one window */
#define ADVANCE_MIN_MS      1000
#define SWEEP_INTERVAL_MS   60000

/* The last record of one writer. */
struct writer
{
  uint64_t seq;
  int64_t seen_ms; /* log time of the record */
};

/* The log time is the maximum time of the applied records, except that one record
   advances it by at most advance_max_ms, so that a writer with a wrong clock cannot
   expire all claims together. In a stream with few records the log time lags behind the
   time of day and claims are kept longer. */
struct kcp_claims
{
  int64_t retention_ms; /* time from the last claim of a key until the key is removed */
  int64_t advance_max_ms;
  uint64_t next_offset;
  int64_t log_time_ms;
  int64_t swept_ms;      /* log time of the last sweep */
  uint64_t first_offset; /* first offset applied */
  int64_t first_ms; /* log time of the record at first_offset; 0 until it is applied */
  bool complete;    /* every key claimed within the window is known */
  uint64_t checkpoint_offset;
  char last_writer[KCP_ID_LEN + 1]; /* of the last record applied; empty if unknown */
  uint64_t last_seq;                /* of the last record applied */
  GHashTable *by_key;               /* key, struct kcp_claim_view */
  GHashTable *writers;              /* writer, struct writer */
  struct kcp_checkpoint_reader *reader;
};

static void advance_log_time (struct kcp_claims *claims, const json_t *record);
static bool accept_writer (struct kcp_claims *claims, const json_t *record);
static void apply_entry (struct kcp_claims *claims, const json_t *entry);
static void apply_claim (struct kcp_claims *claims, const char *key, const json_t *entry);
static void
apply_outcome (struct kcp_claims *claims, const char *key, const json_t *entry);
static void
apply_release (struct kcp_claims *claims, const char *key, const json_t *entry);
static void
apply_restore (struct kcp_claims *claims, const char *key, const json_t *entry);
static void apply_checkpoint (struct kcp_claims *claims, const json_t *record);
static void load_checkpoint (struct kcp_claims *claims, const json_t *parts);
static void load_entry (struct kcp_claims *claims, const json_t *entry);
static struct kcp_claim_view *view_from_entry (const json_t *entry);
static struct kcp_claim_view *
find_held (struct kcp_claims *claims, const char *key, const json_t *entry);
static bool is_expired (const struct kcp_claims *claims, int64_t ms);
static void sweep (struct kcp_claims *claims);
static gboolean key_is_expired (gpointer key, gpointer value, gpointer user);
static gboolean writer_is_expired (gpointer key, gpointer value, gpointer user);
static json_t *
make_entry (const char *op, const char *key, const struct kcp_claim_view *view);
static void view_free (gpointer data);

/* Creates the empty state of a stream that starts at offset 0. window_ms is the time for
   which a key is kept. */
struct kcp_claims *
kcp_claims_new (int64_t window_ms)
{
  struct kcp_claims *claims = g_new0 (struct kcp_claims, 1);

  claims->retention_ms = window_ms + KCP_CLOCK_SKEW_MAX_MS;
  claims->advance_max_ms = MAX (window_ms / ADVANCES_PER_WINDOW, ADVANCE_MIN_MS);
  claims->complete = true;
  claims->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, view_free);
  claims->writers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  claims->reader = kcp_checkpoint_reader_new ();
  return claims;
}

/* Frees the state; NULL is allowed. */
void
kcp_claims_free (struct kcp_claims *claims)
{
  if (claims == NULL)
    return;
  kcp_checkpoint_reader_free (claims->reader);
  g_hash_table_unref (claims->by_key);
  g_hash_table_unref (claims->writers);
  g_free (claims);
}

/* Applies the record at an offset. An offset that was applied before is ignored. If
   offsets are missing before it, the record is treated as the first one that the log
   still holds. A record is void if a record of the same writer with the same or a higher
   sequence number precedes it. By appending a new record, a writer therefore resolves all
   its appends whose answers were lost: each of them is either below the new record or
   void. */
void
kcp_claims_apply (struct kcp_claims *claims, uint64_t offset, json_t *record)
{
  json_t *entry;
  size_t i;

  if (offset < claims->next_offset)
    return;
  if (offset > claims->next_offset)
    kcp_claims_skip_to (claims, offset);
  claims->next_offset = offset + 1;
  advance_log_time (claims, record);
  if (!accept_writer (claims, record))
    return;
  if (json_object_get (record, "checkpoint") != NULL)
    apply_checkpoint (claims, record);
  else
    json_array_foreach (json_object_get (record, "entries"), i, entry)
        apply_entry (claims, entry);
  if (!claims->complete && is_expired (claims, claims->first_ms))
    claims->complete = true;
  sweep (claims);
}

/* Continues at the first offset that the log still holds, after records that were not
   applied have been trimmed. Clears the state, which is incomplete until a checkpoint is
   read or the window has passed since the record at first_offset. */
void
kcp_claims_skip_to (struct kcp_claims *claims, uint64_t first_offset)
{
  g_hash_table_remove_all (claims->by_key);
  g_hash_table_remove_all (claims->writers);
  kcp_checkpoint_reader_clear (claims->reader);
  claims->next_offset = first_offset;
  claims->last_writer[0] = '\0';
  claims->first_offset = first_offset;
  claims->first_ms = 0;
  claims->log_time_ms = 0;
  claims->swept_ms = 0;
  claims->complete = false;
}

/* Continues at an offset after the log was rolled back to an earlier state. A complete
   state keeps its keys; an incomplete one is cleared and read again. */
void
kcp_claims_rewind (struct kcp_claims *claims, uint64_t first_offset)
{
  if (!claims->complete)
    {
      kcp_claims_skip_to (claims, first_offset);
      claims->complete = first_offset == 0;
      return;
    }
  g_hash_table_remove_all (claims->writers);
  kcp_checkpoint_reader_clear (claims->reader);
  claims->next_offset = first_offset;
  claims->last_writer[0] = '\0';
}

/* Returns the offset to read from: that of the last record applied, so that
   kcp_claims_matches_last_record() can compare it, or the offset after it if the last
   record is not known. */
uint64_t
kcp_claims_read_offset (const struct kcp_claims *claims)
{
  return claims->last_writer[0] != '\0' ? claims->next_offset - 1 : claims->next_offset;
}

/* Clears the record that kcp_claims_matches_last_record() compares with. Used when the
   log no longer holds it. */
void
kcp_claims_clear_last_record (struct kcp_claims *claims)
{
  claims->last_writer[0] = '\0';
}

/* Returns false if offset is that of the last record applied but record is a different
   one: the log was rolled back and has grown again. Otherwise returns true. */
bool
kcp_claims_matches_last_record (const struct kcp_claims *claims, uint64_t offset,
                                const json_t *record)
{
  if (offset + 1 != claims->next_offset || claims->last_writer[0] == '\0')
    return true;
  return strcmp (kcp_entry_text (record, "writer"), claims->last_writer) == 0
         && (uint64_t)kcp_entry_int (record, "seq") == claims->last_seq;
}

/* Returns true if every key claimed within the window is known. */
bool
kcp_claims_is_complete (const struct kcp_claims *claims)
{
  return claims->complete;
}

/* Returns true if every claim of a key that was created at key_created_ms is known.
   key_created_ms is in milliseconds since the epoch, or 0 if the key does not contain its
   time. */
bool
kcp_claims_covers_key (const struct kcp_claims *claims, int64_t key_created_ms)
{
  if (claims->complete)
    return true;
  return key_created_ms > 0 && claims->first_ms > 0
         && key_created_ms > claims->first_ms + KCP_CLOCK_SKEW_MAX_MS;
}

/* Returns the offset after the last record applied. */
uint64_t
kcp_claims_next_offset (const struct kcp_claims *claims)
{
  return claims->next_offset;
}

/* Returns the highest sequence number applied of a writer, or 0. */
uint64_t
kcp_claims_last_seq (const struct kcp_claims *claims, const char *writer)
{
  const struct writer *found = g_hash_table_lookup (claims->writers, writer);

  return found != NULL ? found->seq : 0;
}

/* Returns the log time in milliseconds since the epoch. */
int64_t
kcp_claims_log_time_ms (const struct kcp_claims *claims)
{
  return claims->log_time_ms;
}

/* Returns the offset after the last complete checkpoint, or 0. */
uint64_t
kcp_claims_checkpoint_offset (const struct kcp_claims *claims)
{
  return claims->checkpoint_offset;
}

/* Returns the number of keys in the state. */
size_t
kcp_claims_count (const struct kcp_claims *claims)
{
  return g_hash_table_size (claims->by_key);
}

/* Copies the state of a key to view; view->outcome stays owned by claims. */
void
kcp_claims_lookup (const struct kcp_claims *claims, const char *key,
                   struct kcp_claim_view *view)
{
  const struct kcp_claim_view *found = g_hash_table_lookup (claims->by_key, key);

  *view = (struct kcp_claim_view){ .state = KCP_CLAIM_NONE };
  if (found != NULL && !is_expired (claims, found->last_claim_ms))
    *view = *found;
}

/* Returns a checkpoint of the state as a new list of objects, each of which is to be
   merged into a record of its own. A reader that has read it can start at
   kcp_claims_next_offset(). */
json_t *
kcp_claims_snapshot (const struct kcp_claims *claims, const char *id)
{
  struct kcp_checkpoint_writer *out
      = kcp_checkpoint_writer_new (id, claims->next_offset, claims->log_time_ms);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, claims->writers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct writer *writer = value;

      kcp_checkpoint_writer_add (out, json_pack ("{sssssIsI}", "op", KCP_OP_WRITER,
                                                 "writer", (const char *)key, "seq",
                                                 (json_int_t)writer->seq, "seen",
                                                 (json_int_t)writer->seen_ms));
    }
  g_hash_table_iter_init (&iter, claims->by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    kcp_checkpoint_writer_add (out, make_entry (KCP_OP_CARRIED, key, value));
  return kcp_checkpoint_writer_end (out);
}

/* Returns a new list of entries that restore every key of the state, for a log that lost
   records. */
json_t *
kcp_claims_restore_entries (const struct kcp_claims *claims)
{
  json_t *entries = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, claims->by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_array_append_new (entries, make_entry (KCP_OP_RESTORE, key, value));
  return entries;
}

static void
advance_log_time (struct kcp_claims *claims, const json_t *record)
{
  int64_t ms = kcp_entry_int (record, "ms");

  if (claims->log_time_ms == 0)
    claims->log_time_ms = ms;
  else
    claims->log_time_ms = MAX (claims->log_time_ms,
                               MIN (ms, claims->log_time_ms + claims->advance_max_ms));
  if (claims->first_ms == 0)
    claims->first_ms = claims->log_time_ms;
}

/* Records the sequence number of a record. Returns false if the record is void because
   its number is not above the writer's last one. */
static bool
accept_writer (struct kcp_claims *claims, const json_t *record)
{
  const char *name = kcp_entry_text (record, "writer");
  uint64_t seq = (uint64_t)kcp_entry_int (record, "seq");
  struct writer *writer = g_hash_table_lookup (claims->writers, name);

  g_strlcpy (claims->last_writer, name, sizeof claims->last_writer);
  claims->last_seq = seq;
  if (writer == NULL)
    {
      writer = g_new0 (struct writer, 1);
      g_hash_table_insert (claims->writers, g_strdup (name), writer);
    }
  writer->seen_ms = claims->log_time_ms;
  if (seq <= writer->seq)
    return false;
  writer->seq = seq;
  return true;
}

static void
apply_entry (struct kcp_claims *claims, const json_t *entry)
{
  const char *op = kcp_entry_text (entry, "op");
  const char *key = kcp_entry_text (entry, "key");

  if (strcmp (op, KCP_OP_CLAIM) == 0)
    apply_claim (claims, key, entry);
  else if (strcmp (op, KCP_OP_OUTCOME) == 0)
    apply_outcome (claims, key, entry);
  else if (strcmp (op, KCP_OP_RELEASE) == 0)
    apply_release (claims, key, entry);
  else if (strcmp (op, KCP_OP_RESTORE) == 0)
    apply_restore (claims, key, entry);
}

/* A claim of a key that another claim has won loses, but extends the time for which the
   key is kept: a VM whose log time is slightly ahead may have removed the key and let
   this claim win. */
static void
apply_claim (struct kcp_claims *claims, const char *key, const json_t *entry)
{
  struct kcp_claim_view *view = g_hash_table_lookup (claims->by_key, key);

  if (view != NULL && !is_expired (claims, view->last_claim_ms))
    {
      view->last_claim_ms = claims->log_time_ms;
      return;
    }
  view = view_from_entry (entry);
  view->state = KCP_CLAIM_HELD;
  view->claimed_ms = claims->log_time_ms;
  view->last_claim_ms = claims->log_time_ms;
  g_hash_table_replace (claims->by_key, g_strdup (key), view);
}

static void
apply_outcome (struct kcp_claims *claims, const char *key, const json_t *entry)
{
  struct kcp_claim_view *view = find_held (claims, key, entry);

  if (view == NULL)
    return;
  view->state = KCP_CLAIM_DECIDED;
  view->outcome = g_strdup (kcp_entry_text (entry, "outcome"));
}

/* A release is applied only in the first half of the time for which a key is kept; later,
   another VM may already regard the claim as expired. */
static void
apply_release (struct kcp_claims *claims, const char *key, const json_t *entry)
{
  const struct kcp_claim_view *view = find_held (claims, key, entry);

  if (view != NULL && claims->log_time_ms - view->claimed_ms <= claims->retention_ms / 2)
    g_hash_table_remove (claims->by_key, key);
}

static void
apply_restore (struct kcp_claims *claims, const char *key, const json_t *entry)
{
  struct kcp_claim_view *view = g_hash_table_lookup (claims->by_key, key);

  if (view == NULL)
    load_entry (claims, entry);
}

/* Loads a checkpoint if the state is incomplete; a complete state already includes the
   checkpoint and the records after it. A checkpoint is ignored if some of the records
   after its offset were not read, or if its offset lies after its own record. */
static void
apply_checkpoint (struct kcp_claims *claims, const json_t *record)
{
  uint64_t as_of = kcp_checkpoint_as_of (record);
  json_t *parts = NULL;

  if (as_of >= claims->first_offset && as_of < claims->next_offset)
    parts = kcp_checkpoint_reader_add (claims->reader, record);
  if (parts == NULL)
    return;
  claims->checkpoint_offset = claims->next_offset;
  if (!claims->complete)
    {
      load_checkpoint (claims, parts);
      claims->next_offset = as_of;
      claims->complete = true;
    }
  json_decref (parts);
}

/* Replaces the state with the parts of a checkpoint. */
static void
load_checkpoint (struct kcp_claims *claims, const json_t *parts)
{
  const json_t *part;
  json_t *entry;
  size_t i;
  size_t j;

  g_hash_table_remove_all (claims->by_key);
  g_hash_table_remove_all (claims->writers);
  claims->last_writer[0] = '\0';
  json_array_foreach (parts, i, part)
  {
    claims->log_time_ms = kcp_checkpoint_time_ms (part);
    json_array_foreach (json_object_get (part, "entries"), j, entry)
        load_entry (claims, entry);
  }
}

static void
load_entry (struct kcp_claims *claims, const json_t *entry)
{
  const char *outcome = json_string_value (json_object_get (entry, "outcome"));
  struct kcp_claim_view *view;

  if (strcmp (kcp_entry_text (entry, "op"), KCP_OP_WRITER) == 0)
    {
      struct writer *writer = g_new0 (struct writer, 1);

      writer->seq = (uint64_t)kcp_entry_int (entry, "seq");
      writer->seen_ms = kcp_entry_int (entry, "seen");
      g_hash_table_replace (claims->writers, g_strdup (kcp_entry_text (entry, "writer")),
                            writer);
      return;
    }
  view = view_from_entry (entry);
  view->state = outcome != NULL ? KCP_CLAIM_DECIDED : KCP_CLAIM_HELD;
  view->outcome = g_strdup (outcome);
  view->claimed_ms = kcp_entry_int (entry, "claimed");
  view->last_claim_ms = kcp_entry_int (entry, "touched");
  g_hash_table_replace (claims->by_key, g_strdup (kcp_entry_text (entry, "key")), view);
}

static struct kcp_claim_view *
view_from_entry (const json_t *entry)
{
  struct kcp_claim_view *view = g_new0 (struct kcp_claim_view, 1);

  g_strlcpy (view->claim, kcp_entry_text (entry, "claim"), sizeof view->claim);
  g_strlcpy (view->body_hash, kcp_entry_text (entry, "body"), sizeof view->body_hash);
  g_strlcpy (view->vm, kcp_entry_text (entry, "vm"), sizeof view->vm);
  g_strlcpy (view->writer, kcp_entry_text (entry, "writer"), sizeof view->writer);
  view->deadline_ms = kcp_entry_int (entry, "until");
  return view;
}

/* Returns the state of a held key if entry names the claim that holds it, or NULL. */
static struct kcp_claim_view *
find_held (struct kcp_claims *claims, const char *key, const json_t *entry)
{
  struct kcp_claim_view *view = g_hash_table_lookup (claims->by_key, key);

  if (view == NULL || view->state != KCP_CLAIM_HELD
      || strcmp (view->claim, kcp_entry_text (entry, "claim")) != 0)
    return NULL;
  return view;
}

static bool
is_expired (const struct kcp_claims *claims, int64_t ms)
{
  return claims->log_time_ms > ms + claims->retention_ms;
}

static void
sweep (struct kcp_claims *claims)
{
  if (claims->log_time_ms < claims->swept_ms + SWEEP_INTERVAL_MS)
    return;
  claims->swept_ms = claims->log_time_ms;
  g_hash_table_foreach_remove (claims->by_key, key_is_expired, claims);
  g_hash_table_foreach_remove (claims->writers, writer_is_expired, claims);
}

static gboolean
key_is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct kcp_claim_view *view = value;

  (void)key;
  return is_expired (user, view->last_claim_ms);
}

static gboolean
writer_is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct writer *writer = value;

  (void)key;
  return is_expired (user, writer->seen_ms);
}

static json_t *
make_entry (const char *op, const char *key, const struct kcp_claim_view *view)
{
  json_t *entry
      = json_pack ("{sssssssssssssIsIsI}", "op", op, "key", key, "body", view->body_hash,
                   "claim", view->claim, "vm", view->vm, "writer", view->writer, "until",
                   (json_int_t)view->deadline_ms, "claimed", (json_int_t)view->claimed_ms,
                   "touched", (json_int_t)view->last_claim_ms);

  if (view->outcome != NULL)
    json_object_set_new (entry, "outcome", json_string (view->outcome));
  return entry;
}

static void
view_free (gpointer data)
{
  struct kcp_claim_view *view = data;

  g_free (view->outcome);
  g_free (view);
}
