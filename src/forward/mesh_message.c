#include "forward/mesh_message.h"

#include <rpc/rpc.h>
#include <string.h>

#define PROGRAM 0x20005043u
#define VERSION 3u
/* The first word of a row behind its key. */
#define ROW_READ       1u
#define ROW_UNREAD     2u
#define ROW_VERSION    4u
#define ROW_LOADING    8u
#define ROW_OPEN_SHIFT 16
#define ROW_OPEN_MAX   0xffffu

static void add_empty_row (GArray *rows);
static bool encode_call (XDR *xdr, enum kcp_mesh_procedure procedure);
static enum kcp_mesh_procedure decode_call (XDR *xdr);
static bool_t code_message (XDR *xdr, struct kcp_mesh_message *message);
static bool_t code_text (XDR *xdr, char *text, size_t size);
static bool_t code_rows (XDR *xdr, GArray *rows);
static bool_t code_row (XDR *xdr, struct kcp_mesh_row *row);
static bool_t code_if (XDR *xdr, uint32_t follows, uint32_t *value);
static bool_t code_parts (XDR *xdr, GArray *parts);
static bool_t code_update (XDR *xdr, struct kcp_mesh_update *update);
static bool_t code_change (XDR *xdr, struct kcp_mesh_change *change);
static bool_t code_records (XDR *xdr, struct kcp_mesh_records *records);
static bool_t code_record (XDR *xdr, struct kcp_mesh_record *record);
static bool_t code_bytes (XDR *xdr, struct kcp_str *bytes);
static void row_clear (gpointer data);

/* Makes an empty message. */
void
kcp_mesh_message_init (struct kcp_mesh_message *message)
{
  memset (message, 0, sizeof *message);
  message->rows = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_row));
  g_array_set_clear_func (message->rows, row_clear);
}

/* Frees what a message owns. */
void
kcp_mesh_message_clear (struct kcp_mesh_message *message)
{
  g_array_unref (message->rows);
}

/* Adds an empty row. */
struct kcp_mesh_row *
kcp_mesh_message_add_row (struct kcp_mesh_message *message)
{
  add_empty_row (message->rows);
  return &g_array_index (message->rows, struct kcp_mesh_row, message->rows->len - 1);
}

/* Writes the message as an RPC call; returns its length, or 0 if max is too small. */
size_t
kcp_mesh_message_encode (struct kcp_mesh_message *message, char *out, size_t max)
{
  XDR xdr;
  size_t len = 0;

  xdrmem_create (&xdr, out, (u_int)max, XDR_ENCODE);
  if (encode_call (&xdr, KCP_MESH_TELL) && code_message (&xdr, message))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

/* Reads an RPC call into an initialised message; false if it is not a sound one. */
bool
kcp_mesh_message_decode (struct kcp_mesh_message *message, char *data, size_t len)
{
  XDR xdr;
  bool sound;

  xdrmem_create (&xdr, data, (u_int)len, XDR_DECODE);
  sound = decode_call (&xdr) == KCP_MESH_TELL && code_message (&xdr, message)
          && xdr_getpos (&xdr) == len;
  xdr_destroy (&xdr);
  return sound;
}

/* Says which call the bytes are, by their head. */
enum kcp_mesh_procedure
kcp_mesh_procedure_of (char *data, size_t len)
{
  XDR xdr;
  enum kcp_mesh_procedure procedure;

  xdrmem_create (&xdr, data, (u_int)len, XDR_DECODE);
  procedure = decode_call (&xdr);
  xdr_destroy (&xdr);
  return procedure;
}

/* Makes an update without changes. */
void
kcp_mesh_update_init (struct kcp_mesh_update *update)
{
  memset (update, 0, sizeof *update);
  update->changes = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_change));
}

/* Frees what an update owns. */
void
kcp_mesh_update_clear (struct kcp_mesh_update *update)
{
  g_array_unref (update->changes);
}

/* Writes the update as an RPC call; returns its length, or 0 if max is too small. */
size_t
kcp_mesh_update_encode (struct kcp_mesh_update *update, char *out, size_t max)
{
  XDR xdr;
  size_t len = 0;

  xdrmem_create (&xdr, out, (u_int)max, XDR_ENCODE);
  if (encode_call (&xdr, KCP_MESH_UPDATE) && code_update (&xdr, update))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

/* Reads an RPC call into an initialised update; false if it is not a sound one. */
bool
kcp_mesh_update_decode (struct kcp_mesh_update *update, char *data, size_t len)
{
  XDR xdr;
  bool sound;

  xdrmem_create (&xdr, data, (u_int)len, XDR_DECODE);
  sound = decode_call (&xdr) == KCP_MESH_UPDATE && code_update (&xdr, update)
          && xdr_getpos (&xdr) == len;
  xdr_destroy (&xdr);
  return sound;
}

/* Makes an empty message. */
void
kcp_mesh_records_init (struct kcp_mesh_records *records)
{
  memset (records, 0, sizeof *records);
  records->records = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_record));
}

/* Frees what a message owns. */
void
kcp_mesh_records_clear (struct kcp_mesh_records *records)
{
  g_array_unref (records->records);
}

