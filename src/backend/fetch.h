/* Asynchronous HTTP calls to backend servers: a pool of workers, each with its own
   curl multi handle. Callbacks run on the worker's thread. */
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
  KCP_FETCH_COMPLETE,       /* the response ended as HTTP says it must */
  KCP_FETCH_CONNECT_FAILED, /* no connection was made, so no byte was sent */
  KCP_FETCH_INTERRUPTED,    /* the connection ended early */
  KCP_FETCH_IDLE_TIMEOUT,   /* nothing arrived for the idle limit */
  KCP_FETCH_TIMED_OUT,      /* the total limit passed */
  KCP_FETCH_CANCELLED
};

enum kcp_fetch_flow
{
  KCP_FETCH_CONTINUE,
  KCP_FETCH_PAUSE, /* the data was taken; send no more until kcp_fetch_unpause() */
  KCP_FETCH_ABORT
};

struct kcp_fetch;

struct kcp_fetch_events
{
  /* One response header line without its line end. */
  void (*header) (void *user, struct kcp_str line);
  enum kcp_fetch_flow (*data) (void *user, long status, struct kcp_str data);
  /* The last call for this fetch. */
  void (*done) (void *user, enum kcp_fetch_result result, long status);
};

struct kcp_fetch_spec
{
  const char *method;
  const char *url;
  char **headers; /* NULL-terminated lines, or NULL */
  struct kcp_str body;
  int64_t connect_timeout_ms; /* limit for the connection */
  int64_t idle_timeout_ms;    /* limit between two arrivals; 0: none */
  int64_t total_timeout_ms;   /* limit for the whole call; 0: none */
  bool reuse;                 /* a kept connection may be taken; see kcp_fetch_start() */
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
