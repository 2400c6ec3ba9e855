#include "tests/harness/caller_streams.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

struct caller_stream caller_streams[CALLER_STREAMS];

/* Frees what the callers have. */
void
caller_streams_clear (void)
{
  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    if (caller_streams[i].events != NULL)
      g_string_free (caller_streams[i].events, TRUE);
  memset (caller_streams, 0, sizeof caller_streams);
}

/* Appends the complete events of an answer, and notes the id of the last one. */
static void
take_events (struct caller_stream *stream, const struct raw_answer *answer)
{
  const char *event = strstr (answer->text->str, "id: ");
  const char *end;

  while (event != NULL && (end = strstr (event, "\n\n")) != NULL)
    {
      stream->last_event = (unsigned)atoi (event + strlen ("id: "));
      g_string_append_len (stream->events, event, end - event + 2);
      event = strstr (end, "id: ");
    }
}

static void *
run_attempt (void *user)
{
  struct caller_stream *stream = user;
  g_autofree char *id
      = g_strdup_printf ("s%d.%u", (int)(stream - caller_streams), stream->attempts++);
  g_autofree char *headers
      = stream->last_event == 0 ? g_strdup ("")
                                : g_strdup_printf ("Resumes: %s\r\nLast-Event-Id: %u\r\n",
                                                   stream->first_id, stream->last_event);
  struct raw_answer answer
      = route_vm_send_to (stream->vm, "POST", "/stream/x", id, headers, "in");

  if (stream->last_event == 0)
    g_strlcpy (stream->first_id, id, sizeof stream->first_id);
  stream->status = route_vm_status (&answer);
  take_events (stream, &answer);
  raw_answer_clear (&answer);
  return NULL;
}

/* Has all streams attempted at once, by turns at two VMs. */
void
caller_streams_start (struct route_vm *first, struct route_vm *second)
{
  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    {
      struct caller_stream *stream = &caller_streams[i];

      stream->vm = i % 2 == 0 ? first : second;
      if (stream->events == NULL)
        stream->events = g_string_new (NULL);
      ck_assert_int_eq (pthread_create (&stream->thread, NULL, run_attempt, stream), 0);
    }
}

/* Waits until the attempts have ended. */
void
caller_streams_finish (void)
{
  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    (void)pthread_join (caller_streams[i].thread, NULL);
}

/* Returns true if there are events of both versions. */
bool
caller_stream_is_joined (const char *events)
{
  return strstr (events, "of v1\n") != NULL && strstr (events, "of v2\n") != NULL;
}

/* Returns true if the caller has the last event. */
bool
caller_stream_is_whole (const struct caller_stream *stream)
{
  return stream->last_event == FAKE_STREAM_EVENTS;
}

/* Expects that no caller has events of two versions, that no event is missing, and that a
   caller whose stream does not go on was refused. Returns the number of whole streams. */
unsigned
caller_streams_expect_not_joined (void)
{
  unsigned whole = 0;
  unsigned joined = 0;

  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    {
      whole += caller_stream_is_whole (&caller_streams[i]);
      joined += caller_stream_is_joined (caller_streams[i].events->str);
    }
  g_print ("%u of %u streams went on, %u joined from two versions\n", whole,
           CALLER_STREAMS, joined);
  ck_assert_uint_eq (joined, 0);
  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    ck_assert_msg (caller_stream_is_whole (&caller_streams[i])
                       || caller_streams[i].status == 503,
                   "stream %u: %d", i, caller_streams[i].status);
  return whole;
}

/* Has all streams taken up, by turns at two VMs, and waits until that has ended. */
void
caller_streams_take_up (struct route_vm *first, struct route_vm *second)
{
  caller_streams_start (first, second);
  caller_streams_finish ();
}
