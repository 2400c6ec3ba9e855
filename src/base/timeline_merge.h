/* Merges the timelines of several processes into one. */
#ifndef KCP_BASE_TIMELINE_MERGE_H
#define KCP_BASE_TIMELINE_MERGE_H

#include <jansson.h>
#include <stddef.h>

/* Selects entries whose members are equal to these strings; NULL matches everything. */
struct kcp_timeline_filter
{
  const char *request;
  const char *vm;
  const char *event;
};

json_t *kcp_timeline_merge (json_t *const *lists, size_t count,
                            const struct kcp_timeline_filter *filter);

#endif
