#include "forward/mesh_xdr.h"

#define PROGRAM 0x20005043u
#define VERSION 3u

static bool encode_call (XDR *xdr, enum kcp_mesh_procedure procedure);
static enum kcp_mesh_procedure decode_call (XDR *xdr);

/* Returns the procedure that the RPC call header names. */
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

/* Encodes a message as an RPC call. Returns its length, or 0 if max is too small. */
size_t
kcp_mesh_encode (enum kcp_mesh_procedure procedure, void *message,
                 kcp_mesh_code_body *code, char *out, size_t max)
{
  XDR xdr;
  size_t len = 0;

  xdrmem_create (&xdr, out, (u_int)max, XDR_ENCODE);
  if (encode_call (&xdr, procedure) && code (&xdr, message))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

/* Decodes an RPC call into an initialized message. Returns false if it is not a valid
   call of the procedure. */
bool
kcp_mesh_decode (enum kcp_mesh_procedure procedure, void *message,
                 kcp_mesh_code_body *code, char *data, size_t len)
{
  XDR xdr;
  bool valid;

  xdrmem_create (&xdr, data, (u_int)len, XDR_DECODE);
  valid = decode_call (&xdr) == procedure && code (&xdr, message)
          && xdr_getpos (&xdr) == len;
  xdr_destroy (&xdr);
  return valid;
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
    return KCP_MESH_INVALID;
  switch (call.rm_call.cb_proc)
    {
    case KCP_MESH_GOSSIP:
      return KCP_MESH_GOSSIP;
    case KCP_MESH_UPDATE:
      return KCP_MESH_UPDATE;
    case KCP_MESH_RECORDS:
      return KCP_MESH_RECORDS;
    case KCP_MESH_SUSPECTS:
      return KCP_MESH_SUSPECTS;
    case KCP_MESH_PART_SUSPECTS:
      return KCP_MESH_PART_SUSPECTS;
    case KCP_MESH_NOTICES:
      return KCP_MESH_NOTICES;
    case KCP_MESH_NEEDS:
      return KCP_MESH_NEEDS;
    case KCP_MESH_SUMMARY:
      return KCP_MESH_SUMMARY;
    case KCP_MESH_REMOTE_UPDATE:
      return KCP_MESH_REMOTE_UPDATE;
    case KCP_MESH_OUTCOMES:
      return KCP_MESH_OUTCOMES;
    case KCP_MESH_QUOTA:
      return KCP_MESH_QUOTA;
    case KCP_MESH_SPEEDS:
      return KCP_MESH_SPEEDS;
    default:
      return KCP_MESH_INVALID;
    }
}

/* Encodes or decodes a text in a buffer of size bytes. */
bool_t
kcp_mesh_code_text (XDR *xdr, char *text, size_t size)
{
  return xdr_string (xdr, &text, (u_int)size - 1);
}
