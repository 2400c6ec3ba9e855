/* Reads the cache events of those servers for which this VM is the reader, and keeps
   which long parts of prompts each one has; the mesh passes that on. */
#ifndef KCP_FORWARD_CACHE_READER_H
#define KCP_FORWARD_CACHE_READER_H

#include "forward/gateway.h"
#include "forward/mesh.h"

struct kcp_cache_reader;

struct kcp_cache_reader *
kcp_cache_reader_start (struct kcp_gateway *gateway, struct kcp_mesh *mesh);
void kcp_cache_reader_stop (struct kcp_cache_reader *reader);

#endif
