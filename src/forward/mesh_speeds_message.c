/* Encodes and decodes the messages about the speed of servers. */
#include <string.h>

#include "forward/mesh_xdr.h"

static bool_t code_speeds (XDR *xdr, void *user);
static bool_t code_speed (XDR *xdr, struct kcp_mesh_speed *row);

/* Initializes a speeds message without rows. */
void
kcp_mesh_speeds_init (struct kcp_mesh_speeds *speeds)
{
  memset (speeds, 0, sizeof *speeds);
  speeds->rows = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_speed));
}

/* Frees the contents of an speeds message. */
void
kcp_mesh_speeds_clear (struct kcp_mesh_speeds *speeds)
{
  g_array_unref (speeds->rows);
}

/* Encodes the speeds as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_speeds_encode (struct kcp_mesh_speeds *speeds, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_SPEEDS, speeds, code_speeds, out, max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   speeds message. */
bool
kcp_mesh_speeds_decode (struct kcp_mesh_speeds *speeds, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_SPEEDS, speeds, code_speeds, data, len);
}

static bool_t
code_speeds (XDR *xdr, void *user)
{
  struct kcp_mesh_speeds *speeds = user;
  uint32_t count = speeds->rows->len;

  if (!kcp_mesh_code_text (xdr, speeds->vm, sizeof speeds->vm)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_SPEEDS_MAX)
    return FALSE;
  g_array_set_size (speeds->rows, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_speed (xdr, &g_array_index (speeds->rows, struct kcp_mesh_speed, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_speed (XDR *xdr, struct kcp_mesh_speed *row)
{
  return xdr_uint64_t (xdr, &row->server) && xdr_uint32_t (xdr, &row->count)
         && xdr_int32_t (xdr, &row->log_sum);
}
