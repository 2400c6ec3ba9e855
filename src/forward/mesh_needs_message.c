/* Encodes and decodes the messages about the needs by which limits are divided. */
#include <string.h>

#include "forward/mesh_xdr.h"

static bool_t code_needs (XDR *xdr, void *user);
static bool_t code_row (XDR *xdr, struct kcp_mesh_needs_row *row);

/* Initializes a needs message without rows. */
void
kcp_mesh_needs_init (struct kcp_mesh_needs *needs)
{
  memset (needs, 0, sizeof *needs);
  needs->rows = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_needs_row));
}

/* Frees the contents of a needs message. */
void
kcp_mesh_needs_clear (struct kcp_mesh_needs *needs)
{
  g_array_unref (needs->rows);
}

/* Encodes the needs as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_needs_encode (struct kcp_mesh_needs *needs, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_NEEDS, needs, code_needs, out, max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   needs message. */
bool
kcp_mesh_needs_decode (struct kcp_mesh_needs *needs, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_NEEDS, needs, code_needs, data, len);
}

static bool_t
code_needs (XDR *xdr, void *user)
{
  struct kcp_mesh_needs *needs = user;
  uint32_t count = needs->rows->len;

  if (!kcp_mesh_code_text (xdr, needs->vm, sizeof needs->vm)
      || !xdr_uint64_t (xdr, &needs->start_ms)
      || !xdr_uint64_t (xdr, &needs->receiver_start_ms) || !xdr_uint32_t (xdr, &count)
      || count > KCP_MESH_NEEDS_MAX)
    return FALSE;
  g_array_set_size (needs->rows, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_row (xdr, &g_array_index (needs->rows, struct kcp_mesh_needs_row, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_row (XDR *xdr, struct kcp_mesh_needs_row *row)
{
  struct kcp_needs_message *message = &row->message;

  return xdr_uint64_t (xdr, &row->server)
         && xdr_uint32_t (xdr, &message->statement.sequence)
         && xdr_uint32_t (xdr, &message->statement.needs)
         && xdr_uint32_t (xdr, &message->acknowledged);
}
