#include "policy/reach.h"

#include <glib.h>

#include "base/clock.h"

/* Time from a failure to the next probe. It doubles with each further failure. */
#define PROBE_BASE_NS   (125 * KCP_NS_PER_MS)
#define PROBE_DOUBLINGS 3u

/* Records that no connection to the server could be established. */
void
kcp_reach_record_failure (struct kcp_reach *reach, int64_t now_ns)
{
  unsigned doublings = MIN (reach->failures, PROBE_DOUBLINGS);

  reach->failures++;
  reach->failed_ns = now_ns;
  reach->probe_after_ns = now_ns + (PROBE_BASE_NS << doublings);
}

/* Records that the server answered or accepted a connection. Returns true if it was not
   reached before. */
bool
kcp_reach_record_contact (struct kcp_reach *reach, int64_t now_ns)
{
  bool was_unreached = kcp_reach_has_failed (reach);

  *reach = (struct kcp_reach){ .contact_ns = now_ns };
  return was_unreached;
}

/* Returns true if the last connection to the server failed. */
bool
kcp_reach_has_failed (const struct kcp_reach *reach)
{
  return reach->failed_ns != 0;
}

/* Adds a server's path to the sum. */
void
kcp_reach_sum_add (struct kcp_reach_sum *sum, const struct kcp_reach *reach)
{
  int64_t failed_ns = reach->failed_ns;

  sum->servers++;
  sum->unreached += kcp_reach_has_failed (reach);
  sum->contact_ns = MAX (sum->contact_ns, reach->contact_ns);
  for (unsigned i = 0; i < KCP_REACH_DOUBT_SERVERS; i++)
    if (failed_ns > sum->failures_ns[i])
      {
        int64_t older_ns = sum->failures_ns[i];

        sum->failures_ns[i] = failed_ns;
        failed_ns = older_ns;
      }
}

/* Returns the state of the paths. They are in doubt after several servers in a row were
   not reached: to try all of them would take long where there are many. */
enum kcp_paths
kcp_reach_paths (const struct kcp_reach_sum *sum)
{
  if (sum->servers > 0 && sum->unreached == sum->servers)
    return KCP_PATHS_NONE;
  if (sum->failures_ns[KCP_REACH_DOUBT_SERVERS - 1] > sum->contact_ns)
    return KCP_PATHS_DOUBT;
  return KCP_PATHS_SOUND;
}

/* Returns the name that the log uses for paths. */
const char *
kcp_paths_name (enum kcp_paths paths)
{
  switch (paths)
    {
    case KCP_PATHS_NONE:
      return "none";
    case KCP_PATHS_DOUBT:
      return "doubt";
    case KCP_PATHS_SOUND:
      break;
    }
  return "sound";
}
