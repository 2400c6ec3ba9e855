#include "policy/server_speed.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Time in which a sample loses half of its weight: servers keep their speed, but some
   turn slow for seconds. */
#define HALF_LIFE_NS (15 * KCP_NS_PER_S)
/* A server without samples counts as this many samples with the mean of its service. */
#define PRIOR_SAMPLES 2.0
/* Expected time of the first byte, on which all servers are compared. */
#define FIRST_BYTE_US        15000.0
#define PREFILL_US_PER_TOKEN 21.0
/* Limits of one sample, so that a lost packet or a paused process is no verdict, and of
   the result. */
#define SAMPLE_MAX   1.0
#define SLOWNESS_MIN 250.0
#define SLOWNESS_MAX 4000.0

/* Records an attempt that found the server idle: the tokens that it had to prefill, and
   the time from sending to the first byte of the answer. */
void
kcp_server_speed_record (struct kcp_server_speed *speed, int64_t prefill_tokens,
                         int64_t first_byte_us, int64_t now_ns)
{
  double expected_us = FIRST_BYTE_US + PREFILL_US_PER_TOKEN * (double)prefill_tokens;
  double sample = log2 (MAX ((double)first_byte_us, 1) / expected_us);
  struct kcp_speed_samples samples
      = { .count = 1, .log_sum = CLAMP (sample, -SAMPLE_MAX, SAMPLE_MAX) };

  kcp_server_speed_merge (speed, &samples, now_ns);
}

/* Adds samples, as those of another VM. */
void
kcp_server_speed_merge (struct kcp_server_speed *speed,
                        const struct kcp_speed_samples *samples, int64_t now_ns)
{
  speed->samples = kcp_server_speed_samples (speed, now_ns);
  speed->sampled_ns = now_ns;
  speed->samples.count += samples->count;
  speed->samples.log_sum += samples->log_sum;
}

/* Returns the samples with their present weight. */
struct kcp_speed_samples
kcp_server_speed_samples (const struct kcp_server_speed *speed, int64_t now_ns)
{
  struct kcp_speed_samples samples = speed->samples;
  double weight;

  if (samples.count == 0)
    return samples;
  weight = exp2 (-(double)(now_ns - speed->sampled_ns) / HALF_LIFE_NS);
  samples.count *= weight;
  samples.log_sum *= weight;
  return samples;
}

/* Returns the time that the server takes in thousandths of that of the mean server of its
   service. service is the sum over all servers, this one included. */
int64_t
kcp_server_speed_slowness (const struct kcp_speed_samples *own,
                           const struct kcp_speed_samples *service)
{
  double usual = service->count > 0 ? service->log_sum / service->count : 0;
  double log_time = (own->log_sum + usual * PRIOR_SAMPLES) / (own->count + PRIOR_SAMPLES);

  return (int64_t)CLAMP (KCP_SLOWNESS_USUAL * exp2 (log_time - usual), SLOWNESS_MIN,
                         SLOWNESS_MAX);
}
