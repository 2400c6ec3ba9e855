/* Names the spaces within which servers share cached parts. Requests share parts only
   under the same weights of a model, and requests of an isolated team only with each
   other. */
#ifndef KCP_FORWARD_CACHE_SPACE_H
#define KCP_FORWARD_CACHE_SPACE_H

#include <stdint.h>

#include "route/routes.h"

char *kcp_cache_scope (const struct kcp_routes *routes, const char *team);
char *kcp_cache_space_name (const char *model, int64_t version, const char *scope);
uint64_t kcp_part_key (const char *cache_space, const char *part);

#endif
