/* Fetches configuration from another VM in chunks that fit a datagram. The module uses
   neither sockets nor a clock: the caller passes in the time and the received chunks, and
   sends the requests that the module returns. */
#ifndef KCP_PEER_CONFIG_PULL_H
#define KCP_PEER_CONFIG_PULL_H

#include "base/str.h"
#include "peer/message.h"

enum kcp_pull_state
{
  KCP_PULL_IDLE,
  KCP_PULL_ACTIVE,
  KCP_PULL_DONE, /* the complete text was received */
  KCP_PULL_FAILED
};

struct kcp_config_pull
{
  enum kcp_pull_state state;
  char from[KCP_FACT_ID_MAX];
  uint64_t number;
  uint64_t since;
  uint64_t snapshot;       /* hash of the text, once known */
  uint32_t total;          /* size of the text in bytes; 0 until known */
  uint32_t missing_chunks; /* number of chunks not yet received; 0 before the first one */
  uint32_t first;          /* index of the first chunk of the last request */
  uint32_t requested;      /* number of chunks in the last request */
  unsigned unanswered_requests; /* requests sent since the last chunk was received */
  int64_t sent_ns;              /* when the last request was sent, monotonic */
  GByteArray *text;
  GByteArray *present; /* one byte per chunk, nonzero once it was received */
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
