/* A ring buffer of events, each with a timestamp of a hybrid logical clock. The
   timestamps order the events of several VMs. A timeline never contains prompts or
   answers. */
#ifndef KCP_BASE_TIMELINE_H
#define KCP_BASE_TIMELINE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

enum kcp_event
{
  KCP_EVENT_STARTED,
  KCP_EVENT_ACCEPTED,
  KCP_EVENT_QUEUED,
  KCP_EVENT_PLACED,
  KCP_EVENT_DISPATCHED,
  KCP_EVENT_FIRST_TOKEN,
  KCP_EVENT_RESUMED,
  KCP_EVENT_RETRIED,
  KCP_EVENT_REFUSED,
  KCP_EVENT_COMPLETED,
  KCP_EVENT_FAILED,
  KCP_EVENT_CANCELLED,
  KCP_EVENT_CONFIG_IN_FORCE,
  KCP_EVENT_CLAIMED,
  KCP_EVENT_OUTCOME,
  KCP_EVENT_PEER_ALIVE,
  KCP_EVENT_PEER_SUSPECTED,
  KCP_EVENT_PEER_DEAD,
  KCP_EVENT_BACKEND_STATE,
  KCP_EVENT_QUARANTINED,
  KCP_EVENT_ORDER,
  KCP_EVENT_STOPPING,
  KCP_EVENT_COUNT
};

/* Sizes of the strings in bytes, with the final NUL. */
#define KCP_TIMELINE_REQUEST_MAX 40
#define KCP_TIMELINE_SUBJECT_MAX 64

struct kcp_timeline_entry
{
  uint64_t stamp; /* hybrid logical clock: ms since the epoch << 16 | logical part */
  enum kcp_event event;
  char request[KCP_TIMELINE_REQUEST_MAX]; /* ID of the request; empty: none */
  char subject[KCP_TIMELINE_SUBJECT_MAX]; /* server, VM or document; empty: none */
  int64_t value;                          /* its meaning depends on the event */
};

struct kcp_timeline;

struct kcp_timeline *kcp_timeline_new (const struct kcp_clock *clock, size_t capacity);
void kcp_timeline_free (struct kcp_timeline *timeline);
void kcp_timeline_add (struct kcp_timeline *timeline, enum kcp_event event,
                       const char *request, const char *subject, int64_t value);
uint64_t kcp_timeline_stamp (struct kcp_timeline *timeline);
bool kcp_timeline_observe (struct kcp_timeline *timeline, uint64_t stamp);
json_t *kcp_timeline_to_json (struct kcp_timeline *timeline, const char *vm,
                              const char *data_center);
const char *kcp_event_name (enum kcp_event event);

#endif
