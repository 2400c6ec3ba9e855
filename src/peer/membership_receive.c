#include <string.h>

#include "peer/membership_private.h"

#define SYNC_FACTS_BYTES  900
#define SYNC_MESSAGES_MAX 12
#define REFUTATIONS_MAX   8

static void
send_refutations (struct kcp_membership *membership, const struct kcp_message *message);
static void handle_ack (struct kcp_membership *membership, struct kcp_peer_time now,
                        const struct kcp_message *message);
static void handle_indirect_probe (struct kcp_membership *membership,
                                   const struct kcp_message *message);
static void
handle_digest (struct kcp_membership *membership, const struct kcp_message *message);
static void send_ack (struct kcp_membership *membership, struct kcp_peer_time now,
                      const char *to, uint64_t number, const char *target);
static void relay_ack (struct kcp_membership *membership, struct kcp_peer_time now,
                       const struct kcp_message *message);

/* Handles a message that was accepted as authentic. */
void
kcp_membership_receive (struct kcp_membership *membership, struct kcp_peer_time now,
                        const struct kcp_message *message)
{
  kcp_membership_merge_facts (membership, now, message);
  kcp_membership_respond (membership, now, message);
}

/* Merges the facts of a message, the first half of its handling. */
void
kcp_membership_merge_facts (struct kcp_membership *membership, struct kcp_peer_time now,
                            const struct kcp_message *message)
{
  send_refutations (membership, message);
  for (guint i = 0; i < message->facts->len; i++)
    kcp_membership_merge_fact (membership, now,
                               &g_array_index (message->facts, struct kcp_fact, i));
}

/* Responds to a message, the second half of its handling. An acknowledgement tells the
   sender that the facts of its probe are in force here. */
void
kcp_membership_respond (struct kcp_membership *membership, struct kcp_peer_time now,
                        const struct kcp_message *message)
{
  switch (message->kind)
    {
    case KCP_MESSAGE_PROBE:
      send_ack (membership, now, message->from, message->content.probe.number,
                membership->id);
      break;
    case KCP_MESSAGE_ACK:
      handle_ack (membership, now, message);
      break;
    case KCP_MESSAGE_INDIRECT_PROBE:
      handle_indirect_probe (membership, message);
      break;
    case KCP_MESSAGE_DIGEST:
      handle_digest (membership, message);
      break;
    case KCP_MESSAGE_FACTS:
    case KCP_MESSAGE_PULL:
    case KCP_MESSAGE_CHUNK:
    case KCP_MESSAGE_KINDS:
      break;
    }
}

/* Answers suspect and dead states that have been refuted with the refuting facts.
   Otherwise a VM that missed a refutation would presume a live VM dead until the next
   table synchronization. */
static void
send_refutations (struct kcp_membership *membership, const struct kcp_message *message)
{
  struct kcp_message answer = {
    .kind = KCP_MESSAGE_FACTS,
    .facts = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact)),
  };

  for (guint i = 0; i < message->facts->len; i++)
    {
      const struct kcp_fact *received
          = &g_array_index (message->facts, struct kcp_fact, i);
      const struct kcp_fact *held
          = kcp_facts_get (membership->facts, received->kind, received->id);

      if (received->kind == KCP_FACT_VM && received->state >= KCP_VM_SUSPECT
          && held != NULL && held->number > received->number
          && answer.facts->len < REFUTATIONS_MAX)
        g_array_append_vals (answer.facts, held, 1);
    }
  if (answer.facts->len > 0)
    kcp_membership_send (membership, message->from, &answer);
  kcp_message_clear (&answer);
}

/* Handles an acknowledgement. If the sender's fact table differs although this VM has no
   pending facts, a table synchronization is scheduled. */
static void
handle_ack (struct kcp_membership *membership, struct kcp_peer_time now,
            const struct kcp_message *message)
{
  struct probe *probe = &membership->probe;
  const struct kcp_message_probe *ack = &message->content.probe;

  if (ack->facts != kcp_facts_hash (membership->facts)
      && !kcp_facts_has_pending (membership->facts))
    kcp_membership_schedule_sync (membership, now, message->from);
  if (ack->number >= membership->current_from_probe
      && ack->number < membership->next_number)
    membership->view_is_current = true;
  if (probe->number == ack->number && strcmp (probe->target, ack->target) == 0)
    probe->target[0] = '\0';
  relay_ack (membership, now, message);
}

/* Probes a target on behalf of the sender. */
static void
handle_indirect_probe (struct kcp_membership *membership,
                       const struct kcp_message *message)
{
  uint64_t number = membership->next_number++;
  struct relay *relay = &membership->relays[number % RELAYS_MAX];

  *relay = (struct relay){
    .number = number,
    .requester_number = message->content.probe.number,
  };
  g_strlcpy (relay->requester, message->from, sizeof relay->requester);
  kcp_membership_send_probe (membership, message->content.probe.target, number);
}

/* Answers a digest with facts of the buckets that differ, in up to SYNC_MESSAGES_MAX
   messages. If the digests differ and the received one is not itself an answer, the
   digest of this VM follows. */
static void
handle_digest (struct kcp_membership *membership, const struct kcp_message *message)
{
  const struct kcp_message_digest *theirs = &message->content.digest;
  uint64_t start = membership->events.random (membership->events.user);
  struct kcp_facts_digest ours;
  struct kcp_vm_endpoint endpoint;
  struct kcp_facts_scope scope = {
    .budget_bytes = SYNC_FACTS_BYTES,
    .budget_facts = KCP_MESSAGE_FACTS_MAX,
  };
  size_t sent = 0;

  if (!kcp_membership_find_endpoint (membership, message->from, &endpoint))
    return;
  scope.same_data_center
      = strcmp (endpoint.data_center, membership->endpoint.data_center) == 0;
  for (int i = 0; i < SYNC_MESSAGES_MAX; i++)
    {
      struct kcp_message answer = {
        .kind = KCP_MESSAGE_FACTS,
        .facts = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact)),
      };
      size_t count = kcp_facts_collect_differing (
          membership->facts, scope, &theirs->digest, start + sent, answer.facts);

      if (answer.facts->len == 0 || sent >= count)
        {
          kcp_message_clear (&answer);
          break;
        }
      sent += answer.facts->len;
      kcp_membership_send (membership, message->from, &answer);
    }
  kcp_facts_digest (membership->facts, scope.same_data_center, &ours);
  if (memcmp (&ours, &theirs->digest, sizeof ours) != 0 && !theirs->answer)
    kcp_membership_send_digest (membership, message->from, true);
}

static void
send_ack (struct kcp_membership *membership, struct kcp_peer_time now, const char *to,
          uint64_t number, const char *target)
{
  int64_t confirmed_ns = membership->config_confirmed_ns;
  struct kcp_message message = {
    .kind = KCP_MESSAGE_ACK,
    .content.probe = {
      .number = number,
      .facts = kcp_facts_hash (membership->facts),
      .config_age_ns = confirmed_ns < 0 ? -1 : now.monotonic_ns - confirmed_ns,
    },
  };

  g_strlcpy (message.content.probe.target, target, sizeof message.content.probe.target);
  kcp_membership_send (membership, to, &message);
}

/* Relays an acknowledgement to the VM that requested the indirect probe. */
static void
relay_ack (struct kcp_membership *membership, struct kcp_peer_time now,
           const struct kcp_message *message)
{
  uint64_t number = message->content.probe.number;
  struct relay *relay = &membership->relays[number % RELAYS_MAX];

  if (number == 0 || relay->number != number)
    return;
  relay->number = 0;
  send_ack (membership, now, relay->requester, relay->requester_number, message->from);
}
