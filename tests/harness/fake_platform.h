/* In-process stand-in for the platform: its store, with the topics that the router reads
   and writes, and servers that execute requests and fail on command. It implements the
   protocols of the platform's adapter independently of the adapter's code. */
#ifndef KCP_TESTS_HARNESS_FAKE_PLATFORM_H
#define KCP_TESTS_HARNESS_FAKE_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How a server handles requests. */
enum fake_mode
{
  FAKE_ANSWER,
  FAKE_REFUSE,      /* answers 503 with Not-Executed, without running */
  FAKE_FAIL,        /* runs the request and answers 500 */
  FAKE_HANG_UP,     /* runs the request and closes the connection without an answer */
  FAKE_TRUNCATE,    /* runs the request and closes the connection within the body */
  FAKE_WRONG_ID,    /* answers with another request's id */
  FAKE_UNSIGNED,    /* answers without the Server-Seal header */
  FAKE_INTERRUPT,   /* streams two events and interrupts the third */
  FAKE_SLOW,        /* answers after 500 ms */
  FAKE_HANG_UP_LATE /* runs the request and closes the connection after 500 ms */
};

#define FAKE_STREAM_EVENTS 5

/* What a server sends of its answer before a request ends its process. */
enum fake_crash_progress
{
  FAKE_CRASH_AT_ONCE,
  FAKE_CRASH_AFTER_HEAD,
  FAKE_CRASH_AFTER_EVENT,
  FAKE_CRASH_AFTER_UNFRAMED_EVENT /* of an answer that ends with its connection */
};

/* What a server answers before a request ends its process. */
enum fake_crash_error
{
  FAKE_CRASH_NO_ERROR,
  FAKE_CRASH_ERROR,            /* 500 */
  FAKE_CRASH_ERROR_WITHOUT_ID, /* the same without the request's id */
  FAKE_CRASH_UNSIGNED          /* 200 without the Server-Seal header */
};

struct fake_platform;

struct fake_server
{
  struct fake_platform *platform;
  struct MHD_Daemon *daemon;
  char id[16];
  int port;
  int advertised_port; /* port in its list entry if not 0, else port */
  enum fake_mode mode; /* set by the test */
  int64_t version;     /* version of its weights */
  /* Version of its software in its list entry and in the events of its streams, set by
     the test; NULL: "v1", not in its events. */
  const char *software;
  unsigned event_gap_ms; /* between the events of its streams; set by the test */
  const char *limit;     /* Server-Limit of its answers; NULL: none; set by the test */
  /* Every so many requests one is answered with 500, which names no limit; 0: none is;
     set by the test. */
  unsigned fails_every;
  bool counts_calls;   /* arrivals has reads of its cache events too; set by the test */
  GArray *arrivals;    /* int64_t, microseconds: requests that reached it */
  bool ignores_orders; /* accepts orders and does not carry them out; set by the test */
  int64_t orders_taken;
  unsigned runs;            /* requests that it executed */
  unsigned streams_begun;   /* streams whose first event it has sent */
  unsigned in_flight;       /* requests in progress */
  unsigned starts;          /* incarnations after the first */
  unsigned entries;         /* that it has written since it started */
  bool crashing;            /* its process is ending or has ended */
  int64_t fence;            /* greatest fencing token of its orders */
  unsigned lower_fences;    /* orders with a lower fencing token */
  unsigned order_conflicts; /* orders rejected because they expected another count */
  GHashTable *headers;      /* of the last request it executed, names in lower case */
  GString *body;            /* of the last request it executed */
};

struct fake_platform *fake_platform_start (unsigned servers);
void fake_platform_stop (struct fake_platform *platform);
int fake_platform_port (const struct fake_platform *platform);
struct fake_server *fake_platform_server (struct fake_platform *platform, unsigned index);
void fake_platform_set_down (struct fake_platform *platform, bool down);
void fake_platform_set_unresponsive (struct fake_platform *platform, bool unresponsive);
int fake_platform_connection_count (const struct fake_platform *platform);
void fake_platform_silence_connections (struct fake_platform *platform);
void fake_platform_put_record (struct fake_platform *platform, const char *key,
                               const char *value);
void fake_platform_put_server (struct fake_platform *platform, unsigned index,
                               const char *state);
void fake_platform_put_lease_record (struct fake_platform *platform, const char *holder);
void fake_platform_put_server_entry (struct fake_platform *platform, const char *id,
                                     const char *value);
void fake_platform_put_in_topic (struct fake_platform *platform, const char *topic,
                                 const char *key, const char *value);
void fake_platform_lose_records (struct fake_platform *platform, const char *topic,
                                 unsigned count);
unsigned fake_platform_end_offset (struct fake_platform *platform, const char *topic);
unsigned fake_platform_read_count (struct fake_platform *platform, const char *topic);
unsigned fake_platform_run_count (struct fake_platform *platform, const char *id);
void fake_platform_crash_on (struct fake_platform *platform, const char *text,
                             unsigned down_ms);
void fake_platform_crash_on_part (struct fake_platform *platform, const char *text,
                                  unsigned down_ms, enum fake_crash_progress progress);
void fake_platform_answer_every (struct fake_platform *platform, unsigned nth,
                                 unsigned status);
void fake_platform_crash_with_error (struct fake_platform *platform,
                                     enum fake_crash_error error);
void fake_platform_crash_server (struct fake_platform *platform, unsigned index);
unsigned fake_platform_crash_count (struct fake_platform *platform);
int64_t fake_platform_crash_us (struct fake_platform *platform, unsigned number);
unsigned fake_platform_sent_after (struct fake_platform *platform, int64_t time_us);
unsigned fake_server_streams_begun (struct fake_server *server);
unsigned fake_server_count_arrivals (struct fake_server *server, int64_t from_us);
unsigned fake_server_peak_arrivals (struct fake_server *server, int64_t from_us,
                                    int64_t window_us);
char *fake_server_header (struct fake_server *server, const char *name);

#endif
