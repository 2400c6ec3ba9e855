/* Asynchronous HTTP calls to backend servers. A pool has several workers, each with its
   own libcurl multi handle. Callbacks run on the thread of the worker. */
#ifndef KCP_BACKEND_FETCH_H
#define KCP_BACKEND_FETCH_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

enum kcp_fetch_result
{
  KCP_FETCH_COMPLETE,       /* the response is complete according to its HTTP framing */
  KCP_FETCH_CONNECT_FAILED, /* no connection was made, so no byte was sent */
  KCP_FETCH_INTERRUPTED,    /* the connection closed early, or the head is too long */
  KCP_FETCH_IDLE_TIMEOUT,   /* no data was received for idle_timeout_ms */
  KCP_FETCH_TIMED_OUT,      /* total_timeout_ms elapsed */
  KCP_FETCH_CANCELLED
};

enum kcp_fetch_flow
{
  KCP_FETCH_CONTINUE,
  KCP_FETCH_PAUSE, /* the data was consumed; deliver no more until kcp_fetch_unpause() */
  KCP_FETCH_ABORT
};

struct kcp_fetch;

struct kcp_fetch_events
{
  /* Receives one response header line without its line terminator. */
  void (*header) (void *user, struct kcp_str line);
  enum kcp_fetch_flow (*data) (void *user, long status, struct kcp_str data);
  /* The last callback of a call. status is 0 without a whole head of a response. */
  void (*done) (void *user, enum kcp_fetch_result result, long status);
};

struct kcp_fetch_spec
{
  const char *method;
  const char *url;
  char **headers; /* NULL-terminated array of header lines, or NULL */
  struct kcp_str body;
  int64_t connect_timeout_ms; /* for establishing the connection */
  int64_t idle_timeout_ms;    /* between two receptions of data; 0: none */
  int64_t total_timeout_ms;   /* for the whole call; 0: none */
  bool reuse;      /* allow an idle connection to be reused; see kcp_fetch_start() */
  bool may_repeat; /* libcurl may send the call again by itself; see kcp_fetch_start() */
  const struct kcp_fetch_events *events;
  void *user;
};

struct kcp_fetch_pool;

struct kcp_fetch_pool *
kcp_fetch_pool_new (const struct kcp_clock *clock, unsigned workers);
void kcp_fetch_pool_free (struct kcp_fetch_pool *pool);
struct kcp_fetch *
kcp_fetch_start (struct kcp_fetch_pool *pool, const struct kcp_fetch_spec *spec);
void kcp_fetch_cancel (struct kcp_fetch *fetch);
void kcp_fetch_unpause (struct kcp_fetch *fetch);
struct kcp_fetch *kcp_fetch_ref (struct kcp_fetch *fetch);
void kcp_fetch_unref (struct kcp_fetch *fetch);

#endif
