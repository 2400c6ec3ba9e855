#include <string.h>

#include "peer/membership_private.h"

#define INDIRECT_PROBES      3
#define DEAD_PROBE_INTERVALS 4 /* probe intervals between probes of a dead VM */

static void send_indirect_probes (struct kcp_membership *membership, int64_t now_ns,
                                  int64_t delay_ns);
static void suspect_target (struct kcp_membership *membership, struct kcp_peer_time now);
static void probe_next (struct kcp_membership *membership, int64_t now_ns);
static bool select_target (struct kcp_membership *membership, char id[KCP_FACT_ID_MAX]);
static void start_round (struct kcp_membership *membership);
static void probe_dead (struct kcp_membership *membership);

/* Probes one VM in each interval, first directly and then through other VMs. The VM
   becomes suspect if no acknowledgement is received by the end of the interval. */
void
kcp_membership_probe_tick (struct kcp_membership *membership, struct kcp_peer_time now)
{
  send_indirect_probes (membership, now.monotonic_ns, membership->probe_interval_ns / 2);
  if (now.monotonic_ns < membership->next_probe_ns)
    return;
  suspect_target (membership, now);
  membership->next_probe_ns = now.monotonic_ns + membership->probe_interval_ns;
  probe_next (membership, now.monotonic_ns);
  if (++membership->probe_intervals % DEAD_PROBE_INTERVALS == 0)
    probe_dead (membership);
}

/* Requests indirect probes of the target from other VMs, once the probe has not been
   acknowledged for delay_ns. */
static void
send_indirect_probes (struct kcp_membership *membership, int64_t now_ns, int64_t delay_ns)
{
  struct probe *probe = &membership->probe;
  char id[KCP_FACT_ID_MAX];

  if (probe->target[0] == '\0' || probe->indirect || now_ns - probe->sent_ns < delay_ns)
    return;
  probe->indirect = true;
  for (int i = 0; i < INDIRECT_PROBES; i++)
    {
      struct kcp_message message = {
        .kind = KCP_MESSAGE_INDIRECT_PROBE,
        .content.probe = { .number = probe->number },
      };

      if (!kcp_membership_random_peer (membership, probe->target, id))
        return;
      g_strlcpy (message.content.probe.target, probe->target,
                 sizeof message.content.probe.target);
      kcp_membership_send (membership, id, &message);
    }
}

/* Marks the target as suspect if its probe was not acknowledged. */
static void
suspect_target (struct kcp_membership *membership, struct kcp_peer_time now)
{
  struct probe *probe = &membership->probe;
  const struct kcp_fact *held
      = kcp_facts_get (membership->facts, KCP_FACT_VM, probe->target);

  if (probe->target[0] != '\0' && held != NULL && held->state < KCP_VM_SUSPECT)
    {
      struct kcp_fact suspect = *held;

      suspect.state = KCP_VM_SUSPECT;
      kcp_membership_merge_fact (membership, now, &suspect);
      /* The probe carries the suspicion to the suspect, so that it can refute it. */
      kcp_membership_send_probe (membership, probe->target, membership->next_number++);
    }
  probe->target[0] = '\0';
}

static void
probe_next (struct kcp_membership *membership, int64_t now_ns)
{
  struct probe *probe = &membership->probe;

  if (!select_target (membership, probe->target))
    return;
  probe->number = membership->next_number++;
  probe->sent_ns = now_ns;
  probe->indirect = false;
  kcp_membership_send_probe (membership, probe->target, probe->number);
}

/* Selects the next VM to probe. Each round probes every VM once in random order. Returns
   false if there is no VM to probe. */
static bool
select_target (struct kcp_membership *membership, char id[KCP_FACT_ID_MAX])
{
  if (membership->probe_order->len == 0)
    start_round (membership);
  while (membership->probe_order->len > 0)
    {
      g_autofree char *next = g_ptr_array_steal_index (membership->probe_order,
                                                       membership->probe_order->len - 1);
      struct kcp_vm_endpoint endpoint;

      if (kcp_membership_is_dead (membership, next)
          || !kcp_membership_find_endpoint (membership, next, &endpoint))
        continue;
      g_strlcpy (id, next, KCP_FACT_ID_MAX);
      return true;
    }
  id[0] = '\0';
  return false;
}

/* Fills probe_order with all members in random order. */
static void
start_round (struct kcp_membership *membership)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, membership->members);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (membership->probe_order, g_strdup (key));
  for (guint i = membership->probe_order->len; i > 1; i--)
    {
      guint other = (guint)(membership->events.random (membership->events.user) % i);
      gpointer last = membership->probe_order->pdata[i - 1];

      membership->probe_order->pdata[i - 1] = membership->probe_order->pdata[other];
      membership->probe_order->pdata[other] = last;
    }
}

/* Probes a random dead VM, so that the two sides of a healed network partition find each
   other. */
static void
probe_dead (struct kcp_membership *membership)
{
  g_autoptr (GList) members = g_hash_table_get_values (membership->members);
  guint count = g_list_length (members);
  guint start;

  if (count == 0)
    return;
  start = (guint)(membership->events.random (membership->events.user) % count);
  for (guint i = 0; i < count; i++)
    {
      const struct member *member = g_list_nth_data (members, (start + i) % count);

      if (!kcp_membership_is_dead (membership, member->id))
        continue;
      kcp_membership_send_probe (membership, member->id, membership->next_number++);
      return;
    }
}
