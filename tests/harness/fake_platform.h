/* A stand-in for the prepared platform in one test program: its store with the topics
   that the router reads and writes, and servers that run requests and can be told to
   fail. It speaks what the platform's adapter speaks, by its own code. */
#ifndef KCP_TESTS_HARNESS_FAKE_PLATFORM_H
#define KCP_TESTS_HARNESS_FAKE_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a server does with the requests it gets. */
enum fake_mode
{
  FAKE_ANSWER,
  FAKE_REFUSE,    /* 503, says that it did not run */
  FAKE_FAIL,      /* 500 of its own */
  FAKE_HANG_UP,   /* runs it and closes the connection without an answer */
  FAKE_TRUNCATE,  /* runs it and breaks off in the body */
  FAKE_WRONG_ID,  /* answers with another request's id */
  FAKE_UNSIGNED,  /* answers without its signature */
  FAKE_BREAK_OFF, /* streams two events and half of a third */
  FAKE_SLOW       /* answers after half a second */
};

#define FAKE_STREAM_EVENTS 5

struct fake_platform;

struct fake_server
{
  struct fake_platform *platform;
  struct MHD_Daemon *daemon;
  char id[16];
  int port;
  int shown_port;      /* in its entry, if it is another; 0: port */
  enum fake_mode mode; /* set by the test */
  int64_t version;     /* of its weights */
  int64_t orders_taken;
  unsigned runs;       /* requests that it ran */
  unsigned open;       /* requests that it works on now */
  unsigned conflicts;  /* orders that expected another count */
  GHashTable *headers; /* of the newest request it ran, names in lower case */
  GString *body;       /* likewise */
};

struct fake_platform *fake_platform_start (unsigned servers);
void fake_platform_stop (struct fake_platform *platform);
int fake_platform_port (const struct fake_platform *platform);
struct fake_server *fake_platform_server (struct fake_platform *platform, unsigned index);
void fake_platform_set_down (struct fake_platform *platform, bool down);
void fake_platform_set_silent (struct fake_platform *platform, bool silent);
void
fake_platform_put (struct fake_platform *platform, const char *key, const char *value);
void fake_platform_put_server (struct fake_platform *platform, unsigned index,
                               const char *state);
void fake_platform_put_entry (struct fake_platform *platform, const char *id,
                              const char *value);
unsigned fake_platform_end (struct fake_platform *platform, const char *topic);
unsigned fake_platform_reads (struct fake_platform *platform, const char *topic);
unsigned fake_platform_runs (struct fake_platform *platform, const char *id);
char *fake_server_header (struct fake_server *server, const char *name);

#endif
