/* GET /events returns the changes of the cache by long polling. PUT /event-faults makes a
   percentage of them get lost, or delays all of them. */
#include "standin/engine_events.h"

#include <pthread.h>
#include <string.h>

#include "base/clock.h"

#define EVENTS_MAX        65536 /* events; when there are more, the oldest is dropped */
#define ANSWER_EVENTS_MAX 4096  /* events in one answer */
#define POLL_US           2000
#define BLOCK_BYTES       17

struct event
{
  char block[BLOCK_BYTES];
  bool stored;
  bool lost;
  int64_t at_ns;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GArray *recorded_events;
static int64_t first_seq; /* sequence number of the first event kept */
static int64_t drop_percent;
static int64_t lag_ms;
static int64_t event_count;

static json_t *list_events (int64_t from, int64_t *next);

/* Returns true if this module handles the request. */
bool
engine_events_handles (const struct standin_request *request)
{
  return strcmp (request->path, "/events") == 0
         || strcmp (request->path, "/event-faults") == 0;
}

/* Handles a request for the cache events or their faults. */
enum MHD_Result
engine_events_handle (const struct standin_request *request, const char *incarnation)
{
  int64_t wait_us = standin_query_int (request, "wait_ms", 0) * 1000;
  int64_t from = standin_query_int (request, "from", 0);
  int64_t next;
  json_t *events;

  if (strcmp (request->path, "/event-faults") == 0)
    {
      pthread_mutex_lock (&lock);
      drop_percent = standin_query_int (request, "drop_percent", 0);
      lag_ms = standin_query_int (request, "lag_ms", 0);
      pthread_mutex_unlock (&lock);
      return standin_answer (request, 200, json_object ());
    }
  for (events = list_events (from, &next); next <= from && wait_us > 0;
       wait_us -= POLL_US)
    {
      json_decref (events);
      g_usleep (POLL_US);
      events = list_events (from, &next);
    }
  return standin_answer (request, 200,
                         json_pack ("{sIsssO}", "next", (json_int_t)next, "incarnation",
                                    incarnation, "events", events));
}

/* Adds the event that a block was stored or evicted. */
void
engine_events_add (const char *block, bool stored)
{
  struct event event
      = { .stored = stored, .at_ns = kcp_clock_monotonic_ns (&kcp_clock_system) };

  g_strlcpy (event.block, block, sizeof event.block);
  pthread_mutex_lock (&lock);
  /* 37 and 100 have no common factor, so of any 100 events drop_percent are lost. */
  event.lost = event_count++ * 37 % 100 < drop_percent;
  if (recorded_events == NULL)
    recorded_events = g_array_new (FALSE, FALSE, sizeof (struct event));
  g_array_append_val (recorded_events, event);
  if (recorded_events->len > EVENTS_MAX)
    {
      g_array_remove_index (recorded_events, 0);
      first_seq++;
    }
  pthread_mutex_unlock (&lock);
}

static json_t *
list_events (int64_t from, int64_t *next)
{
  json_t *list = json_array ();
  int64_t limit_ns = kcp_clock_monotonic_ns (&kcp_clock_system) - lag_ms * KCP_NS_PER_MS;
  int64_t at;

  pthread_mutex_lock (&lock);
  for (at = MAX (from, first_seq);
       recorded_events != NULL && at - first_seq < (int64_t)recorded_events->len
       && at < from + ANSWER_EVENTS_MAX;
       at++)
    {
      const struct event *event
          = &g_array_index (recorded_events, struct event, (guint)(at - first_seq));

      if (event->at_ns > limit_ns)
        break;
      if (!event->lost)
        json_array_append_new (list, json_pack ("{sIssss}", "seq", (json_int_t)at, "op",
                                                event->stored ? "stored" : "evicted",
                                                "block", event->block));
    }
  *next = at;
  pthread_mutex_unlock (&lock);
  return list;
}
