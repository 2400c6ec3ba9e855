/* Estimates how fast a server starts answers compared with the other servers of its
   service. The result depends on the arguments alone.

   Load pattern: servers of one service that differ in speed, and long prompts that take
   more than their time at the slow ones. Only attempts that found the server idle are
   counted, so that a queue is not taken for a slow server. */
#ifndef KCP_POLICY_SERVER_SPEED_H
#define KCP_POLICY_SERVER_SPEED_H

#include <stdint.h>

#define KCP_SLOWNESS_USUAL 1000 /* slowness of the mean server */

/* Samples with their weights; each is log2 of the time to the first byte in relation to
   the expected one. All members are 0 at the start. */
struct kcp_speed_samples
{
  double count;
  double log_sum;
};

struct kcp_server_speed
{
  struct kcp_speed_samples samples; /* as of sampled_ns */
  int64_t sampled_ns;
};

void kcp_server_speed_record (struct kcp_server_speed *speed, int64_t prefill_tokens,
                              int64_t first_byte_us, int64_t now_ns);
void kcp_server_speed_merge (struct kcp_server_speed *speed,
                             const struct kcp_speed_samples *samples, int64_t now_ns);
struct kcp_speed_samples
kcp_server_speed_samples (const struct kcp_server_speed *speed, int64_t now_ns);
int64_t kcp_server_speed_slowness (const struct kcp_speed_samples *own,
                                   const struct kcp_speed_samples *service);

#endif
