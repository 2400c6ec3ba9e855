#include "forward/crash_suspects.h"

#include "base/decision_log.h"
#include "forward/blocked_store.h"
#include "forward/mesh.h"
#include "forward/suspect_store.h"
#include "policy/fingerprint.h"

#define ENTRIES_MAX 4096u
#define KEEP_NS     (600 * KCP_NS_PER_S) /* time until a request is no longer blocked */
/* A copy that is sent earlier than this after the first crash belongs to its incident. */
#define INCIDENT_NS (200 * KCP_NS_PER_MS)
/* Incidents after which a request with the part is not resent. */
#define PART_INCIDENTS_SUSPECT 2u

/* The parts of a prompt are in flight together, so that a sound one is blamed with the
   one that crashes servers; each incident gives answers to others the time to clear it.
 */
static const struct kcp_quarantine_rule rules[KCP_SUSPECT_KINDS] = {
  [KCP_SUSPECT_REQUEST] = { .crashes = 3,
                            .incidents = 2,
                            .incidents_if_answered = 2,
                            .errors_to_clear = 8,
                            .incident_ns = INCIDENT_NS },
  [KCP_SUSPECT_PART] = { .crashes = 4,
                         .incidents = 4,
                         .incidents_if_answered = 6,
                         .incident_ns = INCIDENT_NS },
};

static void add_crash (struct kcp_gateway *gateway, struct kcp_suspect suspect,
                       const struct kcp_crash *crash);
static void clear (struct kcp_gateway *gateway, struct kcp_suspect suspect);
static void announce_cleared (struct kcp_gateway *gateway, struct kcp_suspect suspect);
static struct kcp_suspect part_suspect (const GArray *parts, guint i);
static bool get_fact (struct kcp_gateway *gateway, struct kcp_suspect suspect,
                      struct kcp_quarantine_fact *fact);
static bool has_state (struct kcp_gateway *gateway, struct kcp_suspect suspect,
                       enum kcp_quarantine_state state);
static bool is_recurrent_part (struct kcp_gateway *gateway, struct kcp_suspect suspect);
static void
avoid_servers (struct kcp_gateway *gateway, const struct kcp_quarantine_fact *fact);
static void store_if_blocked (struct kcp_gateway *gateway, struct kcp_suspect suspect);
static void
log_suspect (struct kcp_gateway *gateway, struct kcp_suspect suspect, const char *source);

/* Returns an empty table of suspects of a kind; free it with kcp_quarantine_free(). */
struct kcp_quarantine *
kcp_crash_suspects_new (enum kcp_suspect_kind kind)
{
  return kcp_quarantine_new_with_rule (ENTRIES_MAX, KEEP_NS, &rules[kind]);
}

/* Records a crash that this VM found, and announces it to the other VMs. */
void
kcp_crash_suspects_add (struct kcp_gateway *gateway, const struct kcp_crash *crash)
{
  const GArray *parts = crash->causes.parts;

  for (guint i = 0; parts != NULL && i < parts->len; i++)
    add_crash (gateway, part_suspect (parts, i), crash);
  add_crash (gateway,
             (struct kcp_suspect){ .kind = KCP_SUSPECT_REQUEST,
                                   .fingerprint = crash->causes.fingerprint },
             crash);
}

static void
add_crash (struct kcp_gateway *gateway, struct kcp_suspect suspect,
           const struct kcp_crash *crash)
{
  bool answered_before
      = suspect.kind == KCP_SUSPECT_PART
        && kcp_answered_parts_contains (gateway->answered_parts, suspect.fingerprint);

  (void)kcp_quarantine_add_crash_of_copy (
      gateway->quarantines[suspect.kind],
      &(struct kcp_quarantine_crash){
          .fingerprint = suspect.fingerprint,
          .incarnation = kcp_server_key (crash->server),
          .sent_ns = crash->sent_ns,
          .ended_ns = crash->ended_ns,
          .answered_before = answered_before,
      },
      kcp_loop_now (gateway->loop));
  log_suspect (gateway, suspect, crash->server->entry.id);
  kcp_mesh_announce_suspect (gateway->mesh, suspect);
  if (!answered_before)
    kcp_suspect_store_add_crash (gateway->suspect_store, suspect);
  store_if_blocked (gateway, suspect);
}

static struct kcp_suspect
part_suspect (const GArray *parts, guint i)
{
  return (struct kcp_suspect){ .kind = KCP_SUSPECT_PART,
                               .fingerprint = g_array_index (parts, uint64_t, i) };
}

/* Merges what another VM knows of a suspect. The combination may block it though neither
   VM did; then it is announced. */
