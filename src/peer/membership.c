#include "peer/membership.h"

#include <string.h>

#include "base/clock.h"
#include "peer/membership_private.h"

#define GOSSIP_ROUNDS_PER_INTERVAL 5
#define GOSSIP_FANOUT              2  /* VMs per gossip round */
#define SYNC_INTERVALS             20 /* probe intervals between synchronizations */
#define PAUSE_INTERVALS            2  /* maximum probe intervals between ticks */
#define SUSPICION_INTERVALS        4 /* probe intervals in the minimum suspicion timeout */
#define DEAD_RETENTION_NS          (3600 * KCP_NS_PER_S)
#define URGENT_FANOUT              4 /* VMs */

static void check_pause (struct kcp_membership *membership, struct kcp_peer_time now);
static void check_members (struct kcp_membership *membership, struct kcp_peer_time now);
static void send_gossip (struct kcp_membership *membership, unsigned fanout);
static void sync_tables (struct kcp_membership *membership, struct kcp_peer_time now);
static void refute_fact (struct kcp_membership *membership, struct kcp_peer_time now,
                         const struct kcp_fact *fact);
static void supersede_config (struct kcp_membership *membership, struct kcp_peer_time now,
                              const struct kcp_fact *fact);
static void on_vm_fact (struct kcp_membership *membership, struct kcp_peer_time now,
                        const struct kcp_fact *fact, bool was_dead);
static int64_t suspicion_ns (const struct kcp_membership *membership);
static void remove_member (struct kcp_membership *membership, struct member *member);

/* Creates the membership of this VM, with no other member. */
struct kcp_membership *
kcp_membership_new (const struct kcp_membership_spec *spec, struct kcp_peer_time now)
{
  struct kcp_membership *membership = g_new0 (struct kcp_membership, 1);

  *membership = (struct kcp_membership){
    .endpoint = spec->endpoint,
    .incarnation = spec->incarnation,
    .first_incarnation = spec->incarnation,
    .config_confirmed_ns = -1,
    .probe_interval_ns = spec->probe_interval_ns,
    .events = spec->events,
    .facts = kcp_facts_new (),
    .members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
    .probe_order = g_ptr_array_new_with_free_func (g_free),
    .next_number = 1,
    .view_is_current = true,
    .last_tick_ns = now.monotonic_ns,
    .next_probe_ns = now.monotonic_ns,
    .next_gossip_ns = now.monotonic_ns,
    .next_sync_ns = now.monotonic_ns,
  };
  g_strlcpy (membership->id, spec->id, sizeof membership->id);
  kcp_membership_announce_self (membership, now);
  return membership;
}

/* Frees the membership; NULL is allowed. */
void
kcp_membership_free (struct kcp_membership *membership)
{
  if (membership == NULL)
    return;
  g_ptr_array_unref (membership->probe_order);
  g_hash_table_unref (membership->members);
  kcp_facts_free (membership->facts);
  g_free (membership);
}

/* Runs the timers. The caller must call this several times in each probe interval. */
void
kcp_membership_tick (struct kcp_membership *membership, struct kcp_peer_time now)
{
  check_pause (membership, now);
  check_members (membership, now);
  kcp_membership_probe_tick (membership, now);
  if (now.monotonic_ns >= membership->next_gossip_ns)
    {
      membership->next_gossip_ns
          = now.monotonic_ns + membership->probe_interval_ns / GOSSIP_ROUNDS_PER_INTERVAL;
      if (kcp_facts_has_pending (membership->facts))
        send_gossip (membership, GOSSIP_FANOUT);
    }
  if (now.monotonic_ns >= membership->next_sync_ns)
    sync_tables (membership, now);
  membership->last_tick_ns = now.monotonic_ns;
}

/* Adds a VM from the platform's VM list. It is probed even if no other VM has announced
   it. */
