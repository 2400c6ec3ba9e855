#include "forward/mesh_message.h"

#include <string.h>

#include "forward/mesh_xdr.h"

/* Layout of the 32-bit word that follows the server key in an encoded row: the lower half
   has flags for the members that are present, the upper half the number of requests in
   flight. */
#define ROW_HAS_PARTS       1u
#define ROW_HAS_PREFILL     2u
#define ROW_HAS_VERSION     4u
#define ROW_HAS_LOADING     8u
#define ROW_IN_FLIGHT_SHIFT 16
#define ROW_IN_FLIGHT_MAX   0xffffu

static void add_empty_row (GArray *rows);
static bool_t code_message (XDR *xdr, void *user);
static bool_t code_summary (XDR *xdr, void *user);
static bool_t code_rows (XDR *xdr, GArray *rows);
static bool_t code_row (XDR *xdr, struct kcp_mesh_row *row);
static bool_t code_optional (XDR *xdr, uint32_t present, uint32_t *value);
static bool_t code_parts (XDR *xdr, GArray *parts);
static bool_t code_update (XDR *xdr, void *user);
static bool_t code_change (XDR *xdr, struct kcp_mesh_change *change);
static bool_t code_records (XDR *xdr, void *user);
static bool_t code_record (XDR *xdr, struct kcp_mesh_record *record);
static bool_t code_bytes (XDR *xdr, struct kcp_str *bytes);
static void row_clear (gpointer data);

/* Initializes a gossip message without rows. */
void
kcp_mesh_message_init (struct kcp_mesh_message *message)
{
  memset (message, 0, sizeof *message);
  message->rows = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_row));
  g_array_set_clear_func (message->rows, row_clear);
}

/* Frees the contents of a gossip message. */
void
kcp_mesh_message_clear (struct kcp_mesh_message *message)
{
  g_array_unref (message->rows);
}

/* Adds an empty row and returns it; it is valid until the next row is added. */
struct kcp_mesh_row *
kcp_mesh_message_add_row (struct kcp_mesh_message *message)
{
  add_empty_row (message->rows);
  return &g_array_index (message->rows, struct kcp_mesh_row, message->rows->len - 1);
}

/* Removes the cached parts from all rows. */
void
kcp_mesh_message_drop_parts (struct kcp_mesh_message *message)
{
  for (guint i = 0; i < message->rows->len; i++)
    {
      struct kcp_mesh_row *row = &g_array_index (message->rows, struct kcp_mesh_row, i);

      row->has_parts = false;
      g_array_set_size (row->parts, 0);
    }
}

/* Encodes the message as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_message_encode (struct kcp_mesh_message *message, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_GOSSIP, message, code_message, out, max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   gossip message. */
bool
kcp_mesh_message_decode (struct kcp_mesh_message *message, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_GOSSIP, message, code_message, data, len);
}

/* Initializes a summary without rows. */
void
kcp_mesh_summary_init (struct kcp_mesh_summary *summary)
{
  kcp_mesh_message_init (&summary->state);
  summary->forwarded = false;
}

/* Frees the contents of a summary. */
void
kcp_mesh_summary_clear (struct kcp_mesh_summary *summary)
{
  kcp_mesh_message_clear (&summary->state);
}

/* Encodes the summary as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_summary_encode (struct kcp_mesh_summary *summary, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_SUMMARY, summary, code_summary, out, max);
}

/* Decodes an RPC call into an initialized summary. Returns false if it is not a valid
   summary message. */
bool
kcp_mesh_summary_decode (struct kcp_mesh_summary *summary, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_SUMMARY, summary, code_summary, data, len);
}

/* Initializes an update without changes. */
void
kcp_mesh_update_init (struct kcp_mesh_update *update)
{
  memset (update, 0, sizeof *update);
  update->changes = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_change));
}

/* Frees the contents of an update. */
void
kcp_mesh_update_clear (struct kcp_mesh_update *update)
{
  g_array_unref (update->changes);
}