/* Writes the records as an RPC call; returns its length, or 0 if max is too small. */
size_t
kcp_mesh_records_encode (struct kcp_mesh_records *records, char *out, size_t max)
{
  XDR xdr;
  size_t len = 0;

  xdrmem_create (&xdr, out, (u_int)max, XDR_ENCODE);
  if (encode_call (&xdr, KCP_MESH_RECORDS) && code_records (&xdr, records))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

/* Reads an RPC call into an initialised message, whose texts then point into data; false
   if it is not a sound one. */
bool
kcp_mesh_records_decode (struct kcp_mesh_records *records, char *data, size_t len)
{
  XDR xdr;
  bool sound;

  xdrmem_create (&xdr, data, (u_int)len, XDR_DECODE);
  sound = decode_call (&xdr) == KCP_MESH_RECORDS && code_records (&xdr, records)
          && xdr_getpos (&xdr) == len;
  xdr_destroy (&xdr);
  return sound;
}

static void
add_empty_row (GArray *rows)
{
  struct kcp_mesh_row row = {
    .parts = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };

  g_array_append_val (rows, row);
}

static bool
encode_call (XDR *xdr, enum kcp_mesh_procedure procedure)
{
  struct rpc_msg call = { .rm_direction = CALL };

  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = PROGRAM;
  call.rm_call.cb_vers = VERSION;
  call.rm_call.cb_proc = (rpcproc_t)procedure;
  return xdr_callmsg (xdr, &call);
}

static enum kcp_mesh_procedure
decode_call (XDR *xdr)
{
  struct rpc_msg call = { 0 };
  char credentials[2 * MAX_AUTH_BYTES];

  call.rm_call.cb_cred.oa_base = credentials;
  call.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
  if (!xdr_callmsg (xdr, &call) || call.rm_direction != CALL
      || call.rm_call.cb_prog != PROGRAM || call.rm_call.cb_vers != VERSION)
    return KCP_MESH_UNSOUND;
  switch (call.rm_call.cb_proc)
    {
    case KCP_MESH_TELL:
      return KCP_MESH_TELL;
    case KCP_MESH_UPDATE:
      return KCP_MESH_UPDATE;
    case KCP_MESH_RECORDS:
      return KCP_MESH_RECORDS;
    default:
      return KCP_MESH_UNSOUND;
    }
}

static bool_t
code_message (XDR *xdr, struct kcp_mesh_message *message)
{
  bool_t leaving = message->leaving;

  if (!code_text (xdr, message->vm, sizeof message->vm)
      || !code_text (xdr, message->data_center, sizeof message->data_center)
      || !xdr_uint64_t (xdr, &message->start) || !xdr_uint64_t (xdr, &message->number)
      || !xdr_bool (xdr, &leaving))
    return FALSE;
  message->leaving = leaving;
  return code_rows (xdr, message->rows);
}

static bool_t
code_text (XDR *xdr, char *text, size_t size)
{
  return xdr_string (xdr, &text, (u_int)size - 1);
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

/* Most members of most rows are 0, so that a word says which of them follow. */
static bool_t
code_row (XDR *xdr, struct kcp_mesh_row *row)
{
  uint32_t head = MIN (row->in_flight, ROW_OPEN_MAX) << ROW_OPEN_SHIFT;

  head |= row->read ? ROW_READ : 0;
  head |= row->unread_tokens > 0 ? ROW_UNREAD : 0;
  head |= row->version > 0 ? ROW_VERSION : 0;
  head |= row->loading_ms > 0 ? ROW_LOADING : 0;
  if (!xdr_uint64_t (xdr, &row->server) || !xdr_uint32_t (xdr, &head))
    return FALSE;
  row->in_flight = head >> ROW_OPEN_SHIFT;
  row->read = (head & ROW_READ) != 0;
  return code_if (xdr, head & ROW_UNREAD, &row->unread_tokens)
         && code_if (xdr, head & ROW_VERSION, &row->version)
         && code_if (xdr, head & ROW_LOADING, &row->loading_ms)
         && (!row->read || code_parts (xdr, row->parts));
}

/* A value that does not follow is 0. */
static bool_t
code_if (XDR *xdr, uint32_t follows, uint32_t *value)
{
  if (follows)
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
code_update (XDR *xdr, struct kcp_mesh_update *update)
{
  uint32_t count = update->changes->len;

  if (!code_text (xdr, update->vm, sizeof update->vm)
      || !xdr_uint64_t (xdr, &update->start) || !xdr_uint64_t (xdr, &update->number)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_UPDATES_MAX)
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
         && xdr_uint32_t (xdr, &change->unread_tokens)
         && xdr_uint32_t (xdr, &change->version)
         && xdr_uint32_t (xdr, &change->loading_ms);
}

static bool_t
code_records (XDR *xdr, struct kcp_mesh_records *records)
{
  uint32_t count = records->records->len;

  if (!code_text (xdr, records->vm, sizeof records->vm)
      || !xdr_int64_t (xdr, &records->from) || !xdr_int64_t (xdr, &records->next)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_RECORDS_MAX)
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
  return xdr_int64_t (xdr, &record->offset) && xdr_uint32_t (xdr, &record->hold_ms)
         && code_bytes (xdr, &record->key) && code_bytes (xdr, &record->value);
}

/* Bytes that are read stay where they are. */
static bool_t
code_bytes (XDR *xdr, struct kcp_str *bytes)
{
  uint32_t len = (uint32_t)bytes->len;
  uint32_t padded;
  char *place;

  if (!xdr_uint32_t (xdr, &len) || len > KCP_MESH_MESSAGE_MAX)
    return FALSE;
  padded = (len + BYTES_PER_XDR_UNIT - 1) / BYTES_PER_XDR_UNIT * BYTES_PER_XDR_UNIT;
  if (padded == 0)
    return TRUE;
  place = (char *)xdr_inline (xdr, (int)padded);
  if (place == NULL)
    return FALSE;
  if (xdr->x_op == XDR_ENCODE)
    memcpy (place, bytes->data, len);
  else
    *bytes = (struct kcp_str){ .data = place, .len = len };
  return TRUE;
}

static void
row_clear (gpointer data)
{
  struct kcp_mesh_row *row = data;

  g_array_unref (row->parts);
}
