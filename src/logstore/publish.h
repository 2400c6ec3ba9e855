/* Publishes configuration changes through the platform's log. */
#ifndef KCP_LOGSTORE_PUBLISH_H
#define KCP_LOGSTORE_PUBLISH_H

#include "logstore/platform_log.h"
#include "profile/config.h"

struct kcp_publication
{
  const char *key;
  json_t *document; /* NULL: the document is deleted */
  struct kcp_config_base base;
  char id[KCP_ID_LEN + 1]; /* set by kcp_publish() */
};

bool kcp_publish (struct kcp_platform_log *log, struct kcp_config *config,
                  struct kcp_publication *publication,
                  struct kcp_publish_outcome *outcome, struct kcp_error *error);
bool kcp_publish_start_over (struct kcp_platform_log *log, struct kcp_config *config,
                             json_t *documents, struct kcp_error *error);

#endif
