/* Streams of callers before a group of VMs: many that begin at once, and that their
   callers take up elsewhere when they break. */
#ifndef KCP_TESTS_HARNESS_CALLER_STREAMS_H
#define KCP_TESTS_HARNESS_CALLER_STREAMS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "tests/harness/vm_group.h"

#define CALLER_STREAMS 16u

/* A caller's stream: what it has of it, over all its attempts. */
struct caller_stream
{
  struct route_vm *vm;
  pthread_t thread;
  char first_id[16]; /* of the attempt that brought the first event */
  unsigned attempts;
  GString *events;
  unsigned last_event;
  int status; /* of the newest attempt */
};

extern struct caller_stream caller_streams[CALLER_STREAMS];

void caller_streams_clear (void);
void caller_streams_start (struct route_vm *first, struct route_vm *second);
void caller_streams_finish (void);
void caller_streams_take_up (struct route_vm *first, struct route_vm *second);
bool caller_stream_is_whole (const struct caller_stream *stream);
bool caller_stream_is_joined (const char *events);
unsigned caller_streams_expect_not_joined (void);

#endif
