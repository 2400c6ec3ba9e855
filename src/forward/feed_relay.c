/* Relays the servers' list. The leader of a data center reads the list and sends what it
   read to the other VMs, so that the number of requests to the platform's store does not
   grow with the number of VMs. A VM that receives nothing, or misses a part, reads the
   list itself. */
#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/feed_private.h"
#include "forward/mesh.h"
#include "forward/mesh_message.h"

/* Time that a VM waits for relayed records before it reads the list itself. The half
   interval beyond poll_ms allows for varying delays. It does not cover a lost message,
   after which the VM reads the list itself. */
#define RELAY_TIMEOUT_MS(poll_ms) ((poll_ms)*3 / 2)

static void on_relayed_records (void *user, const struct kcp_mesh_records *relayed);
static void
apply_relayed_record (struct kcp_feed *feed, const struct kcp_mesh_record *record);

/* Starts to apply the records that other VMs send. */
void
kcp_feed_start_relay (struct kcp_feed *feed)
{
  if (feed->gateway->mesh != NULL)
    kcp_mesh_set_records_handler (feed->gateway->mesh, on_relayed_records, feed);
}

/* Stops applying records from other VMs. The mesh may have been stopped before. */
void
kcp_feed_stop_relay (struct kcp_feed *feed)
{
  if (feed->gateway->mesh != NULL)
    kcp_mesh_set_records_handler (feed->gateway->mesh, NULL, NULL);
}

/* Returns the time in milliseconds after which this VM reads the servers' list again if
   it receives no relayed records. */
int64_t
kcp_feed_servers_interval_ms (const struct kcp_feed *feed)
{
  int64_t poll_ms = feed->gateway->settings->store_poll_ms;

  return kcp_mesh_is_leader (feed->gateway->mesh) ? poll_ms : RELAY_TIMEOUT_MS (poll_ms);
}

/* If this VM is the leader, sends the other VMs of the data center what was read from the
   list: the first offset, the offset after the last one, and the records in between that
   change something. If there are more than KCP_MESH_RECORDS_MAX such records, nothing is
   sent and the other VMs read the list themselves. */
void
kcp_feed_relay (struct kcp_feed *feed, int64_t from, int64_t next, const GArray *changes)
{
  int64_t now = kcp_loop_now (feed->gateway->loop);
  int64_t removal_delay_ns = kcp_entry_expiry_removal_ns (&feed->entry_expiry, now) - now;
  struct kcp_mesh_records relayed;

  if (feed->gateway->mesh == NULL || !kcp_mesh_is_leader (feed->gateway->mesh)
      || changes->len > KCP_MESH_RECORDS_MAX)
    return;
  kcp_mesh_records_init (&relayed);
  relayed.era = feed->store->era (feed->store->self);
  relayed.from = from;
  relayed.next = next;
  for (guint i = 0; i < changes->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (changes, struct kcp_store_record, i);
      struct kcp_mesh_record row = {
        .offset = record->offset,
        .removal_delay_ms
        = record->value.len == 0 ? (uint32_t)(removal_delay_ns / KCP_NS_PER_MS) : 0,
        .key = record->key,
        .value = record->value,
      };

      g_array_append_val (relayed.records, row);
    }
  kcp_mesh_send_records (feed->gateway->mesh, &relayed);
  kcp_mesh_records_clear (&relayed);
}

/* Applies relayed records. A range that begins after the next offset that this VM would
   read is ignored, because the records in between are missing. So is a range that ends
   before it, which contains nothing new, one of another era of the store, whose offsets
   mean other records, and every range during a listing. */
static void
on_relayed_records (void *user, const struct kcp_mesh_records *relayed)
{
  struct kcp_feed *feed = user;
  struct kcp_feed_reader *reader = &feed->servers;
  struct kcp_loop *loop = feed->gateway->loop;
  int64_t wait_ns = kcp_feed_servers_interval_ms (feed) * KCP_NS_PER_MS;

  if (reader->state != KCP_FEED_READING
      || relayed->era != feed->store->era (feed->store->self)
      || relayed->from > reader->next || relayed->next < reader->next)
    return;
  for (guint i = 0; i < relayed->records->len; i++)
    {
      const struct kcp_mesh_record *record
          = &g_array_index (relayed->records, struct kcp_mesh_record, i);

      if (record->offset >= reader->next)
        apply_relayed_record (feed, record);
    }
  reader->next = relayed->next;
  if (relayed->records->len > 0)
    feed->changed (feed->user);
  if (!reader->request_pending && !kcp_feed_has_waiters (feed))
    kcp_loop_timer_set (loop, &reader->timer, kcp_loop_now (loop) + wait_ns,
                        kcp_feed_request, reader);
}

static void
apply_relayed_record (struct kcp_feed *feed, const struct kcp_mesh_record *record)
{
  struct kcp_store_record entry = {
    .offset = record->offset,
    .key = record->key,
    .value = record->value,
  };
  g_autofree char *id = NULL;
  int64_t now = kcp_loop_now (feed->gateway->loop);
  int64_t relayed_ns = now + record->removal_delay_ms * KCP_NS_PER_MS;

  if (record->value.len > 0)
    {
      (void)kcp_feed_apply_server (feed, &entry);
      return;
    }
  id = kcp_str_dup (record->key);
  if (!kcp_servers_read_removal (feed->gateway->servers, id, record->offset))
    return;
  (void)kcp_feed_remove_server (
      feed, id,
      kcp_entry_expiry_relayed_removal_ns (&feed->entry_expiry, relayed_ns, now));
}
