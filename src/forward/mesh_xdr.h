/* The frame of the messages between VMs: ONC RPC calls without a reply, whose bodies each
   type of message encodes and decodes with one function. */
#ifndef KCP_FORWARD_MESH_XDR_H
#define KCP_FORWARD_MESH_XDR_H

#include <rpc/rpc.h>

#include "forward/mesh_message.h"

/* Encodes or decodes the body of one type of message. */
typedef bool_t kcp_mesh_code_body (XDR *xdr, void *message);

size_t kcp_mesh_encode (enum kcp_mesh_procedure procedure, void *message,
                        kcp_mesh_code_body *code, char *out, size_t max);
bool kcp_mesh_decode (enum kcp_mesh_procedure procedure, void *message,
                      kcp_mesh_code_body *code, char *data, size_t len);
bool_t kcp_mesh_code_text (XDR *xdr, char *text, size_t size);

#endif