void
kcp_membership_add_seed (struct kcp_membership *membership, const char *id,
                         const struct kcp_vm_endpoint *endpoint)
{
  struct member *member;

  if (strcmp (id, membership->id) == 0)
    return;
  member = kcp_membership_ensure_member (membership, id);
  if (!member->is_seed && !kcp_facts_get (membership->facts, KCP_FACT_VM, id))
    g_ptr_array_add (membership->probe_order, g_strdup (id));
  member->is_seed = true;
  member->endpoint = *endpoint;
}

/* Clears the set of VMs from the platform's VM list before a newer list is added. Members
   learned from other VMs stay. */
void
kcp_membership_clear_seeds (struct kcp_membership *membership)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, membership->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct member *)value)->is_seed = false;
}

/* Announces to other VMs that this VM is leaving. */
void
kcp_membership_leave (struct kcp_membership *membership, struct kcp_peer_time now)
{
  membership->own_state = KCP_VM_LEAVING;
  kcp_membership_announce_self (membership, now);
  send_gossip (membership, URGENT_FANOUT);
}

/* Merges a fact, whether made by this VM or received, and reports the change. Returns
   true if the fact was greater than the existing one. Quarantine facts are sent to all
   VMs of the data center immediately, because a request that crashes engines can crash
   another one before the next probe. */
bool
kcp_membership_publish (struct kcp_membership *membership, struct kcp_peer_time now,
                        const struct kcp_fact *fact)
{
  if (!kcp_facts_merge (membership->facts, fact, now.realtime_ms))
    return false;
  membership->events.changed (membership->events.user, fact);
  if (fact->kind == KCP_FACT_QUARANTINE)
    kcp_membership_send_to_data_center (membership, fact);
  return true;
}

/* Sets the configuration that this VM announces. age_ns is the time since it was last
   known to be the newest one, or -1 if it never was. */
void
kcp_membership_set_config (struct kcp_membership *membership, struct kcp_peer_time now,
                           const struct kcp_config_summary *summary, int64_t age_ns)
{
  bool same = membership->config_number != 0
              && membership->config.version == summary->version
              && membership->config.digest == summary->digest
              && membership->config.loaded == summary->loaded;

  membership->config = *summary;
  membership->config_confirmed_ns = age_ns < 0 ? -1 : now.monotonic_ns - age_ns;
  if (same)
    return;
  membership->config_number
      = MAX (membership->config_number + 1, membership->first_incarnation);
  kcp_membership_announce_config (membership, now);
}

/* Returns the member with an id, which is added if there is none. */
struct member *
kcp_membership_ensure_member (struct kcp_membership *membership, const char *id)
{
  struct member *member = g_hash_table_lookup (membership->members, id);

  if (member != NULL)
    return member;
  member = g_new0 (struct member, 1);
  g_strlcpy (member->id, id, sizeof member->id);
  g_hash_table_insert (membership->members, member->id, member);
  return member;
}

/* Merges a fact. A fact about this VM that overrides its own is not merged but
   superseded by a new one. */
void
kcp_membership_merge_fact (struct kcp_membership *membership, struct kcp_peer_time now,
                           const struct kcp_fact *fact)
{
  const struct kcp_fact *held = kcp_facts_get (membership->facts, fact->kind, fact->id);
  bool was_dead = held != NULL && fact->kind == KCP_FACT_VM && held->state == KCP_VM_DEAD;
  bool is_own = strcmp (fact->id, membership->id) == 0;

  if (fact->kind == KCP_FACT_VM && is_own)
    {
      refute_fact (membership, now, fact);
      return;
    }
  if (fact->kind == KCP_FACT_CONFIG && is_own)
    {
      supersede_config (membership, now, fact);
      return;
    }
  if (!kcp_membership_publish (membership, now, fact))
    return;
  if (fact->kind == KCP_FACT_VM)
    on_vm_fact (membership, now, fact, was_dead);
}

