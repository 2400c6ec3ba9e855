#include "base/clock.h"

#include <stdlib.h>

static struct timespec
read_clock (const struct kcp_clock *clock, clockid_t id, struct timespec manual);

const struct kcp_clock kcp_clock_system = { .kind = KCP_CLOCK_SYSTEM };

/* Returns the time of CLOCK_MONOTONIC. */
struct timespec
kcp_clock_monotonic (const struct kcp_clock *clock)
{
  return read_clock (clock, CLOCK_MONOTONIC, clock->monotonic);
}

/* Returns the time of CLOCK_REALTIME. */
struct timespec
kcp_clock_realtime (const struct kcp_clock *clock)
{
  return read_clock (clock, CLOCK_REALTIME, clock->realtime);
}

/* Returns the monotonic time in nanoseconds. */
int64_t
kcp_clock_monotonic_ns (const struct kcp_clock *clock)
{
  return kcp_timespec_ns (kcp_clock_monotonic (clock));
}

/* Returns the time since boot in nanoseconds. Unlike the monotonic time, it continues to
   advance while the VM is suspended. */
int64_t
kcp_clock_boottime_ns (const struct kcp_clock *clock)
{
  return kcp_timespec_ns (read_clock (clock, CLOCK_BOOTTIME, clock->monotonic));
}

/* Returns the wall-clock time in milliseconds since the epoch. */
int64_t
kcp_clock_realtime_ms (const struct kcp_clock *clock)
{
  return kcp_timespec_ns (kcp_clock_realtime (clock)) / KCP_NS_PER_MS;
}

/* Advances both times of a manual clock by ns nanoseconds. */
void
kcp_clock_advance (struct kcp_clock *clock, int64_t ns)
{
  clock->monotonic = kcp_timespec_from_ns (kcp_timespec_ns (clock->monotonic) + ns);
  clock->realtime = kcp_timespec_from_ns (kcp_timespec_ns (clock->realtime) + ns);
}

/* Returns t in nanoseconds. */
int64_t
kcp_timespec_ns (struct timespec t)
{
  return (int64_t)t.tv_sec * KCP_NS_PER_S + t.tv_nsec;
}

/* Returns ns nanoseconds as a timespec. ns must not be negative. */
struct timespec
kcp_timespec_from_ns (int64_t ns)
{
  return (struct timespec){ .tv_sec = ns / KCP_NS_PER_S, .tv_nsec = ns % KCP_NS_PER_S };
}

/* Returns the time of system clock id, or manual if clock is a manual one. Aborts if the
   system clock cannot be read. */
static struct timespec
read_clock (const struct kcp_clock *clock, clockid_t id, struct timespec manual)
{
  struct timespec now = manual;

  switch (clock->kind)
    {
    case KCP_CLOCK_SYSTEM:
      if (clock_gettime (id, &now) != 0)
        abort ();
      break;
    case KCP_CLOCK_MANUAL:
      break;
    }
  return now;
}
