/* One VM of a data center reads the servers' list and tells the others what it read, so
   that the questions to the platform's store do not grow with the VMs. A VM that is not
   told, or that missed some of it, reads by itself. */
#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/feed_private.h"
#include "forward/mesh.h"
#include "forward/mesh_message.h"

/* How long a VM waits to be told before it reads by itself: what one telling takes longer
   than another, and one that is lost. */
#define TOLD_WAIT_MS(poll_ms) ((poll_ms)*3 / 2)

static void take_told (void *user, const struct kcp_mesh_records *told);
static void apply_told (struct kcp_feed *feed, const struct kcp_mesh_record *record);

/* Begins to take in what other VMs tell. */
void
kcp_feed_start_relay (struct kcp_feed *feed)
{
  if (feed->gateway->mesh != NULL)
    kcp_mesh_on_records (feed->gateway->mesh, take_told, feed);
}

/* Ends it; the exchange between VMs may have ended before. */
void
kcp_feed_stop_relay (struct kcp_feed *feed)
{
  if (feed->gateway->mesh != NULL)
    kcp_mesh_on_records (feed->gateway->mesh, NULL, NULL);
}

/* Returns after how long this VM reads the servers' list again if it is not told of it.
 */
int64_t
kcp_feed_servers_wait_ms (const struct kcp_feed *feed)
{
  int64_t poll_ms = feed->gateway->settings->store_poll_ms;

  return kcp_mesh_is_first (feed->gateway->mesh) ? poll_ms : TOLD_WAIT_MS (poll_ms);
}

/* Tells the other VMs of the data center that the list was read from one offset to the
   next, and which of the records say something new. */
void
kcp_feed_relay (struct kcp_feed *feed, int64_t from, int64_t next, const GArray *news)
{
  int64_t now = kcp_loop_now (feed->gateway->loop);
  int64_t hold_ns = kcp_entry_expiry_removal_ns (&feed->entry_expiry, now) - now;
  struct kcp_mesh_records told;

  if (feed->gateway->mesh == NULL || !kcp_mesh_is_first (feed->gateway->mesh)
      || news->len > KCP_MESH_RECORDS_MAX)
    return;
  kcp_mesh_records_init (&told);
  told.from = from;
  told.next = next;
  for (guint i = 0; i < news->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (news, struct kcp_store_record, i);
      struct kcp_mesh_record row = {
        .offset = record->offset,
        .hold_ms = record->value.len == 0 ? (uint32_t)(hold_ns / KCP_NS_PER_MS) : 0,
        .key = record->key,
        .value = record->value,
      };

      g_array_append_val (told.records, row);
    }
  kcp_mesh_tell_records (feed->gateway->mesh, &told);
  kcp_mesh_records_clear (&told);
}

/* What begins behind the offset that this VM has read to is of no use, as something
   between is missing. */
static void
take_told (void *user, const struct kcp_mesh_records *told)
{
  struct kcp_feed *feed = user;
  struct kcp_follow *follow = &feed->servers;
  struct kcp_loop *loop = feed->gateway->loop;
  int64_t wait_ns = kcp_feed_servers_wait_ms (feed) * KCP_NS_PER_MS;

  if (follow->state != KCP_FOLLOW_READING || told->from > follow->next
      || told->next < follow->next)
    return;
  for (guint i = 0; i < told->records->len; i++)
    {
      const struct kcp_mesh_record *record
          = &g_array_index (told->records, struct kcp_mesh_record, i);

      if (record->offset >= follow->next)
        apply_told (feed, record);
    }
  follow->next = told->next;
  if (told->records->len > 0)
    feed->changed (feed->user);
  if (!follow->asking)
    kcp_loop_timer_set (loop, &follow->timer, kcp_loop_now (loop) + wait_ns,
                        kcp_follow_ask, follow);
}

static void
apply_told (struct kcp_feed *feed, const struct kcp_mesh_record *record)
{
  struct kcp_store_record entry = {
    .offset = record->offset,
    .key = record->key,
    .value = record->value,
  };
  g_autofree char *id = NULL;
  int64_t now = kcp_loop_now (feed->gateway->loop);

  if (record->value.len > 0)
    {
      (void)kcp_feed_apply_server (feed, &entry);
      return;
    }
  id = kcp_str_dup (record->key);
  (void)kcp_feed_remove_server (feed, id, now + record->hold_ms * KCP_NS_PER_MS);
}