/* Encodes the update as an RPC call of the procedure, KCP_MESH_UPDATE or
   KCP_MESH_REMOTE_UPDATE. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_update_encode (struct kcp_mesh_update *update, enum kcp_mesh_procedure procedure,
                        char *out, size_t max)
{
  return kcp_mesh_encode (procedure, update, code_update, out, max);
}

/* Decodes an RPC call of the procedure into an initialized update. Returns false if it is
   not a valid update message. */
bool
kcp_mesh_update_decode (struct kcp_mesh_update *update, enum kcp_mesh_procedure procedure,
                        char *data, size_t len)
{
  return kcp_mesh_decode (procedure, update, code_update, data, len);
}

/* Initializes a records message without records. */
void
kcp_mesh_records_init (struct kcp_mesh_records *records)
{
  memset (records, 0, sizeof *records);
  records->records = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_record));
}

/* Frees the contents of a records message. */
void
kcp_mesh_records_clear (struct kcp_mesh_records *records)
{
  g_array_unref (records->records);
}

/* Encodes the records as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_records_encode (struct kcp_mesh_records *records, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_RECORDS, records, code_records, out, max);
}

/* Decodes an RPC call into an initialized message, whose keys and values then point into
   data. Returns false if it is not a valid records message. */
bool
kcp_mesh_records_decode (struct kcp_mesh_records *records, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_RECORDS, records, code_records, data, len);
}

static void
add_empty_row (GArray *rows)
{
  struct kcp_mesh_row row = {
    .parts = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };

  g_array_append_val (rows, row);
}

static bool_t
code_message (XDR *xdr, void *user)
{
  struct kcp_mesh_message *message = user;
  bool_t leaving = message->leaving;

  if (!kcp_mesh_code_text (xdr, message->vm, sizeof message->vm)
      || !kcp_mesh_code_text (xdr, message->data_center, sizeof message->data_center)
      || !xdr_uint64_t (xdr, &message->start_ms)
      || !xdr_uint64_t (xdr, &message->sequence) || !xdr_bool (xdr, &leaving))
    return FALSE;
  message->leaving = leaving;
  return code_rows (xdr, message->rows);
}

static bool_t
code_summary (XDR *xdr, void *user)
{
  struct kcp_mesh_summary *summary = user;
  bool_t forwarded = summary->forwarded;

  if (!code_message (xdr, &summary->state) || !xdr_bool (xdr, &forwarded))
    return FALSE;
  summary->forwarded = forwarded;
  return TRUE;
}

static bool_t
code_rows (XDR *xdr, GArray *rows)
{
  uint32_t count = rows->len;

  if (!xdr_uint32_t (xdr, &count) || count > KCP_MESH_ROWS_MAX)
    return FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      if (i >= rows->len)
        add_empty_row (rows);
      if (!code_row (xdr, &g_array_index (rows, struct kcp_mesh_row, i)))
        return FALSE;
    }
  return TRUE;
}

/* Most members of most rows are 0, so a word of flags shows which of them follow. */
static bool_t
code_row (XDR *xdr, struct kcp_mesh_row *row)
{
  uint32_t head = MIN (row->in_flight, ROW_IN_FLIGHT_MAX) << ROW_IN_FLIGHT_SHIFT;

  head |= row->has_parts ? ROW_HAS_PARTS : 0;
  head |= row->prefill_tokens_pending > 0 ? ROW_HAS_PREFILL : 0;
  head |= row->version > 0 ? ROW_HAS_VERSION : 0;
  head |= row->loading_ms > 0 ? ROW_HAS_LOADING : 0;
  if (!xdr_uint64_t (xdr, &row->server) || !xdr_uint32_t (xdr, &head))
    return FALSE;
  row->in_flight = head >> ROW_IN_FLIGHT_SHIFT;
  row->has_parts = (head & ROW_HAS_PARTS) != 0;
  return code_optional (xdr, head & ROW_HAS_PREFILL, &row->prefill_tokens_pending)
         && code_optional (xdr, head & ROW_HAS_VERSION, &row->version)
         && code_optional (xdr, head & ROW_HAS_LOADING, &row->loading_ms)
         && (!row->has_parts || code_parts (xdr, row->parts));
}