/* Publishes this VM's own fact. */
void
kcp_membership_announce_self (struct kcp_membership *membership, struct kcp_peer_time now)
{
  struct kcp_fact fact = {
    .kind = KCP_FACT_VM,
    .number = membership->incarnation,
    .state = membership->own_state,
    .content.vm = membership->endpoint,
  };

  g_strlcpy (fact.id, membership->id, sizeof fact.id);
  (void)kcp_membership_publish (membership, now, &fact);
}

/* Schedules a table synchronization with a VM, at most one in a probe interval. The time
   is random, so that VMs that detect the same difference do not all send together. */
void
kcp_membership_schedule_sync (struct kcp_membership *membership, struct kcp_peer_time now,
                              const char *id)
{
  uint64_t random = membership->events.random (membership->events.user);
  int64_t earliest
      = MAX (now.monotonic_ns, membership->last_sync_ns + membership->probe_interval_ns);
  int64_t at_ns = earliest + (int64_t)(random % (uint64_t)membership->probe_interval_ns);

  if (at_ns >= membership->next_sync_ns)
    return;
  membership->next_sync_ns = at_ns;
  g_strlcpy (membership->sync_target, id, sizeof membership->sync_target);
}

/* Publishes this VM's own configuration fact. */
void
kcp_membership_announce_config (struct kcp_membership *membership,
                                struct kcp_peer_time now)
{
  struct kcp_fact fact = {
    .kind = KCP_FACT_CONFIG,
    .number = membership->config_number,
    .content.config = membership->config,
  };

  g_strlcpy (fact.id, membership->id, sizeof fact.id);
  (void)kcp_membership_publish (membership, now, &fact);
}

/* Detects that this process did not run for a while. Other VMs may have suspected this VM
   meanwhile, and its view of them is stale. It therefore announces a new incarnation,
   discards the outstanding probe and restarts the suspicion timeout of every suspect. */
static void
check_pause (struct kcp_membership *membership, struct kcp_peer_time now)
{
  int64_t pause_ns = now.monotonic_ns - membership->last_tick_ns;
  GHashTableIter iter;
  gpointer value;

  if (pause_ns <= PAUSE_INTERVALS * membership->probe_interval_ns)
    return;
  membership->incarnation++;
  kcp_membership_announce_self (membership, now);
  membership->view_is_current = false;
  membership->current_from_probe = membership->next_number;
  membership->probe = (struct probe){ .number = 0 };
  membership->next_probe_ns = now.monotonic_ns;
  membership->next_sync_ns = now.monotonic_ns;
  g_hash_table_iter_init (&iter, membership->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct member *member = value;

      if (member->suspicion_end_ns != 0)
        member->suspicion_end_ns = now.monotonic_ns + suspicion_ns (membership);
    }
}

/* Declares suspects dead whose suspicion timeout has expired, and removes VMs that have
   been dead for DEAD_RETENTION_NS. */
static void
check_members (struct kcp_membership *membership, struct kcp_peer_time now)
{
  g_autoptr (GList) members = g_hash_table_get_values (membership->members);

  for (GList *at = members; at != NULL; at = at->next)
    {
      struct member *member = at->data;
      const struct kcp_fact *held
          = kcp_facts_get (membership->facts, KCP_FACT_VM, member->id);

      if (held != NULL && member->suspicion_end_ns != 0
          && now.monotonic_ns >= member->suspicion_end_ns)
        {
          struct kcp_fact dead = *held;

          dead.state = KCP_VM_DEAD;
          kcp_membership_merge_fact (membership, now, &dead);
        }
      else if (member->removal_ns != 0 && now.monotonic_ns >= member->removal_ns)
        remove_member (membership, member);
      else if (held == NULL && !member->is_seed)
        (void)g_hash_table_remove (membership->members, member->id);
    }
}

/* Sends pending facts to up to fanout random VMs. */
static void
send_gossip (struct kcp_membership *membership, unsigned fanout)
{
  char id[KCP_FACT_ID_MAX];

  for (unsigned i = 0; i < fanout; i++)
    {
      struct kcp_message message = { .kind = KCP_MESSAGE_FACTS };

      if (!kcp_membership_random_peer (membership, NULL, id))
        return;
      kcp_membership_send (membership, id, &message);
    }
}

