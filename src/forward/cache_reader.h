/* Reads the cache events of the servers for which this VM is the reader, and records the
   long prompt parts that each has cached. The mesh sends these to the other VMs. */
#ifndef KCP_FORWARD_CACHE_READER_H
#define KCP_FORWARD_CACHE_READER_H

#include "forward/gateway.h"
#include "forward/mesh.h"

struct kcp_cache_reader;

struct kcp_cache_reader *
kcp_cache_reader_start (struct kcp_gateway *gateway, struct kcp_mesh *mesh);
void kcp_cache_reader_stop (struct kcp_cache_reader *reader);

#endif
