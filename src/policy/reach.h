/* What a VM knows of its own paths to the backend servers. A path can fail while its
   server works and other VMs reach it, so three facts are kept apart: a server that this
   VM does not reach, a service of which it reaches none, and a service of which it does
   not know. The results depend on the arguments alone. */
#ifndef KCP_POLICY_REACH_H
#define KCP_POLICY_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Servers in a row that were not reached, after which the paths are in doubt. */
#define KCP_REACH_DOUBT_SERVERS 3u

/* The path to one server. */
struct kcp_reach
{
  int64_t contact_ns;     /* when the server was last reached; 0: never */
  int64_t failed_ns;      /* when a connection last failed; 0: not since then */
  int64_t probe_after_ns; /* the path is not probed before */
  unsigned failures;      /* in a row */
};

/* The paths to the servers of a service. */
enum kcp_paths
{
  KCP_PATHS_SOUND, /* some servers are reached, or none was tried */
  KCP_PATHS_DOUBT, /* the last servers that were tried were not reached */
  KCP_PATHS_NONE   /* no server is reached */
};

/* Adds up the paths to a service's servers. Initialized with zeros. */
struct kcp_reach_sum
{
  unsigned servers;
  unsigned unreached;
  int64_t contact_ns;                           /* newest */
  int64_t failures_ns[KCP_REACH_DOUBT_SERVERS]; /* of the newest failures, newest first */
};

void kcp_reach_record_failure (struct kcp_reach *reach, int64_t now_ns);
bool kcp_reach_record_contact (struct kcp_reach *reach, int64_t now_ns);
bool kcp_reach_has_failed (const struct kcp_reach *reach);
void kcp_reach_sum_add (struct kcp_reach_sum *sum, const struct kcp_reach *reach);
enum kcp_paths kcp_reach_paths (const struct kcp_reach_sum *sum);
const char *kcp_paths_name (enum kcp_paths paths);

#endif
