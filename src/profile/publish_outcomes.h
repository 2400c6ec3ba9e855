/* The outcomes of the most recent publications, by id. Not thread-safe. */
#ifndef KCP_PROFILE_PUBLISH_OUTCOMES_H
#define KCP_PROFILE_PUBLISH_OUTCOMES_H

#include <glib.h>
#include <stdbool.h>

#include "profile/config_log.h"

struct kcp_publish_outcome
{
  enum kcp_config_result result;
  uint64_t version; /* of the new entry, if the change was applied; otherwise 0 */
};

struct kcp_publish_outcomes
{
  GHashTable *by_id; /* id, struct kcp_publish_outcome */
  GQueue order;      /* ids, oldest first */
};

void kcp_publish_outcomes_init (struct kcp_publish_outcomes *outcomes);
void kcp_publish_outcomes_clear (struct kcp_publish_outcomes *outcomes);
void kcp_publish_outcomes_add (struct kcp_publish_outcomes *outcomes, const char *id,
                               const struct kcp_publish_outcome *outcome);
bool kcp_publish_outcomes_find (const struct kcp_publish_outcomes *outcomes,
                                const char *id, struct kcp_publish_outcome *outcome);

#endif