void
kcp_crash_suspects_merge (struct kcp_gateway *gateway, enum kcp_suspect_kind kind,
                          const struct kcp_quarantine_fact *fact)
{
  struct kcp_suspect suspect = { .kind = kind, .fingerprint = fact->fingerprint };

  if (!kcp_quarantine_merge (gateway->quarantines[kind], fact,
                             kcp_loop_now (gateway->loop)))
    return;
  log_suspect (gateway, suspect, "another VM");
  avoid_servers (gateway, fact);
  if (!has_state (gateway, suspect, KCP_QUARANTINE_BLOCKED)
      || kcp_quarantine_rank_state (fact->rank) == KCP_QUARANTINE_BLOCKED)
    return;
  kcp_mesh_announce_suspect (gateway->mesh, suspect);
  if (kcp_mesh_is_leader (gateway->mesh))
    store_if_blocked (gateway, suspect);
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

/* Blocks what the platform's store has as blocked. */
void
kcp_crash_suspects_restore (struct kcp_gateway *gateway, struct kcp_suspect suspect,
                            int64_t remaining_ms)
{
  struct kcp_quarantine_fact fact = kcp_quarantine_blocked_fact (
      suspect.fingerprint, MIN (remaining_ms, KEEP_NS / KCP_NS_PER_MS));

  if (kcp_quarantine_merge (gateway->quarantines[suspect.kind], &fact,
                            kcp_loop_now (gateway->loop)))
    log_suspect (gateway, suspect, "store");
}

/* Merges what the platform's store has of a suspect, as a VM wrote it that may have ended
   since. What this blocks is kept as blocked. */
void
kcp_crash_suspects_restore_fact (struct kcp_gateway *gateway, enum kcp_suspect_kind kind,
                                 const struct kcp_quarantine_fact *fact)
{
  struct kcp_suspect suspect = { .kind = kind, .fingerprint = fact->fingerprint };

  if (!kcp_quarantine_merge (gateway->quarantines[kind], fact,
                             kcp_loop_now (gateway->loop)))
    return;
  log_suspect (gateway, suspect, "store");
  store_if_blocked (gateway, suspect);
}

/* Has a blocked suspect kept in the platform's store. */
static void
store_if_blocked (struct kcp_gateway *gateway, struct kcp_suspect suspect)
{
  struct kcp_quarantine_fact fact;

  if (get_fact (gateway, suspect, &fact)
      && kcp_quarantine_rank_state (fact.rank) == KCP_QUARANTINE_BLOCKED)
    kcp_blocked_store_add (gateway->blocked_store, suspect, fact.remaining_ms);
}

/* Records that a server answered the request with success, which clears it unless it is
   blocked. */
void
kcp_crash_suspects_clear_request (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  struct kcp_suspect suspect
      = { .kind = KCP_SUSPECT_REQUEST, .fingerprint = fingerprint };

  clear (gateway, suspect);
}

/* Records that a server answered the request with an error. */
void
kcp_crash_suspects_add_error (struct kcp_gateway *gateway, uint64_t fingerprint)
{
  struct kcp_suspect suspect
      = { .kind = KCP_SUSPECT_REQUEST, .fingerprint = fingerprint };

  if (kcp_quarantine_add_error (gateway->quarantines[KCP_SUSPECT_REQUEST], fingerprint,
                                kcp_loop_now (gateway->loop)))
    announce_cleared (gateway, suspect);
}

/* Records that a server wrote an answer to a request with these parts, which clears those
   that are not blocked. */
void
kcp_crash_suspects_clear_parts (struct kcp_gateway *gateway, const GArray *parts)
{
  for (guint i = 0; i < parts->len; i++)
    {
      struct kcp_suspect suspect = part_suspect (parts, i);

      kcp_answered_parts_add (gateway->answered_parts, suspect.fingerprint);
      clear (gateway, suspect);
    }
}

static void
clear (struct kcp_gateway *gateway, struct kcp_suspect suspect)
{
  struct kcp_quarantine *quarantine = gateway->quarantines[suspect.kind];

  if (kcp_quarantine_count (quarantine) == 0
      || !has_state (gateway, suspect, KCP_QUARANTINE_SUSPECT))
    return;
  kcp_quarantine_add_completion (quarantine, suspect.fingerprint,
                                 kcp_loop_now (gateway->loop));
  announce_cleared (gateway, suspect);
}

static void
announce_cleared (struct kcp_gateway *gateway, struct kcp_suspect suspect)
{
  log_suspect (gateway, suspect, "answered");
  kcp_mesh_announce_suspect (gateway->mesh, suspect);
  kcp_suspect_store_add_cleared (gateway->suspect_store, suspect);
}

/* Returns true if copies of the request, or several requests one after the other with one
   of its parts, were in flight at servers that crashed, and no server has answered one
   since. Most requests share parts with others, so one crash does not make a part
   suspect. */
bool
kcp_crash_suspects_is_suspect (struct kcp_gateway *gateway,
                               const struct kcp_crash_causes *causes)
{
  struct kcp_suspect request
      = { .kind = KCP_SUSPECT_REQUEST, .fingerprint = causes->fingerprint };

  if (kcp_quarantine_count (gateway->quarantines[KCP_SUSPECT_REQUEST]) > 0
      && !has_state (gateway, request, KCP_QUARANTINE_NONE))
    return true;
  if (kcp_quarantine_count (gateway->quarantines[KCP_SUSPECT_PART]) == 0)
    return false;
  for (guint i = 0; i < causes->parts->len; i++)
    if (is_recurrent_part (gateway, part_suspect (causes->parts, i)))
      return true;
  return false;
}

static bool
is_recurrent_part (struct kcp_gateway *gateway, struct kcp_suspect suspect)
{
  struct kcp_quarantine_fact fact;

  return get_fact (gateway, suspect, &fact)
         && kcp_quarantine_rank_state (fact.rank) != KCP_QUARANTINE_NONE
         && fact.incidents >= PART_INCIDENTS_SUSPECT;
}

/* Returns true if the request or one of its parts is blocked, and stores which and when
   the block ends. */
bool
kcp_crash_suspects_find_blocked (struct kcp_gateway *gateway,
                                 const struct kcp_crash_causes *causes,
                                 struct kcp_suspect *blocked, int64_t *until_ns)
{
  struct kcp_quarantine_fact fact;
  bool found = false;

  *blocked = (struct kcp_suspect){ .kind = KCP_SUSPECT_REQUEST,
                                   .fingerprint = causes->fingerprint };
  if (kcp_quarantine_count (gateway->quarantines[KCP_SUSPECT_REQUEST]) > 0)
    found = has_state (gateway, *blocked, KCP_QUARANTINE_BLOCKED);
  if (kcp_quarantine_count (gateway->quarantines[KCP_SUSPECT_PART]) > 0)
    for (guint i = 0; i < causes->parts->len && !found; i++)
      {
        *blocked = part_suspect (causes->parts, i);
        found = has_state (gateway, *blocked, KCP_QUARANTINE_BLOCKED);
      }
  if (!found || !get_fact (gateway, *blocked, &fact))
    return false;
  *until_ns = kcp_loop_now (gateway->loop) + fact.remaining_ms * KCP_NS_PER_MS;
  return true;
}

static bool
get_fact (struct kcp_gateway *gateway, struct kcp_suspect suspect,
          struct kcp_quarantine_fact *fact)
{
  return kcp_quarantine_get_fact (gateway->quarantines[suspect.kind], suspect.fingerprint,
                                  kcp_loop_now (gateway->loop), fact);
}

static bool
has_state (struct kcp_gateway *gateway, struct kcp_suspect suspect,
           enum kcp_quarantine_state state)
{
  return kcp_quarantine_state (gateway->quarantines[suspect.kind], suspect.fingerprint,
                               kcp_loop_now (gateway->loop))
         == state;
}

/* Logs the new state of a suspect. source is the server that crashed, or what else
   changed the state. */
static void
log_suspect (struct kcp_gateway *gateway, struct kcp_suspect suspect, const char *source)
{
  static const char *const states[] = {
    [KCP_QUARANTINE_NONE] = "cleared",
    [KCP_QUARANTINE_SUSPECT] = "suspect",
    [KCP_QUARANTINE_BLOCKED] = "blocked",
  };
  char text[KCP_FINGERPRINT_TEXT_SIZE];
  struct kcp_quarantine_fact fact;

  if (get_fact (gateway, suspect, &fact))
    KCP_LOG (
        "suspect", KCP_LOG_TEXT ("kind", kcp_suspect_kind_name (suspect.kind)),
        KCP_LOG_TEXT ("fingerprint", kcp_fingerprint_text (suspect.fingerprint, text)),
        KCP_LOG_TEXT ("state", states[kcp_quarantine_rank_state (fact.rank)]),
        KCP_LOG_INT ("crashes", kcp_quarantine_fact_crashes (&fact)),
        KCP_LOG_INT ("incidents", fact.incidents),
        KCP_LOG_INT ("incident_age_ms", fact.incident_age_ms),
        KCP_LOG_TEXT ("source", source));
}
