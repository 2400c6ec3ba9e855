#include "request/suspects.h"

#include <glib.h>
#include <pthread.h>

#define ENTRIES_MAX 65536

struct kcp_suspects
{
  pthread_mutex_t lock;
  const struct kcp_clock *clock;
  struct kcp_quarantine *quarantine;
  struct kcp_suspects_sharing sharing; /* without functions: facts are not shared */
};

static void
publish (struct kcp_suspects *suspects, const struct kcp_quarantine_fact *fact);

/* Returns an empty table whose entries expire after keep_ns nanoseconds. clock must
   outlive it. */
struct kcp_suspects *
kcp_suspects_new (const struct kcp_clock *clock, int64_t keep_ns)
{
  struct kcp_suspects *suspects = g_new0 (struct kcp_suspects, 1);

  pthread_mutex_init (&suspects->lock, NULL);
  suspects->clock = clock;
  suspects->quarantine = kcp_quarantine_new (ENTRIES_MAX, keep_ns);
  return suspects;
}

/* Frees the table; NULL is allowed. */
void
kcp_suspects_free (struct kcp_suspects *suspects)
{
  if (suspects == NULL)
    return;
  kcp_quarantine_free (suspects->quarantine);
  pthread_mutex_destroy (&suspects->lock);
  g_free (suspects);
}

/* Sets how facts reach the other VMs. Must be called before the first request. */
void
kcp_suspects_share (struct kcp_suspects *suspects,
                    const struct kcp_suspects_sharing *sharing)
{
  suspects->sharing = *sharing;
}

/* Calls delivered, from another thread, once the other VMs know what this VM knows of the
   request, or do not answer. Returns false, and does not call it, if nothing is known of
   the request or if facts are not shared. */
bool
kcp_suspects_deliver (struct kcp_suspects *suspects, uint64_t fingerprint,
                      kcp_suspects_delivered *delivered, void *user)
{
  int64_t now = kcp_clock_monotonic_ns (suspects->clock);
  struct kcp_quarantine_fact fact;
  bool found;

  pthread_mutex_lock (&suspects->lock);
  found = kcp_quarantine_get_fact (suspects->quarantine, fingerprint, now, &fact);
  pthread_mutex_unlock (&suspects->lock);
  if (!found || suspects->sharing.deliver == NULL)
    return false;
  suspects->sharing.deliver (suspects->sharing.user, &fact, delivered, user);
  return true;
}

/* Returns the quarantine state of a request. */
enum kcp_quarantine_state
kcp_suspects_state (struct kcp_suspects *suspects, uint64_t fingerprint)
{
  enum kcp_quarantine_state state;

  pthread_mutex_lock (&suspects->lock);
  state = kcp_quarantine_state (suspects->quarantine, fingerprint,
                                kcp_clock_monotonic_ns (suspects->clock));
  pthread_mutex_unlock (&suspects->lock);
  return state;
}

/* Records that a request was in flight on an engine that crashed. incarnation is the
   hash of the engine's incarnation. */
void
kcp_suspects_add_crash (struct kcp_suspects *suspects, uint64_t fingerprint,
                        uint64_t incarnation)
{
  int64_t now = kcp_clock_monotonic_ns (suspects->clock);
  struct kcp_quarantine_fact fact;
  bool found;

  pthread_mutex_lock (&suspects->lock);
  kcp_quarantine_add_crash (suspects->quarantine, fingerprint, incarnation, now);
  found = kcp_quarantine_get_fact (suspects->quarantine, fingerprint, now, &fact);
  pthread_mutex_unlock (&suspects->lock);
  if (found)
    publish (suspects, &fact);
}

/* Clears the suspicion of a request that ran to completion. A request that is not a
   suspect costs a single look-up. */
void
kcp_suspects_add_completion (struct kcp_suspects *suspects, uint64_t fingerprint)
{
  int64_t now = kcp_clock_monotonic_ns (suspects->clock);
  struct kcp_quarantine_fact fact;
  bool found = false;

  pthread_mutex_lock (&suspects->lock);
  if (kcp_quarantine_state (suspects->quarantine, fingerprint, now)
      != KCP_QUARANTINE_NONE)
    {
      kcp_quarantine_add_completion (suspects->quarantine, fingerprint, now);
      found = kcp_quarantine_get_fact (suspects->quarantine, fingerprint, now, &fact);
    }
  pthread_mutex_unlock (&suspects->lock);
  if (found)
    publish (suspects, &fact);
}

/* Reserves a server for one suspect. Returns false if another suspect of this VM has
   reserved it. */
bool
kcp_suspects_reserve_server (struct kcp_suspects *suspects, uint64_t server)
{
  bool reserved;

  pthread_mutex_lock (&suspects->lock);
  reserved = kcp_quarantine_reserve_server (suspects->quarantine, server);
  pthread_mutex_unlock (&suspects->lock);
  return reserved;
}

/* Returns true if a suspect of this VM has reserved the server. */
bool
kcp_suspects_has_suspect (struct kcp_suspects *suspects, uint64_t server)
{
  bool has_suspect;

  pthread_mutex_lock (&suspects->lock);
  has_suspect = kcp_quarantine_has_suspect (suspects->quarantine, server);
  pthread_mutex_unlock (&suspects->lock);
  return has_suspect;
}

/* Releases a reservation. */
void
kcp_suspects_release_server (struct kcp_suspects *suspects, uint64_t server)
{
  pthread_mutex_lock (&suspects->lock);
  kcp_quarantine_release_server (suspects->quarantine, server);
  pthread_mutex_unlock (&suspects->lock);
}

/* Merges a fact that another VM sent. The combined fact may have a higher rank than the
   one received, because a request that is suspected after two different crashes is
   blocked. In this case, the combined fact is published. */
void
kcp_suspects_merge (struct kcp_suspects *suspects, const struct kcp_quarantine_fact *fact)
{
  int64_t now = kcp_clock_monotonic_ns (suspects->clock);
  struct kcp_quarantine_fact combined;
  bool found = false;

  pthread_mutex_lock (&suspects->lock);
  if (kcp_quarantine_merge (suspects->quarantine, fact, now))
    found = kcp_quarantine_get_fact (suspects->quarantine, fact->fingerprint, now,
                                     &combined);
  pthread_mutex_unlock (&suspects->lock);
  if (found && combined.rank > fact->rank)
    publish (suspects, &combined);
}

static void
publish (struct kcp_suspects *suspects, const struct kcp_quarantine_fact *fact)
{
  if (suspects->sharing.publish != NULL)
    suspects->sharing.publish (suspects->sharing.user, fact);
}
