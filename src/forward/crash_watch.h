/* Watches the attempts that ended without an answer, or with an error, until it is known
   whether their servers crashed. A server has ended if its address refuses connections,
   or if another incarnation registers at that address. Used on the event loop's thread
   only. */
#ifndef KCP_FORWARD_CRASH_WATCH_H
#define KCP_FORWARD_CRASH_WATCH_H

#include "forward/loop.h"
#include "forward/server.h"

/* What may have crashed a server: a request, or one of its prompt's parts. */
struct kcp_crash_causes
{
  uint64_t fingerprint; /* of the request; equal for all its copies */
  /* uint64_t, fingerprints of parts of its prompt; NULL: none of them is the cause. */
  GArray *parts;
};

/* A request that was in flight at a server that crashed. */
struct kcp_crash
{
  struct kcp_crash_causes causes;
  const struct kcp_server *server; /* the incarnation that crashed */
  int64_t sent_ns;                 /* when the request was sent there */
  int64_t ended_ns;                /* when the attempt ended */
};

enum kcp_crash_watch_probe
{
  KCP_CRASH_WATCH_PASSIVE, /* wait for evidence from other requests and the list */
  KCP_CRASH_WATCH_PROBE    /* also probe the server */
};

typedef void kcp_crash_handler (void *user, const struct kcp_crash *crash);

struct kcp_crash_watch;

struct kcp_crash_watch *
kcp_crash_watch_new (struct kcp_loop *loop, kcp_crash_handler *handler, void *user);
void kcp_crash_watch_free (struct kcp_crash_watch *watch);
void kcp_crash_watch_add (struct kcp_crash_watch *watch, struct kcp_server *server,
                          const struct kcp_crash_causes *causes, int64_t sent_ns,
                          enum kcp_crash_watch_probe probe);
void
kcp_crash_watch_on_refused (struct kcp_crash_watch *watch, struct kcp_server *server);
void
kcp_crash_watch_on_entry (struct kcp_crash_watch *watch, const struct kcp_server *server);

#endif
