/* Access to the system clocks. Code that reads the time is given a struct kcp_clock, so
   that tests can replace the system clock with a manual one. */
#ifndef KCP_BASE_CLOCK_H
#define KCP_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#define KCP_NS_PER_S  1000000000LL
#define KCP_NS_PER_MS 1000000LL
#define KCP_NS_PER_US 1000LL
#define KCP_MS_PER_S  1000LL

enum kcp_clock_kind
{
  KCP_CLOCK_SYSTEM,
  KCP_CLOCK_MANUAL
};

/* A manual clock returns the times stored here; the system clock ignores them. */
struct kcp_clock
{
  enum kcp_clock_kind kind;
  struct timespec monotonic; /* also returned as the time since boot */
  struct timespec realtime;
};

extern const struct kcp_clock kcp_clock_system;

struct timespec kcp_clock_monotonic (const struct kcp_clock *clock);
struct timespec kcp_clock_realtime (const struct kcp_clock *clock);
int64_t kcp_clock_monotonic_ns (const struct kcp_clock *clock);
int64_t kcp_clock_boottime_ns (const struct kcp_clock *clock);
int64_t kcp_clock_realtime_ms (const struct kcp_clock *clock);
void kcp_clock_advance (struct kcp_clock *clock, int64_t ns);
int64_t kcp_timespec_ns (struct timespec t);
struct timespec kcp_timespec_from_ns (int64_t ns);

#endif
