#include "forward/crash_suspects.h"

#include "base/decision_log.h"
#include "forward/blocked_store.h"
#include "forward/mesh.h"
#include "policy/fingerprint.h"

#define ENTRIES_MAX 4096u
#define KEEP_NS     (600 * KCP_NS_PER_S) /* time until a request is no longer blocked */
/* A copy that is sent earlier than this after the first crash belongs to its incident. */
#define INCIDENT_NS (200 * KCP_NS_PER_MS)

static const struct kcp_quarantine_rule rule
    = { .crashes = 3, .incident_ns = INCIDENT_NS };

static enum kcp_quarantine_state
state_of (struct kcp_gateway *gateway, uint64_t fingerprint);
static void
avoid_servers (struct kcp_gateway *gateway, const struct kcp_quarantine_fact *fact);
static void store_if_blocked (struct kcp_gateway *gateway, uint64_t fingerprint);
static void
log_suspect (struct kcp_gateway *gateway, uint64_t fingerprint, const char *source);

/* Returns an empty table of suspects; free it with kcp_quarantine_free(). */
struct kcp_quarantine *
kcp_crash_suspects_new (void)
{
  return kcp_quarantine_new_with_rule (ENTRIES_MAX, KEEP_NS, &rule);
}

/* Records a crash that this VM found, and announces it to the other VMs. */
void
kcp_crash_suspects_add (struct kcp_gateway *gateway, const struct kcp_crash *crash)
{
  (void)kcp_quarantine_add_crash_of_copy (
      gateway->quarantine,
      &(struct kcp_quarantine_crash){
          .fingerprint = crash->fingerprint,
          .incarnation = kcp_server_key (crash->server),
          .sent_ns = crash->sent_ns,
          .ended_ns = crash->ended_ns,
      },
      kcp_loop_now (gateway->loop));
  log_suspect (gateway, crash->fingerprint, crash->server->entry.id);
  kcp_mesh_announce_suspect (gateway->mesh, crash->fingerprint);
  store_if_blocked (gateway, crash->fingerprint);
}

/* Merges what another VM knows of a request. The combination may block the request though
   neither VM did; then it is announced. */
void
kcp_crash_suspects_merge (struct kcp_gateway *gateway,
                          const struct kcp_quarantine_fact *fact)
{
  if (!kcp_quarantine_merge (gateway->quarantine, fact, kcp_loop_now (gateway->loop)))
    return;
  log_suspect (gateway, fact->fingerprint, "another VM");
  avoid_servers (gateway, fact);
  if (state_of (gateway, fact->fingerprint) != KCP_QUARANTINE_BLOCKED
      || kcp_quarantine_rank_state (fact->rank) == KCP_QUARANTINE_BLOCKED)
    return;
  kcp_mesh_announce_suspect (gateway->mesh, fact->fingerprint);
  if (kcp_mesh_is_leader (gateway->mesh))
    store_if_blocked (gateway, fact->fingerprint);
}

/* Makes servers that another VM found to have crashed the last choice until the list
   shows it, unless this VM has noticed already. */
static void
avoid_servers (struct kcp_gateway *gateway, const struct kcp_quarantine_fact *fact)
{
  for (unsigned i = 0; i < KCP_QUARANTINE_CRASHES_MAX; i++)
    {
      struct kcp_server *server
          = kcp_servers_find_by_key (gateway->servers, fact->crashes[i]);

      if (server != NULL && server->failures == 0)
        kcp_server_record_failure (server, kcp_loop_now (gateway->loop));
    }
}

/* Blocks a request that the platform's store has as blocked. */
void
kcp_crash_suspects_restore (struct kcp_gateway *gateway, uint64_t fingerprint,
                            int64_t remaining_ms)
{
  struct kcp_quarantine_fact fact = kcp_quarantine_blocked_fact (
      fingerprint, MIN (remaining_ms, KEEP_NS / KCP_NS_PER_MS));

  if (kcp_quarantine_merge (gateway->quarantine, &fact, kcp_loop_now (gateway->loop)))
    log_suspect (gateway, fingerprint, "store");
}

/* Has a blocked request kept in the platform's store. */
static void
store_if_blocked (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  struct kcp_quarantine_fact fact;

  if (kcp_quarantine_get_fact (gateway->quarantine, fingerprint,
                               kcp_loop_now (gateway->loop), &fact)
      && kcp_quarantine_rank_state (fact.rank) == KCP_QUARANTINE_BLOCKED)
    kcp_blocked_store_add (gateway->blocked_store, fingerprint, fact.remaining_ms);
}

/* Records that a server answered the request, which clears it unless it is blocked. */
void
kcp_crash_suspects_clear (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  if (kcp_quarantine_count (gateway->quarantine) == 0
      || state_of (gateway, fingerprint) != KCP_QUARANTINE_SUSPECT)
    return;
  kcp_quarantine_add_completion (gateway->quarantine, fingerprint,
                                 kcp_loop_now (gateway->loop));
  log_suspect (gateway, fingerprint, "answered");
  kcp_mesh_announce_suspect (gateway->mesh, fingerprint);
}

/* Returns true if copies of the request were in flight at servers that crashed, and no
   server has answered one since. */
bool
kcp_crash_suspects_is_suspect (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  return kcp_quarantine_count (gateway->quarantine) > 0
         && state_of (gateway, fingerprint) != KCP_QUARANTINE_NONE;
}

/* Returns true if the request is blocked, and stores when the block ends. */
bool
kcp_crash_suspects_is_blocked (struct kcp_gateway *gateway, uint64_t fingerprint,
                               int64_t *until_ns)
{
  int64_t now = kcp_loop_now (gateway->loop);
  struct kcp_quarantine_fact fact;

  if (kcp_quarantine_count (gateway->quarantine) == 0
      || !kcp_quarantine_get_fact (gateway->quarantine, fingerprint, now, &fact)
      || kcp_quarantine_rank_state (fact.rank) != KCP_QUARANTINE_BLOCKED)
    return false;
  *until_ns = now + fact.remaining_ms * KCP_NS_PER_MS;
  return true;
}

static enum kcp_quarantine_state
state_of (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  return kcp_quarantine_state (gateway->quarantine, fingerprint,
                               kcp_loop_now (gateway->loop));
}

/* Logs the new state of a request. source is the server that crashed, or what else
   changed the state. */
static void
log_suspect (struct kcp_gateway *gateway, uint64_t fingerprint, const char *source)
{
  static const char *const names[] = {
    [KCP_QUARANTINE_NONE] = "cleared",
    [KCP_QUARANTINE_SUSPECT] = "suspect",
    [KCP_QUARANTINE_BLOCKED] = "blocked",
  };
  char text[KCP_FINGERPRINT_TEXT_SIZE];
  struct kcp_quarantine_fact fact;

  if (kcp_quarantine_get_fact (gateway->quarantine, fingerprint,
                               kcp_loop_now (gateway->loop), &fact))
    KCP_LOG (
        "suspect", KCP_LOG_TEXT ("fingerprint", kcp_fingerprint_text (fingerprint, text)),
        KCP_LOG_TEXT ("state", names[kcp_quarantine_rank_state (fact.rank)]),
        KCP_LOG_INT ("crashes", kcp_quarantine_rank_crashes (fact.rank)),
        KCP_LOG_INT ("several_incidents", fact.several_incidents),
        KCP_LOG_INT ("first_age_ms", fact.first_age_ms), KCP_LOG_TEXT ("source", source));
}
