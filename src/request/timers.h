/* Timers that call functions at a given time, on one thread. */
#ifndef KCP_REQUEST_TIMERS_H
#define KCP_REQUEST_TIMERS_H

#include "base/clock.h"

struct kcp_timers;
struct kcp_timer;

/* Called when the timer is due. Returns the time of the next call, in monotonic
   nanoseconds, or KCP_TIMER_END. */
typedef int64_t kcp_timer_fire (void *user);
/* Called exactly once, when the timer will not fire again. */
typedef void kcp_timer_release (void *user);

#define KCP_TIMER_END 0

struct kcp_timers *kcp_timers_new (const struct kcp_clock *clock);
void kcp_timers_free (struct kcp_timers *timers);
struct kcp_timer *
kcp_timers_add (struct kcp_timers *timers, int64_t due_ns, kcp_timer_fire *fire,
                kcp_timer_release *release, void *user);
void kcp_timer_cancel (struct kcp_timer *timer);

#endif
