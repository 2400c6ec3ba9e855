/* Encodes and decodes the messages about what servers say. */
#include <string.h>

#include "forward/mesh_xdr.h"

static bool_t code_notices (XDR *xdr, void *user);
static bool_t code_notice (XDR *xdr, struct kcp_server_notice *notice);

/* Initializes a notices message without notices. */
void
kcp_mesh_notices_init (struct kcp_mesh_notices *notices)
{
  memset (notices, 0, sizeof *notices);
  notices->notices = g_array_new (FALSE, TRUE, sizeof (struct kcp_server_notice));
}

/* Frees the contents of a notices message. */
void
kcp_mesh_notices_clear (struct kcp_mesh_notices *notices)
{
  g_array_unref (notices->notices);
}

/* Encodes the notices as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_notices_encode (struct kcp_mesh_notices *notices, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_NOTICES, notices, code_notices, out, max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   notices message. */
bool
kcp_mesh_notices_decode (struct kcp_mesh_notices *notices, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_NOTICES, notices, code_notices, data, len);
}

static bool_t
code_notices (XDR *xdr, void *user)
{
  struct kcp_mesh_notices *notices = user;
  uint32_t count = notices->notices->len;

  if (!kcp_mesh_code_text (xdr, notices->vm, sizeof notices->vm)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_NOTICES_MAX)
    return FALSE;
  g_array_set_size (notices->notices, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_notice (xdr,
                      &g_array_index (notices->notices, struct kcp_server_notice, i)))
      return FALSE;
  return TRUE;
}

/* A kind that this build does not know makes the message invalid. */
static bool_t
code_notice (XDR *xdr, struct kcp_server_notice *notice)
{
  uint32_t kind = notice->kind;

  if (!xdr_uint64_t (xdr, &notice->server) || !xdr_uint32_t (xdr, &kind)
      || kind >= KCP_NOTICE_KINDS)
    return FALSE;
  notice->kind = (enum kcp_notice_kind)kind;
  return xdr_uint32_t (xdr, &notice->value) && xdr_uint32_t (xdr, &notice->age_ms)
         && xdr_uint32_t (xdr, &notice->needs);
}
