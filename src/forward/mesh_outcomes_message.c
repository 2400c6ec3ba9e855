/* Encodes and decodes the messages about what attempts at servers came to. */
#include <string.h>

#include "forward/mesh_xdr.h"

static bool_t code_outcomes (XDR *xdr, void *user);
static bool_t code_outcome (XDR *xdr, struct kcp_mesh_outcome *row);

/* Initializes an outcomes message without rows. */
void
kcp_mesh_outcomes_init (struct kcp_mesh_outcomes *outcomes)
{
  memset (outcomes, 0, sizeof *outcomes);
  outcomes->rows = g_array_new (FALSE, TRUE, sizeof (struct kcp_mesh_outcome));
}

/* Frees the contents of an outcomes message. */
void
kcp_mesh_outcomes_clear (struct kcp_mesh_outcomes *outcomes)
{
  g_array_unref (outcomes->rows);
}

/* Encodes the outcomes as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_outcomes_encode (struct kcp_mesh_outcomes *outcomes, char *out, size_t max)
{
  return kcp_mesh_encode (KCP_MESH_OUTCOMES, outcomes, code_outcomes, out, max);
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   outcomes message. */
bool
kcp_mesh_outcomes_decode (struct kcp_mesh_outcomes *outcomes, char *data, size_t len)
{
  return kcp_mesh_decode (KCP_MESH_OUTCOMES, outcomes, code_outcomes, data, len);
}

static bool_t
code_outcomes (XDR *xdr, void *user)
{
  struct kcp_mesh_outcomes *outcomes = user;
  uint32_t count = outcomes->rows->len;

  if (!kcp_mesh_code_text (xdr, outcomes->vm, sizeof outcomes->vm)
      || !xdr_uint32_t (xdr, &count) || count > KCP_MESH_OUTCOMES_MAX)
    return FALSE;
  g_array_set_size (outcomes->rows, count);
  for (uint32_t i = 0; i < count; i++)
    if (!code_outcome (xdr, &g_array_index (outcomes->rows, struct kcp_mesh_outcome, i)))
      return FALSE;
  return TRUE;
}

static bool_t
code_outcome (XDR *xdr, struct kcp_mesh_outcome *row)
{
  return xdr_uint64_t (xdr, &row->server) && xdr_uint32_t (xdr, &row->successes)
         && xdr_uint32_t (xdr, &row->failures) && xdr_uint32_t (xdr, &row->reached);
}