/* Starts a table synchronization with the scheduled VM, or with a random one, by sending
   it the digest of the fact table. */
static void
sync_tables (struct kcp_membership *membership, struct kcp_peer_time now)
{
  char id[KCP_FACT_ID_MAX];

  membership->next_sync_ns
      = now.monotonic_ns + SYNC_INTERVALS * membership->probe_interval_ns;
  if (membership->sync_target[0] != '\0')
    g_strlcpy (id, membership->sync_target, sizeof id);
  else if (!kcp_membership_random_peer (membership, NULL, id))
    {
      membership->next_sync_ns = now.monotonic_ns + membership->probe_interval_ns;
      return;
    }
  membership->sync_target[0] = '\0';
  membership->last_sync_ns = now.monotonic_ns;
  kcp_facts_expire (membership->facts, now.realtime_ms);
  kcp_membership_send_digest (membership, id, false);
}

/* Refutes a fact that overrides this VM's own one by announcing a greater incarnation. */
static void
refute_fact (struct kcp_membership *membership, struct kcp_peer_time now,
             const struct kcp_fact *fact)
{
  const struct kcp_fact *own
      = kcp_facts_get (membership->facts, KCP_FACT_VM, membership->id);

  if (own != NULL && kcp_fact_compare (fact, own) <= 0)
    return;
  membership->incarnation = MAX (membership->incarnation, fact->number) + 1;
  kcp_membership_announce_self (membership, now);
  send_gossip (membership, URGENT_FANOUT);
}

/* Supersedes a configuration fact that this VM announced before it was restarted, so that
   the old fact does not override the current one. */
static void
supersede_config (struct kcp_membership *membership, struct kcp_peer_time now,
                  const struct kcp_fact *fact)
{
  if (membership->config_number == 0 || fact->number < membership->config_number)
    return;
  if (fact->number == membership->config_number
      && !kcp_membership_needs_config (&membership->config, &fact->content.config))
    return;
  membership->config_number = fact->number + 1;
  kcp_membership_announce_config (membership, now);
}

/* Updates the timers of a VM whose fact changed. */
static void
on_vm_fact (struct kcp_membership *membership, struct kcp_peer_time now,
            const struct kcp_fact *fact, bool was_dead)
{
  struct member *member = kcp_membership_ensure_member (membership, fact->id);

  member->suspicion_end_ns = 0;
  member->removal_ns = 0;
  if (fact->state == KCP_VM_SUSPECT)
    member->suspicion_end_ns = now.monotonic_ns + suspicion_ns (membership);
  if (fact->state == KCP_VM_DEAD)
    member->removal_ns = now.monotonic_ns + DEAD_RETENTION_NS;
  if (fact->state < KCP_VM_SUSPECT && was_dead)
    {
      /* A network partition may have healed. */
      kcp_membership_schedule_sync (membership, now, fact->id);
    }
}

/* Returns the suspicion timeout. It grows with the number of VMs, because a suspicion
   takes longer to reach the suspect in a larger group. */
static int64_t
suspicion_ns (const struct kcp_membership *membership)
{
  size_t vms = kcp_facts_count (membership->facts, KCP_FACT_VM);
  int64_t factor_percent = 100;

  for (size_t n = 10; n < vms; n = n * 3 / 2)
    factor_percent += 18; /* log10 (1.5) in percent */
  return SUSPICION_INTERVALS * membership->probe_interval_ns * factor_percent / 100;
}

/* Removes the facts of a dead VM. A seed remains a member. */
static void
remove_member (struct kcp_membership *membership, struct member *member)
{
  member->removal_ns = 0;
  kcp_facts_remove (membership->facts, KCP_FACT_VM, member->id);
  kcp_facts_remove (membership->facts, KCP_FACT_CONFIG, member->id);
  if (!member->is_seed)
    (void)g_hash_table_remove (membership->members, member->id);
}
