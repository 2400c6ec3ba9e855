/* Reads and appends the claims of the right to give orders. */
#include <jansson.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/rollout_private.h"

#define CLAIM_RETRY_MS 150
#define FIRST_CLAIM_MS 250 /* VMs without a claim to go by wait up to that long */

static void on_claim_read (void *user, const struct kcp_store_answer *answer);
static void on_claim_appended (void *user, const struct kcp_store_answer *answer);
static char *claim_holder (struct kcp_str record);

/* Reads the topic's end, to see who made the newest claim. */
void
kcp_rollout_read_claim (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  kcp_order_lease_on_sent (&rollout->claim, kcp_loop_now (rollout->gateway->loop));
  store->read (store->self, KCP_STORE_ORDERS, rollout->claim.end, 0, on_claim_read,
               rollout);
}

static void
on_claim_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_order_lease *claim = &rollout->claim;
  int64_t now = kcp_loop_now (rollout->gateway->loop);
  g_autofree char *holder = NULL;
  int64_t wait_ms;

  if (answer->end == KCP_STORE_TRIMMED)
    {
      kcp_order_lease_on_trimmed (claim, answer->next, now);
      KCP_LOG ("claim_read", KCP_LOG_TEXT ("holder", claim->holder),
               KCP_LOG_INT ("offset", claim->offset));
      return;
    }
  if (answer->end != KCP_STORE_DONE)
    {
      kcp_order_lease_on_failed (claim, CLAIM_RETRY_MS * KCP_NS_PER_MS, now);
      return;
    }
  if (answer->records->len > 0)
    {
      const struct kcp_store_record *last = &g_array_index (
          answer->records, struct kcp_store_record, answer->records->len - 1);

      holder = claim_holder (last->value);
      kcp_order_lease_on_read (claim, last->offset + 1, holder, last->offset, now);
    }
  else
    {
      g_autofree char *known = g_strdup (claim->holder);

      kcp_order_lease_on_read (claim, answer->next, known[0] != '\0' ? known : NULL,
                               claim->offset, now);
    }
  KCP_LOG ("claim_read", KCP_LOG_TEXT ("holder", claim->holder),
           KCP_LOG_INT ("offset", claim->offset),
           KCP_LOG_INT ("age_ms", (now - claim->seen_ns) / KCP_NS_PER_MS));
  if (claim->holder[0] != '\0')
    return;
  /* Without a holder to go by, VMs spread their claims, and all but one see it in time.
   */
  wait_ms = (int64_t)(kcp_id_random_u64 () % FIRST_CLAIM_MS);
  claim->wait_until_ns = now + wait_ms * KCP_NS_PER_MS;
}

/* Appends this VM's claim, on condition that the topic ends where it was read to. */
void
kcp_rollout_append_claim (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  kcp_order_lease_on_sent (&rollout->claim, kcp_loop_now (rollout->gateway->loop));
  g_string_printf (rollout->record, "{\"holder\":\"%s\"}", rollout->claim.own);
  store->append (store->self, KCP_STORE_ORDERS, rollout->claim.end, KCP_STR (""),
                 (struct kcp_str){ rollout->record->str, rollout->record->len },
                 on_claim_appended, rollout);
}

static void
on_claim_appended (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_order_lease *claim = &rollout->claim;
  int64_t now = kcp_loop_now (rollout->gateway->loop);

  if (answer->end == KCP_STORE_DONE)
    kcp_order_lease_on_appended (claim, answer->offset, now);
  else
    kcp_order_lease_on_failed (
        claim, answer->end == KCP_STORE_MOVED ? 0 : CLAIM_RETRY_MS * KCP_NS_PER_MS, now);
  KCP_LOG ("claim_append", KCP_LOG_INT ("outcome", answer->end),
           KCP_LOG_INT ("offset", answer->offset),
           KCP_LOG_INT ("ms", (now - claim->sent_ns) / KCP_NS_PER_MS),
           KCP_LOG_TEXT ("reason", answer->reason));
  kcp_rollout_look (rollout);
}

/* Returns who made a claim, or NULL if the record is none. */
static char *
claim_holder (struct kcp_str record)
{
  json_t *json = json_loadb (record.data, record.len, 0, NULL);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  char *copy = g_strdup (holder);

  json_decref (json);
  return copy;
}
