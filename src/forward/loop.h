/* The event loop for routed traffic. Each iteration polls descriptors and libcurl
   transfers, fires timers and runs the registered steps. Single-threaded. Times are
   measured since boot, so that timeouts also elapse while the VM is suspended. */
#ifndef KCP_FORWARD_LOOP_H
#define KCP_FORWARD_LOOP_H

#include <glib.h>
#include <stdbool.h>

#include "backend/poller.h"
#include "base/clock.h"

struct kcp_loop;

/* Embedded in its owner, which zeroes it before the first use. */
struct kcp_loop_timer
{
  struct kcp_loop *loop;
  GSequenceIter *position; /* in the loop's timers; NULL: not set */
  int64_t due_ns;
  void (*fire) (void *user);
  void *user;
};

typedef void kcp_loop_step (void *user);

struct kcp_loop *kcp_loop_new (const struct kcp_clock *clock);
void kcp_loop_free (struct kcp_loop *loop);
struct kcp_poller *kcp_loop_poller (struct kcp_loop *loop);
int64_t kcp_loop_now (const struct kcp_loop *loop);
bool kcp_loop_stalled_since (const struct kcp_loop *loop, int64_t since_ns);
void kcp_loop_add_step (struct kcp_loop *loop, kcp_loop_step *step, void *user);
void kcp_loop_run (struct kcp_loop *loop);
void kcp_loop_stop (struct kcp_loop *loop);
void kcp_loop_timer_set (struct kcp_loop *loop, struct kcp_loop_timer *timer,
                         int64_t due_ns, void (*fire) (void *user), void *user);
void kcp_loop_timer_cancel (struct kcp_loop_timer *timer);

#endif
