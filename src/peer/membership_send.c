#include <string.h>

#include "peer/membership_private.h"

#define FACTS_BYTES        900 /* of encoded facts in a message without a digest */
#define DIGEST_FACTS_BYTES 300 /* of encoded facts in a message with a digest */
#define TRANSMITS_MIN      3

static size_t send_copies (struct kcp_membership *membership, const struct kcp_fact *fact,
                           const struct kcp_message *original);
static void
add_own_facts (struct kcp_membership *membership, struct kcp_message *message);
static void add_fact (struct kcp_message *message, const struct kcp_fact *fact);
static void add_pending_facts (struct kcp_membership *membership, const char *to,
                               struct kcp_message *message);
static bool carries_own_facts (enum kcp_message_kind kind);
static unsigned max_transmits (const struct kcp_membership *membership);

/* Adds facts to a message as far as they fit and sends it to a VM. Nothing is sent if the
   VM's endpoint is unknown, or if there is no fact for a message that carries facts only.
   Takes ownership of the message's facts. */
void
kcp_membership_send (struct kcp_membership *membership, const char *to,
                     struct kcp_message *message)
{
  struct kcp_vm_endpoint endpoint;

  if (message->facts == NULL)
    message->facts = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact));
  if (kcp_membership_find_endpoint (membership, to, &endpoint))
    {
      const struct kcp_fact *known = kcp_facts_get (membership->facts, KCP_FACT_VM, to);

      g_strlcpy (message->from, membership->id, sizeof message->from);
      g_strlcpy (message->to, to, sizeof message->to);
      if (carries_own_facts (message->kind))
        add_own_facts (membership, message);
      /* A VM that is suspect or presumed dead can refute that state only if it receives
         the fact. */
      if (known != NULL && known->state >= KCP_VM_SUSPECT)
        add_fact (message, known);
      add_pending_facts (membership, to, message);
      if (message->kind != KCP_MESSAGE_FACTS || message->facts->len > 0)
        membership->events.send (membership->events.user, &endpoint, message);
    }
  kcp_message_clear (message);
}

/* Sends a message of another module, such as a configuration chunk. Takes ownership of
   the message's facts. */
void
kcp_membership_send_external (struct kcp_membership *membership, const char *to,
                              struct kcp_message *message)
{
  kcp_membership_send (membership, to, message);
}

void
kcp_membership_send_probe (struct kcp_membership *membership, const char *to,
                           uint64_t number)
{
  struct kcp_message message
      = { .kind = KCP_MESSAGE_PROBE, .content.probe = { .number = number } };

  kcp_membership_send (membership, to, &message);
}

/* Sends a fact to all VMs of this data center that are not dead. */
void
kcp_membership_send_to_data_center (struct kcp_membership *membership,
                                    const struct kcp_fact *fact)
{
  struct kcp_message message = { .kind = KCP_MESSAGE_FACTS };

  (void)send_copies (membership, fact, &message);
}

/* Sends a fact to all VMs of this data center that are not dead, in probes. Returns how
   many were sent, and in number the one that their acknowledgements carry. */
size_t
kcp_membership_probe_data_center (struct kcp_membership *membership,
                                  const struct kcp_fact *fact, uint64_t *number)
{
  struct kcp_message message = { .kind = KCP_MESSAGE_PROBE };

  *number = membership->next_number++;
  message.content.probe.number = *number;
  return send_copies (membership, fact, &message);
}

/* Sends a copy of the message, with the fact, to all VMs of this data center that are not
   dead. Returns how many were sent. */
