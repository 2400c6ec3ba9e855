/* Applies the records that a feed reads: those of the operators and the entries of the
   servers' list. */
#include "base/decision_log.h"
#include "forward/feed_private.h"

static void log_weights (struct kcp_feed *feed, const struct kcp_store_record *record,
                         const struct kcp_operator_record *content);
static bool remove_read (struct kcp_feed *feed, const char *id, int64_t offset);
static struct kcp_entry_reading
describe_reading (const struct kcp_feed *feed, const struct kcp_store_record *record);
static void report_entry (struct kcp_feed *feed, struct kcp_str key);
static void on_removal_due (void *user);
static void log_rejected_record (const char *what, const struct kcp_store_record *record,
                                 const char *reason);

/* Applies a record of the operators. Returns false if it is not used. */
bool
kcp_feed_apply_operator (struct kcp_feed *feed, const struct kcp_store_record *record)
{
  struct kcp_gateway *gateway = feed->gateway;
  struct kcp_operator_record content = { .kind = KCP_OPERATOR_OTHER };
  const char *reason = NULL;

  if (record->value.len == 0)
    return false;
  if (!gateway->dialect->read_operator (record->key, record->value, &content, &reason))
    {
      log_rejected_record ("operator_record", record, reason);
      return false;
    }
  switch (content.kind)
    {
    case KCP_OPERATOR_ROUTES:
      (void)kcp_gateway_set_routes (gateway, content.routes);
      break;
    case KCP_OPERATOR_WEIGHTS:
      log_weights (feed, record, &content);
      kcp_gateway_add_desired_weights (gateway, content.weights.model,
                                       content.weights.version,
                                       feed->operators.not_before_ns);
      g_free (content.weights.model);
      break;
    case KCP_OPERATOR_OTHER:
      break;
    }
  return true;
}

/* Logs a record of desired weights, and since when it may have been in the store. */
static void
log_weights (struct kcp_feed *feed, const struct kcp_store_record *record,
             const struct kcp_operator_record *content)
{
  int64_t age_ns = kcp_loop_now (feed->gateway->loop) - feed->operators.not_before_ns;

  KCP_LOG ("weights_read", KCP_LOG_TEXT ("model", content->weights.model),
           KCP_LOG_INT ("version", content->weights.version),
           KCP_LOG_INT ("offset", record->offset),
           KCP_LOG_INT ("within_ms", age_ns / KCP_NS_PER_MS));
}

/* Applies a record of the servers' list. Returns false if it changes nothing. */
bool
kcp_feed_apply_server (struct kcp_feed *feed, const struct kcp_store_record *record)
{
  struct kcp_server_entry entry;
  struct kcp_entry_reading reading;
  const char *reason = NULL;

  if (record->value.len == 0)
    {
      g_autofree char *id = kcp_str_dup (record->key);

      return remove_read (feed, id, record->offset);
    }
  if (!feed->gateway->dialect->read_server (record->key, record->value, &entry, &reason))
    {
      log_rejected_record ("server_entry", record, reason);
      return false;
    }
  reading = describe_reading (feed, record);
  if (!kcp_servers_read (feed->gateway->servers, &entry, &reading))
    return false;
  report_entry (feed, record->key);
  return true;
}

/* Describes how a record of the servers' list is read. A server whose entry returns is
   not held while entries return that an outage of the store has removed. */
static struct kcp_entry_reading
describe_reading (const struct kcp_feed *feed, const struct kcp_store_record *record)
{
  const struct kcp_gateway *gateway = feed->gateway;
  int64_t now = kcp_loop_now (gateway->loop);
  int64_t expiry_ms
      = KCP_FEED_EXPIRY_HEARTBEATS * gateway->settings->servers_heartbeat_ms;
  bool returning = kcp_entry_expiry_entries_return (&feed->entry_expiry, now);

  return (struct kcp_entry_reading){
    .offset = record->offset,
    .now_ns = now,
    .now_ms = kcp_clock_realtime_ms (gateway->clock),
    .delay_ns
    = KCP_FEED_DELAY_HEARTBEATS * gateway->settings->servers_heartbeat_ms * KCP_NS_PER_MS,
    .hold_ns = returning ? 0 : expiry_ms * KCP_NS_PER_MS,
    .listed = feed->servers.state == KCP_FEED_LISTING,
    .in_copy = feed->lists_copy,
  };
}

/* Reports a changed entry to the crash watch, since it shows that the address has another
   server now. */
static void
report_entry (struct kcp_feed *feed, struct kcp_str key)
{
  g_autofree char *id = kcp_str_dup (key);
  const struct kcp_server *server = kcp_servers_find (feed->gateway->servers, id);

  if (server != NULL)
    kcp_crash_watch_on_entry (feed->gateway->crash_watch, server);
}

/* Removes a server at the time at_ns. Returns false if the removal was already known. */
bool
kcp_feed_remove_server (struct kcp_feed *feed, const char *id, int64_t at_ns)
{
  int64_t now = kcp_loop_now (feed->gateway->loop);
  bool changed = kcp_servers_remove_at (feed->gateway->servers, id, at_ns);

  if (at_ns <= now)
    (void)kcp_servers_remove_due (feed->gateway->servers, now);
  else if (feed->removal_timer.position == NULL || at_ns < feed->removal_timer.due_ns)
    kcp_loop_timer_set (feed->gateway->loop, &feed->removal_timer, at_ns, on_removal_due,
                        feed);
  return changed;
}

/* Removes a server whose entry was removed, as this VM read at this offset. Returns false
   if that changes nothing. */
static bool
remove_read (struct kcp_feed *feed, const char *id, int64_t offset)
{
  int64_t now = kcp_loop_now (feed->gateway->loop);

  return kcp_servers_read_removal (feed->gateway->servers, id, offset)
         && kcp_feed_remove_server (
             feed, id, kcp_entry_expiry_removal_ns (&feed->entry_expiry, now));
}

/* Removes the servers that a completed listing does not contain. */
void
kcp_feed_remove_unlisted (struct kcp_feed *feed, GHashTable *listed)
{
  const GPtrArray *all = kcp_servers_all (feed->gateway->servers);

  for (guint i = all->len; i > 0; i--)
    {
      const struct kcp_server *server = g_ptr_array_index (all, i - 1);

      if (!g_hash_table_contains (listed, server->entry.id))
        {
          g_autofree char *id = g_strdup (server->entry.id);

          (void)remove_read (feed, id, feed->servers.listed_end - 1);
        }
    }
}

static void
on_removal_due (void *user)
{
  struct kcp_feed *feed = user;
  struct kcp_loop *loop = feed->gateway->loop;
  int64_t next_ns = kcp_servers_remove_due (feed->gateway->servers, kcp_loop_now (loop));

  if (next_ns != 0)
    kcp_loop_timer_set (loop, &feed->removal_timer, next_ns, on_removal_due, feed);
  feed->changed (feed->user);
}

static void
log_rejected_record (const char *what, const struct kcp_store_record *record,
                     const char *reason)
{
  KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", what),
           KCP_LOG_STR ("key", record->key), KCP_LOG_INT ("offset", record->offset),
           KCP_LOG_TEXT ("why", reason));
}
