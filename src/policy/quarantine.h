/* Table of the requests, or of the parts of prompts, that were in flight on servers when
   these crashed. A request is a suspect after one crash and blocked after as many as the
   table's rule requires. What is said here of a request and its copies holds likewise for
   a part and the requests that hold it.

   Load pattern: one request crashes every server that runs it, and its caller sends
   copies of it through any VM; meanwhile many servers may crash by chance at the same
   moment, with copies of popular requests in flight at several of them. A part that
   crashes servers has others beside it in each request, which are in flight at the same
   crashes; they are told apart by answers to other requests that hold them.

   The caller passes the times in. Not thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_QUARANTINE_H
#define KCP_POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

#define KCP_QUARANTINE_CRASHES_MAX 6u /* incarnations kept for a request */

/* The conditions under which a request is blocked. */
struct kcp_quarantine_rule
{
  unsigned crashes; /* different incarnations that crashed; at most the maximum above */
  /* Incidents that these have to make, each of which begins with the crash of a copy that
     was sent after the one before had begun; 0 and 1: any. Servers that crash together
     with copies of a popular request in flight, or with a copy that was just resent, are
     one incident. */
  unsigned incidents;
  unsigned incidents_if_answered; /* the same for a request that was answered before */
  /* Answers with an error, one after the other without a crash, that clear a suspect; 0:
     none do. A server may answer with an error before it runs the request, so a single
     one does not show that the request is sound. */
  unsigned errors_to_clear;
  /* An incident begins if the copy was sent at least this long after the first crash of
     the one before. */
  int64_t incident_ns;
};

enum kcp_quarantine_state
{
  KCP_QUARANTINE_NONE,
  KCP_QUARANTINE_SUSPECT,
  KCP_QUARANTINE_BLOCKED
};

/* State of one request as exchanged between VMs. The higher rank takes precedence.
   Clearing a suspect raises the rank, so a cleared state overrides repeats of the older
   suspicion. A blocked request has the highest rank. */
struct kcp_quarantine_fact
{
  uint64_t fingerprint;
  /* Hashes of the incarnations that crashed; unused ones are 0. */
  uint64_t crashes[KCP_QUARANTINE_CRASHES_MAX];
  uint32_t rank;            /* see kcp_quarantine_rank_state() */
  uint32_t incidents;       /* see struct kcp_quarantine_rule */
  uint32_t incident_age_ms; /* time since the first crash of the latest incident */
  uint32_t remaining_ms;    /* time until expiry; decreases as the fact is forwarded */
};

/* A crash with a copy of a request in flight. */
struct kcp_quarantine_crash
{
  uint64_t fingerprint;
  uint64_t incarnation; /* hash, equal on all VMs, so that one crash counts once */
  int64_t sent_ns;      /* when the copy was sent to it */
  int64_t ended_ns;     /* when the copy's attempt ended */
  bool answered_before; /* a server has answered the request some time before */
};

struct kcp_quarantine;

typedef void kcp_quarantine_visitor (void *user, const struct kcp_quarantine_fact *fact);

uint64_t kcp_quarantine_fingerprint (struct kcp_str team, struct kcp_str body);
struct kcp_quarantine *kcp_quarantine_new (size_t capacity, int64_t keep_ns);
struct kcp_quarantine *
kcp_quarantine_new_with_rule (size_t capacity, int64_t keep_ns,
                              const struct kcp_quarantine_rule *rule);
void kcp_quarantine_free (struct kcp_quarantine *quarantine);
enum kcp_quarantine_state kcp_quarantine_rank_state (uint32_t rank);
unsigned kcp_quarantine_fact_crashes (const struct kcp_quarantine_fact *fact);
enum kcp_quarantine_state kcp_quarantine_state (struct kcp_quarantine *quarantine,
                                                uint64_t fingerprint, int64_t now_ns);
void kcp_quarantine_add_crash (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               uint64_t crash, int64_t now_ns);
enum kcp_quarantine_state
kcp_quarantine_add_crash_of_copy (struct kcp_quarantine *quarantine,
                                  const struct kcp_quarantine_crash *crash,
                                  int64_t now_ns);
void kcp_quarantine_add_completion (struct kcp_quarantine *quarantine,
                                    uint64_t fingerprint, int64_t now_ns);
bool kcp_quarantine_add_error (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               int64_t now_ns);
bool kcp_quarantine_reserve_server (struct kcp_quarantine *quarantine, uint64_t server);
bool
kcp_quarantine_has_suspect (const struct kcp_quarantine *quarantine, uint64_t server);
void kcp_quarantine_release_server (struct kcp_quarantine *quarantine, uint64_t server);
bool kcp_quarantine_is_responsible (uint64_t server, const uint64_t *vms, size_t count,
                                    size_t own);
bool kcp_quarantine_must_wait (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               int64_t now_ns);
struct kcp_quarantine_fact
kcp_quarantine_blocked_fact (uint64_t fingerprint, int64_t remaining_ms);
bool kcp_quarantine_merge (struct kcp_quarantine *quarantine,
                           const struct kcp_quarantine_fact *fact, int64_t now_ns);
void kcp_quarantine_visit (struct kcp_quarantine *quarantine, int64_t now_ns,
                           kcp_quarantine_visitor *visitor, void *user);
bool kcp_quarantine_get_fact (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                              int64_t now_ns, struct kcp_quarantine_fact *out);
size_t kcp_quarantine_count (const struct kcp_quarantine *quarantine);

#endif
