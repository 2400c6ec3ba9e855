/* Reads and appends the records of the order lease in the platform's log. The decision
   log calls these records claims. */
#include <jansson.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/rollout_private.h"

#define LEASE_RETRY_MS 150
/* Maximum random delay of an append while no holder of the lease is known. */
#define FIRST_RECORD_MAX_DELAY_MS 250

static void on_lease_read (void *user, const struct kcp_store_answer *answer);
static void on_lease_appended (void *user, const struct kcp_store_answer *answer);
static char *record_holder (struct kcp_str record);

/* Reads the end of the orders topic to find the holder of the newest lease record. */
void
kcp_rollout_read_lease (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  kcp_order_lease_on_sent (&rollout->lease, kcp_loop_now (rollout->gateway->loop));
  store->read (store->self, KCP_STORE_ORDERS, rollout->lease.end, 0, on_lease_read,
               rollout);
}

static void
on_lease_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_order_lease *lease = &rollout->lease;
  int64_t now = kcp_loop_now (rollout->gateway->loop);
  g_autofree char *holder = NULL;
  int64_t wait_ms;

  if (answer->end == KCP_STORE_TRIMMED)
    {
      kcp_order_lease_on_trimmed (lease, answer->next, now);
      KCP_LOG ("claim_read", KCP_LOG_TEXT ("holder", lease->holder),
               KCP_LOG_INT ("offset", lease->offset));
      return;
    }
  if (answer->end != KCP_STORE_DONE)
    {
      kcp_order_lease_on_failed (lease, LEASE_RETRY_MS * KCP_NS_PER_MS, now);
      return;
    }
  if (answer->records->len > 0)
    {
      const struct kcp_store_record *last = &g_array_index (
          answer->records, struct kcp_store_record, answer->records->len - 1);

      holder = record_holder (last->value);
      kcp_order_lease_on_read (lease, last->offset + 1, holder, last->offset, now);
    }
  else
    {
      g_autofree char *known = g_strdup (lease->holder);

      kcp_order_lease_on_read (lease, answer->next, known[0] != '\0' ? known : NULL,
                               lease->offset, now);
    }
  KCP_LOG ("claim_read", KCP_LOG_TEXT ("holder", lease->holder),
           KCP_LOG_INT ("offset", lease->offset),
           KCP_LOG_INT ("age_ms", (now - lease->seen_ns) / KCP_NS_PER_MS));
  if (lease->holder[0] != '\0')
    return;
  /* While no holder is known, each VM waits for a random time, so that the others see the
     first lease record before they append their own. */
  wait_ms = (int64_t)(kcp_id_random_u64 () % FIRST_RECORD_MAX_DELAY_MS);
  lease->wait_until_ns = now + wait_ms * KCP_NS_PER_MS;
}

/* Appends this VM's lease record on condition that nothing was appended to the topic
   since it was last read. */
void
kcp_rollout_append_lease (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  rollout->lease.era = MAX (store->era (store->self), 0);
  kcp_order_lease_on_sent (&rollout->lease, kcp_loop_now (rollout->gateway->loop));
  g_string_printf (rollout->record, "{\"holder\":\"%s\"}", rollout->lease.own);
  store->append (store->self, KCP_STORE_ORDERS, rollout->lease.end, KCP_STR (""),
                 (struct kcp_str){ rollout->record->str, rollout->record->len },
                 on_lease_appended, rollout);
}

static void
on_lease_appended (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_order_lease *lease = &rollout->lease;
  int64_t now = kcp_loop_now (rollout->gateway->loop);

  if (answer->end == KCP_STORE_DONE)
    kcp_order_lease_on_appended (lease, answer->offset, now);
  else
    kcp_order_lease_on_failed (
        lease, answer->end == KCP_STORE_CONFLICT ? 0 : LEASE_RETRY_MS * KCP_NS_PER_MS,
        now);
  KCP_LOG ("claim_append", KCP_LOG_INT ("outcome", answer->end),
           KCP_LOG_INT ("offset", answer->offset),
           KCP_LOG_INT ("ms", (now - lease->sent_ns) / KCP_NS_PER_MS),
           KCP_LOG_TEXT ("reason", answer->reason));
  kcp_rollout_schedule_check (rollout);
}

/* Ends the lease after the store came back from an older copy. */
void
kcp_rollout_on_new_era (void *user, int64_t era)
{
  struct kcp_rollout *rollout = user;

  kcp_order_lease_on_new_era (&rollout->lease, era,
                              kcp_loop_now (rollout->gateway->loop));
  kcp_rollout_schedule_check (rollout);
}

/* Returns a copy of the holder's name, or NULL if the record is not a lease record. */
static char *
record_holder (struct kcp_str record)
{
  json_t *json = json_loadb (record.data, record.len, 0, NULL);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  char *copy = g_strdup (holder);

  json_decref (json);
  return copy;
}