/* Encodes or decodes a value that is present; an absent value is decoded as 0. */
static bool_t
code_optional (XDR *xdr, uint32_t present, uint32_t *value)
{
  if (present)
    return xdr_uint32_t (xdr, value);
  *value = 0;
  return TRUE;
}

static bool_t
code_parts (XDR *xdr, GArray *parts)
{
  uint32_t count = parts->len;

  if (!xdr_uint32_t (xdr, &count) || count > KCP_MESH_PARTS_MAX)
    return FALSE;
  g_array_set_size (parts, count);
  for (uint32_t i = 0; i < count; i++)
    if (!xdr_uint64_t (xdr, &g_array_index (parts, uint64_t, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_update (XDR *xdr, void *user)
{
  struct kcp_mesh_update *update = user;
  uint32_t count = update->changes->len;

  if (!kcp_mesh_code_text (xdr, update->vm, sizeof update->vm)
      || !xdr_uint64_t (xdr, &update->start_ms) || !xdr_uint64_t (xdr, &update->sequence)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_CHANGES_MAX)
    return FALSE;
  g_array_set_size (update->changes, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_change (xdr, &g_array_index (update->changes, struct kcp_mesh_change, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_change (XDR *xdr, struct kcp_mesh_change *change)
{
  return xdr_uint64_t (xdr, &change->server) && xdr_uint64_t (xdr, &change->part)
         && xdr_uint32_t (xdr, &change->prefill_tokens_pending)
         && xdr_uint32_t (xdr, &change->version)
         && xdr_uint32_t (xdr, &change->loading_ms);
}

static bool_t
code_records (XDR *xdr, void *user)
{
  struct kcp_mesh_records *records = user;
  uint32_t count = records->records->len;

  if (!kcp_mesh_code_text (xdr, records->vm, sizeof records->vm)
      || !xdr_int64_t (xdr, &records->era) || !xdr_int64_t (xdr, &records->from)
      || !xdr_int64_t (xdr, &records->next) || !xdr_uint32_t (xdr, &count)
      || count > KCP_MESH_RECORDS_MAX)
    return FALSE;
  g_array_set_size (records->records, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_record (xdr, &g_array_index (records->records, struct kcp_mesh_record, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_record (XDR *xdr, struct kcp_mesh_record *record)
{
  return xdr_int64_t (xdr, &record->offset)
         && xdr_uint32_t (xdr, &record->removal_delay_ms)
         && code_bytes (xdr, &record->key) && code_bytes (xdr, &record->value);
}

/* Encodes or decodes a byte string. Decoded bytes are not copied; they point into the
   buffer of the XDR stream. */
static bool_t
code_bytes (XDR *xdr, struct kcp_str *bytes)
{
  uint32_t len = (uint32_t)bytes->len;
  uint32_t padded;
  char *buffer;

  if (!xdr_uint32_t (xdr, &len) || len > KCP_MESH_MESSAGE_MAX)
    return FALSE;
  padded = (len + BYTES_PER_XDR_UNIT - 1) / BYTES_PER_XDR_UNIT * BYTES_PER_XDR_UNIT;
  if (padded == 0)
    return TRUE;
  buffer = (char *)xdr_inline (xdr, (int)padded);
  if (buffer == NULL)
    return FALSE;
  if (xdr->x_op == XDR_ENCODE)
    memcpy (buffer, bytes->data, len);
  else
    *bytes = (struct kcp_str){ .data = buffer, .len = len };
  return TRUE;
}

static void
row_clear (gpointer data)
{
  struct kcp_mesh_row *row = data;

  g_array_unref (row->parts);
}
