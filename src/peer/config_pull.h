/* Fetches configuration that another VM holds, in chunks that fit a datagram. No sockets
   and no clock: times are passed in, and requests and chunks are given out. */
#ifndef KCP_PEER_CONFIG_PULL_H
#define KCP_PEER_CONFIG_PULL_H

#include "base/str.h"
#include "peer/message.h"

enum kcp_pull_state
{
  KCP_PULL_IDLE,
  KCP_PULL_ACTIVE,
  KCP_PULL_DONE, /* the whole text arrived */
  KCP_PULL_FAILED
};

struct kcp_config_pull
{
  enum kcp_pull_state state;
  char from[KCP_FACT_ID_MAX];
  uint64_t number;
  uint64_t since;
  uint64_t snapshot; /* identity of the text, once known */
  uint32_t total;    /* bytes of the text, once known */
  uint32_t missing;  /* chunks; 0 before the first one */
  uint32_t first;    /* of the chunks asked for last */
  uint32_t asked;    /* chunks asked for last */
  unsigned tries;    /* requests since a chunk came */
  int64_t sent_ns;   /* monotonic */
  GByteArray *text;
  GByteArray *present; /* one byte a chunk */
};

void kcp_config_pull_start (struct kcp_config_pull *pull, const char *from,
                            uint64_t number, uint64_t since);
bool kcp_config_pull_request (struct kcp_config_pull *pull, int64_t now_ns,
                              struct kcp_message_pull *request);
void kcp_config_pull_accept (struct kcp_config_pull *pull, const char *from,
                             const struct kcp_message_chunk *chunk);
struct kcp_str kcp_config_pull_text (const struct kcp_config_pull *pull);
void kcp_config_pull_clear (struct kcp_config_pull *pull);

#endif
