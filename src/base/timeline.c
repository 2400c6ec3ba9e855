#include "base/timeline.h"

#include <glib.h>

#define LOGICAL_BITS 16
#define MAX_AHEAD_MS 10000 /* maximum lead of a received timestamp */

struct kcp_timeline
{
  pthread_mutex_t lock;
  const struct kcp_clock *clock;
  uint64_t last_stamp; /* greatest timestamp returned or observed */
  uint64_t added_count;
  size_t capacity;
  struct kcp_timeline_entry *ring;
};

static const char *const event_names[KCP_EVENT_COUNT] = {
  [KCP_EVENT_STARTED] = "started",
  [KCP_EVENT_ACCEPTED] = "accepted",
  [KCP_EVENT_QUEUED] = "queued",
  [KCP_EVENT_PLACED] = "placed",
  [KCP_EVENT_DISPATCHED] = "dispatched",
  [KCP_EVENT_FIRST_TOKEN] = "first_token",
  [KCP_EVENT_RESUMED] = "resumed",
  [KCP_EVENT_RETRIED] = "retried",
  [KCP_EVENT_REFUSED] = "refused",
  [KCP_EVENT_COMPLETED] = "completed",
  [KCP_EVENT_FAILED] = "failed",
  [KCP_EVENT_CANCELLED] = "cancelled",
  [KCP_EVENT_CONFIG_IN_FORCE] = "config_in_force",
  [KCP_EVENT_CLAIMED] = "claimed",
  [KCP_EVENT_OUTCOME] = "outcome",
  [KCP_EVENT_PEER_ALIVE] = "peer_alive",
  [KCP_EVENT_PEER_SUSPECTED] = "peer_suspected",
  [KCP_EVENT_PEER_DEAD] = "peer_dead",
  [KCP_EVENT_BACKEND_STATE] = "backend_state",
  [KCP_EVENT_QUARANTINED] = "quarantined",
  [KCP_EVENT_ORDER] = "order",
  [KCP_EVENT_STOPPING] = "stopping",
};

static uint64_t next_stamp (struct kcp_timeline *timeline);

/* Creates a timeline that keeps the newest capacity events. clock must outlive it. */
struct kcp_timeline *
kcp_timeline_new (const struct kcp_clock *clock, size_t capacity)
{
  struct kcp_timeline *timeline = g_new0 (struct kcp_timeline, 1);

  pthread_mutex_init (&timeline->lock, NULL);
  timeline->clock = clock;
  timeline->capacity = capacity;
  timeline->ring = g_new0 (struct kcp_timeline_entry, capacity);
  return timeline;
}

/* Frees a timeline, which may be NULL. */
void
kcp_timeline_free (struct kcp_timeline *timeline)
{
  if (timeline == NULL)
    return;
  pthread_mutex_destroy (&timeline->lock);
  g_free (timeline->ring);
  g_free (timeline);
}

/* Adds an event, which replaces the oldest one if the ring buffer is full. timeline,
   request and subject may be NULL; without a timeline nothing happens. Thread-safe. */
void
kcp_timeline_add (struct kcp_timeline *timeline, enum kcp_event event,
                  const char *request, const char *subject, int64_t value)
{
  struct kcp_timeline_entry *entry;

  if (timeline == NULL)
    return;
  pthread_mutex_lock (&timeline->lock);
  entry = &timeline->ring[timeline->added_count++ % timeline->capacity];
  *entry = (struct kcp_timeline_entry){
    .stamp = next_stamp (timeline),
    .event = event,
    .value = value,
  };
  g_strlcpy (entry->request, request ? request : "", sizeof entry->request);
  g_strlcpy (entry->subject, subject ? subject : "", sizeof entry->subject);
  pthread_mutex_unlock (&timeline->lock);
}

/* Returns a new timestamp for a message to another process. Thread-safe. */
uint64_t
kcp_timeline_stamp (struct kcp_timeline *timeline)
{
  uint64_t stamp;

  pthread_mutex_lock (&timeline->lock);
  stamp = next_stamp (timeline);
  pthread_mutex_unlock (&timeline->lock);
  return stamp;
}

/* Merges the timestamp of a received message into the clock, so that later events are
   ordered after it. Returns false and ignores a timestamp that is ahead of both this VM's
   clock, by more than MAX_AHEAD_MS, and its newest timestamp: a VM with a wrong clock
   must not advance the timestamps of all others. Thread-safe. */
bool
kcp_timeline_observe (struct kcp_timeline *timeline, uint64_t stamp)
{
  uint64_t now_ms = (uint64_t)kcp_clock_realtime_ms (timeline->clock);
  bool accepted;

  pthread_mutex_lock (&timeline->lock);
  accepted = stamp >> LOGICAL_BITS
             <= MAX (timeline->last_stamp >> LOGICAL_BITS, now_ms + MAX_AHEAD_MS);
  if (accepted)
    timeline->last_stamp = MAX (timeline->last_stamp, stamp);
  pthread_mutex_unlock (&timeline->lock);
  return accepted;
}

/* Returns the events of the timeline, oldest first, as a new JSON array. Thread-safe. */
json_t *
kcp_timeline_to_json (struct kcp_timeline *timeline, const char *vm,
                      const char *data_center)
{
  json_t *array = json_array ();
  uint64_t first;

  pthread_mutex_lock (&timeline->lock);
  first = timeline->added_count > timeline->capacity
              ? timeline->added_count - timeline->capacity
              : 0;
  for (uint64_t i = first; i < timeline->added_count; i++)
    {
      const struct kcp_timeline_entry *entry = &timeline->ring[i % timeline->capacity];

      json_array_append_new (array, json_pack ("{sIsssssssssssI}", "stamp",
                                               (json_int_t)entry->stamp, "vm", vm,
                                               "data_center", data_center, "event",
                                               event_names[entry->event], "request",
                                               entry->request, "subject", entry->subject,
                                               "value", (json_int_t)entry->value));
    }
  pthread_mutex_unlock (&timeline->lock);
  return array;
}

/* Returns the name of an event as it appears in the JSON form of a timeline. */
const char *
kcp_event_name (enum kcp_event event)
{
  return event_names[event];
}

/* Returns a timestamp greater than all earlier ones. The caller holds the lock. */
static uint64_t
next_stamp (struct kcp_timeline *timeline)
{
  uint64_t physical = (uint64_t)kcp_clock_realtime_ms (timeline->clock) << LOGICAL_BITS;

  timeline->last_stamp = MAX (timeline->last_stamp + 1, physical);
  return timeline->last_stamp;
}
