/* The process's counters, shown at /metrics. */
#ifndef KCP_BASE_COUNTER_H
#define KCP_BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

enum kcp_counter
{
  KCP_COUNT_REQUESTS,
  KCP_COUNT_REFUSED,
  KCP_COUNT_COMPLETED,
  KCP_COUNT_FAILED,
  KCP_COUNT_CANCELLED,
  KCP_COUNT_ATTEMPTS,
  KCP_COUNT_RETRIES,
  KCP_COUNT_RESUMED,
  KCP_COUNT_ANSWERS_DROPPED,
  KCP_COUNT_PROMPT_TOKENS,
  KCP_COUNT_CACHED_TOKENS,
  KCP_COUNT_BOOKING_CLAIMS,
  KCP_COUNT_BOOKING_REPEATS,
  KCP_COUNT_LOG_APPENDS,
  KCP_COUNT_LOG_ERRORS,
  KCP_COUNT_CONFIG_APPLIED,
  KCP_COUNT_CACHE_EVENTS,
  KCP_COUNT_CACHE_GAPS,
  KCP_COUNT_RPC_SENT,
  KCP_COUNT_RPC_RECEIVED,
  KCP_COUNT_RPC_REJECTED,
  KCP_COUNTERS
};

void kcp_counter_add (enum kcp_counter counter, uint64_t amount);
uint64_t kcp_counter_get (enum kcp_counter counter);
void kcp_counter_print (GString *out);

#endif