static size_t
send_copies (struct kcp_membership *membership, const struct kcp_fact *fact,
             const struct kcp_message *original)
{
  g_autoptr (GPtrArray) vms = kcp_facts_list (membership->facts, KCP_FACT_VM);
  size_t sent = 0;

  for (guint i = 0; i < vms->len; i++)
    {
      const struct kcp_fact *vm = g_ptr_array_index (vms, i);
      struct kcp_message message = *original;

      if (vm->state >= KCP_VM_DEAD || strcmp (vm->id, membership->id) == 0
          || strcmp (vm->content.vm.data_center, membership->endpoint.data_center) != 0)
        continue;
      message.facts = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact));
      add_fact (&message, fact);
      kcp_membership_send (membership, vm->id, &message);
      sent++;
    }
  return sent;
}

/* Sends the digest of the fact table. answer is set if it answers another digest. */
void
kcp_membership_send_digest (struct kcp_membership *membership, const char *to,
                            bool answer)
{
  struct kcp_message message
      = { .kind = KCP_MESSAGE_DIGEST, .content.digest = { .answer = answer } };
  struct kcp_vm_endpoint endpoint;

  if (!kcp_membership_find_endpoint (membership, to, &endpoint))
    return;
  kcp_facts_digest (membership->facts,
                    strcmp (endpoint.data_center, membership->endpoint.data_center) == 0,
                    &message.content.digest.digest);
  kcp_membership_send (membership, to, &message);
}

/* Adds this VM's own facts, from which the receiver learns the endpoint to answer to. */
static void
add_own_facts (struct kcp_membership *membership, struct kcp_message *message)
{
  static const enum kcp_fact_kind kinds[] = { KCP_FACT_VM, KCP_FACT_CONFIG };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      const struct kcp_fact *own
          = kcp_facts_get (membership->facts, kinds[i], membership->id);

      if (own != NULL)
        add_fact (message, own);
    }
}

static void
add_fact (struct kcp_message *message, const struct kcp_fact *fact)
{
  g_array_append_vals (message->facts, fact, 1);
}

/* Fills a message up with pending facts. A chunk carries none. */
static void
add_pending_facts (struct kcp_membership *membership, const char *to,
                   struct kcp_message *message)
{
  const struct kcp_fact *receiver = kcp_facts_get (membership->facts, KCP_FACT_VM, to);
  size_t budget = message->kind == KCP_MESSAGE_DIGEST ? DIGEST_FACTS_BYTES : FACTS_BYTES;

  if (message->kind == KCP_MESSAGE_CHUNK)
    return;
  for (guint i = 0; i < message->facts->len; i++)
    {
      size_t bytes
          = kcp_facts_encoded_bytes (&g_array_index (message->facts, struct kcp_fact, i));

      budget -= MIN (budget, bytes);
    }
  kcp_facts_collect_pending (
      membership->facts,
      (struct kcp_facts_scope){
          .same_data_center
          = receiver != NULL
            && strcmp (receiver->content.vm.data_center, membership->endpoint.data_center)
                   == 0,
          .max_transmits = max_transmits (membership),
          .budget_bytes = budget,
          .budget_facts = KCP_MESSAGE_FACTS_MAX,
      },
      message->facts);
}

/* Returns true if messages of a kind carry this VM's own facts. */
static bool
carries_own_facts (enum kcp_message_kind kind)
{
  switch (kind)
    {
    case KCP_MESSAGE_PROBE:
    case KCP_MESSAGE_ACK:
    case KCP_MESSAGE_INDIRECT_PROBE:
    case KCP_MESSAGE_DIGEST:
      return true;
    case KCP_MESSAGE_FACTS:
    case KCP_MESSAGE_PULL:
    case KCP_MESSAGE_CHUNK:
    case KCP_MESSAGE_KINDS:
      break;
    }
  return false;
}

/* Returns the number of times each VM sends a fact. It grows with the logarithm of the
   number of VMs, so that gossip reaches nearly all of them; table synchronization reaches
   the rest. */
static unsigned
max_transmits (const struct kcp_membership *membership)
{
  unsigned count = TRANSMITS_MIN;

  for (size_t n = kcp_facts_count (membership->facts, KCP_FACT_VM); n > 8; n /= 2)
    count++;
  return count;
}
