/* Encodes and decodes the messages about suspects. */
#include <string.h>

#include "forward/mesh_xdr.h"

static enum kcp_mesh_procedure
suspects_procedure (const struct kcp_mesh_suspects *suspects);
static bool_t code_suspects (XDR *xdr, void *user);
static bool_t code_fact (XDR *xdr, struct kcp_quarantine_fact *fact);
static bool_t code_request_fact (XDR *xdr, struct kcp_quarantine_fact *fact);
static bool_t code_crashes (XDR *xdr, struct kcp_quarantine_fact *fact, unsigned crashes);

/* Initializes a suspects message of one kind without facts. */
void
kcp_mesh_suspects_init (struct kcp_mesh_suspects *suspects, enum kcp_suspect_kind kind)
{
  memset (suspects, 0, sizeof *suspects);
  suspects->kind = kind;
  suspects->facts = g_array_new (FALSE, TRUE, sizeof (struct kcp_quarantine_fact));
}

/* Frees the contents of a suspects message. */
void
kcp_mesh_suspects_clear (struct kcp_mesh_suspects *suspects)
{
  g_array_unref (suspects->facts);
}

/* Encodes the facts as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_suspects_encode (struct kcp_mesh_suspects *suspects, char *out, size_t max)
{
  return kcp_mesh_encode (suspects_procedure (suspects), suspects, code_suspects, out,
                          max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   suspects message of the kind for which the message was initialized. */
bool
kcp_mesh_suspects_decode (struct kcp_mesh_suspects *suspects, char *data, size_t len)
{
  return kcp_mesh_decode (suspects_procedure (suspects), suspects, code_suspects, data,
                          len);
}

static enum kcp_mesh_procedure
suspects_procedure (const struct kcp_mesh_suspects *suspects)
{
  switch (suspects->kind)
    {
    case KCP_SUSPECT_PART:
      return KCP_MESH_PART_SUSPECTS;
    case KCP_SUSPECT_REQUEST:
      break;
    }
  return KCP_MESH_SUSPECTS;
}

static bool_t
code_suspects (XDR *xdr, void *user)
{
  struct kcp_mesh_suspects *suspects = user;
  uint32_t count = suspects->facts->len;

  if (!kcp_mesh_code_text (xdr, suspects->vm, sizeof suspects->vm)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_SUSPECTS_MAX)
    return FALSE;
  g_array_set_size (suspects->facts, count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct kcp_quarantine_fact *fact
          = &g_array_index (suspects->facts, struct kcp_quarantine_fact, i);

      if (!(suspects->kind == KCP_SUSPECT_PART ? code_fact (xdr, fact)
                                               : code_request_fact (xdr, fact)))
        return FALSE;
    }
  return TRUE;
}

static bool_t
code_fact (XDR *xdr, struct kcp_quarantine_fact *fact)
{
  return code_crashes (xdr, fact, KCP_QUARANTINE_CRASHES_MAX)
         && xdr_uint64_t (xdr, &fact->fingerprint) && xdr_uint32_t (xdr, &fact->rank)
         && xdr_uint32_t (xdr, &fact->incidents)
         && xdr_uint32_t (xdr, &fact->incident_age_ms)
         && xdr_uint32_t (xdr, &fact->remaining_ms);
}

/* The fact of a request names fewer crashes and tells of its incidents only whether there
   were several. */
static bool_t
code_request_fact (XDR *xdr, struct kcp_quarantine_fact *fact)
{
  bool_t several_incidents = fact->incidents > 1;

  if (!code_crashes (xdr, fact, KCP_MESH_REQUEST_CRASHES_MAX)
      || !xdr_uint64_t (xdr, &fact->fingerprint) || !xdr_uint32_t (xdr, &fact->rank)
      || !xdr_bool (xdr, &several_incidents)
      || !xdr_uint32_t (xdr, &fact->incident_age_ms)
      || !xdr_uint32_t (xdr, &fact->remaining_ms))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    fact->incidents = several_incidents ? 2 : 1;
  return TRUE;
}

static bool_t
code_crashes (XDR *xdr, struct kcp_quarantine_fact *fact, unsigned crashes)
{
  for (unsigned i = 0; i < crashes; i++)
    if (!xdr_uint64_t (xdr, &fact->crashes[i]))
      return FALSE;
  return TRUE;
}
