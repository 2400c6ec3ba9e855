/* The parts of the fake platform: its store, its servers, and their crashes. Only the
   sources of the fake platform include this file. */
#ifndef KCP_TESTS_HARNESS_FAKE_PARTS_H
#define KCP_TESTS_HARNESS_FAKE_PARTS_H

#include <pthread.h>

#include "tests/harness/fake_http.h"
#include "tests/harness/fake_platform.h"

#define FAKE_SERVERS_MAX 8u
#define FAKE_POLL_MS     5

enum fake_topic_index
{
  FAKE_TOPIC_OPERATORS,
  FAKE_TOPIC_SERVERS,
  FAKE_TOPIC_ORDERS,
  FAKE_TOPIC_VMS,
  FAKE_TOPIC_BLOCKED,
  FAKE_TOPIC_SUSPECTS,
  FAKE_TOPIC_SOFTWARE,
  FAKE_TOPIC_STREAMS,
  FAKE_TOPICS
};

struct fake_topic
{
  const char *name;
  bool keyed;
  GPtrArray *records; /* struct record, by offset */
  unsigned reads;     /* number of log-read calls */
};

struct fake_store
{
  pthread_mutex_t lock; /* guards the topics and the era */
  pthread_cond_t added; /* a topic has another record */
  struct MHD_Daemon *daemon;
  bool down;
  bool unresponsive; /* accepts calls and never answers them */
  bool stopping;
  gint silenced;    /* number of times that the connections were silenced */
  gint connections; /* number of connections that were accepted */
  unsigned era;     /* rises each time that the store comes back from a copy */
  struct fake_topic topics[FAKE_TOPICS];
};

/* Which requests crash servers, and what they did. */
struct fake_crashes
{
  char *body_text; /* a body that contains it crashes the server; NULL: none does */
  char *part_text; /* likewise a Prompt-Prefix header that contains it */
  enum fake_crash_progress progress; /* with such a header */
  unsigned down_ms;                  /* time until a crashed server is back */
  enum fake_crash_error error;       /* what a server sends of an error before it ends */
  unsigned answered_every;           /* each such copy is answered instead; 0: none is */
  unsigned answer_status;            /* with this status, and not run */
  GArray *times;                     /* int64_t, microseconds: crashes by such requests */
  GArray *arrivals; /* int64_t, microseconds: such requests at all servers */
  GPtrArray *threads;
};

struct fake_platform
{
  pthread_mutex_t lock; /* guards the members below but for the store */
  bool stopping;
  struct fake_store store;
  struct fake_server servers[FAKE_SERVERS_MAX];
  unsigned server_count;
  GHashTable *runs; /* request id -> number of executions */
  struct fake_crashes crashes;
};

void fake_store_start (struct fake_store *store);
void fake_store_begin_stop (struct fake_store *store);
void fake_store_stop (struct fake_store *store);

void fake_server_start (struct fake_server *server, struct fake_platform *platform,
                        unsigned index);
void fake_server_listen (struct fake_server *server);
void fake_server_stop (struct fake_server *server);

void fake_crashes_init (struct fake_crashes *crashes);
void fake_crashes_join (struct fake_crashes *crashes);
void fake_crashes_clear (struct fake_crashes *crashes);
bool fake_crash_by_body (const struct fake_platform *platform, const GString *body);
bool fake_crash_by_part (const struct fake_platform *platform,
                         struct MHD_Connection *connection);
enum MHD_Result
fake_crash_answer (struct fake_server *server, struct MHD_Connection *connection,
                   const char *const *headers);
enum MHD_Result fake_crash_stream (struct fake_server *server,
                                   struct MHD_Connection *connection, const char *id);

#endif
