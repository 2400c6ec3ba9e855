/* Encodes and decodes the messages about teams' quotas. */
#include <string.h>

#include "forward/mesh_xdr.h"

static bool_t code_quota (XDR *xdr, void *user);

/* Encodes the message as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_quota_encode (struct kcp_mesh_quota *quota, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_QUOTA, quota, code_quota, out, max);
}

/* Decodes an RPC call. Returns false if it is not a valid quota message. */
bool
kcp_mesh_quota_decode (struct kcp_mesh_quota *quota, char *data, size_t len)
{
  memset (quota, 0, sizeof *quota);
  return kcp_mesh_decode (KCP_MESH_QUOTA, quota, code_quota, data, len);
}

static bool_t
code_quota (XDR *xdr, void *user)
{
  struct kcp_mesh_quota *quota = user;
  uint32_t kind = quota->kind;

  if (!kcp_mesh_code_text (xdr, quota->vm, sizeof quota->vm) || !xdr_uint32_t (xdr, &kind)
      || kind >= KCP_MESH_QUOTA_KINDS)
    return FALSE;
  quota->kind = (enum kcp_mesh_quota_kind)kind;
  if (!xdr_uint64_t (xdr, &quota->team) || !xdr_uint32_t (xdr, &quota->sequence)
      || !xdr_uint32_t (xdr, &quota->count) || quota->count > KCP_QUOTA_ASK_MAX)
    return FALSE;
  for (uint32_t i = 0; quota->kind == KCP_MESH_QUOTA_ASK && i < quota->count; i++)
    if (!xdr_uint32_t (xdr, &quota->costs[i]))
      return FALSE;
  return xdr_uint32_t (xdr, &quota->reserve) && xdr_uint32_t (xdr, &quota->granted)
         && xdr_uint32_t (xdr, &quota->retry_ms);
}
