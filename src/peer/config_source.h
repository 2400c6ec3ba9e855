/* Serves configuration to VMs that fetch it. All chunks of one pull are cut from the same
   text, even if the configuration changes meanwhile. */
#ifndef KCP_PEER_CONFIG_SOURCE_H
#define KCP_PEER_CONFIG_SOURCE_H

#include "peer/message.h"

struct kcp_config_source;

/* Returns the changes made after version since, as a newly allocated string. */
typedef char *kcp_config_text (void *user, uint64_t since);

struct kcp_config_source *kcp_config_source_new (kcp_config_text *text, void *user);
void kcp_config_source_free (struct kcp_config_source *source);
bool kcp_config_source_chunk (struct kcp_config_source *source, int64_t now_ns,
                              const struct kcp_message_pull *request, uint32_t number,
                              struct kcp_message_chunk *chunk);

#endif
