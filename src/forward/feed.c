#include "forward/feed_private.h"

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "base/id.h"

/* Delay after a failed call; a random delay of up to the same length is added. */
#define RETRY_MS 250
/* Shortest outage of the store after which the removal of servers is delayed. */
#define MIN_OUTAGE_NS (2 * KCP_NS_PER_S)
/* Minimum interval between reads of the operators' records; prevents a busy loop if empty
   answers arrive immediately. */
#define MIN_READ_INTERVAL_MS 50

static void reader_init (struct kcp_feed *feed, struct kcp_feed_reader *reader,
                         enum kcp_store_topic topic,
                         bool (*apply) (struct kcp_feed *feed,
                                        const struct kcp_store_record *record));
static int64_t read_wait_ms (const struct kcp_feed_reader *reader);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void on_read (void *user, const struct kcp_store_answer *answer);
static void apply_all (struct kcp_feed_reader *reader,
                       const struct kcp_store_answer *answer, GArray *changes);
static bool
apply_read_answer (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer);
static void end_read (const struct kcp_feed_reader *reader, bool answered);
static void
record_keys (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer);
static struct kcp_topic_read describe_read (const struct kcp_feed_reader *reader,
                                            const struct kcp_store_answer *answer);
static void end_listing (struct kcp_feed_reader *reader);
static int64_t listed_not_before_ns (const struct kcp_feed_reader *reader);
static void start_listing (struct kcp_feed_reader *reader);
static void on_new_era (void *user, int64_t era);
static void list_again (struct kcp_feed_reader *reader);
static void
record_outcome (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer);
static void schedule_request (struct kcp_feed_reader *reader);
static void schedule_retry (struct kcp_feed_reader *reader);

/* Starts to follow the store. gateway and store must outlive the feed. */
struct kcp_feed *
kcp_feed_start (struct kcp_gateway *gateway, const struct kcp_store *store,
                kcp_feed_changed *changed, void *user)
{
  struct kcp_feed *feed = g_new0 (struct kcp_feed, 1);

  feed->gateway = gateway;
  feed->store = store;
  feed->changed = changed;
  feed->user = user;
  feed->entry_expiry.min_outage_ns = MIN_OUTAGE_NS;
  feed->entry_expiry.grace_ns
      = gateway->settings->servers_expiry_grace_ms * KCP_NS_PER_MS;
  kcp_feed_init_waiters (feed);
  reader_init (feed, &feed->operators, KCP_STORE_OPERATOR, kcp_feed_apply_operator);
  reader_init (feed, &feed->servers, KCP_STORE_SERVERS, kcp_feed_apply_server);
  store->watch_era (store->self, on_new_era, feed);
  kcp_feed_request (&feed->operators);
  kcp_feed_request (&feed->servers);
  kcp_feed_start_relay (feed);
  return feed;
}

/* Stops following the store and frees the feed; NULL is allowed. The store's client must
   have ended its calls before. */
void
kcp_feed_stop (struct kcp_feed *feed)
{
  if (feed == NULL)
    return;
  kcp_feed_stop_relay (feed);
  kcp_loop_timer_cancel (&feed->operators.timer);
  kcp_loop_timer_cancel (&feed->servers.timer);
  kcp_loop_timer_cancel (&feed->removal_timer);
  g_hash_table_unref (feed->operators.listed);
  g_hash_table_unref (feed->servers.listed);
  g_free (feed->operators.last_key);
  g_free (feed->servers.last_key);
  kcp_feed_clear_waiters (feed);
  g_free (feed);
}

/* Returns since when the store has answered, 0 if it always has, or
   KCP_FEED_NOT_READABLE. feed may be NULL; then there is no store to read. */
int64_t
kcp_feed_readable_since_ns (const struct kcp_feed *feed)
{
  if (feed == NULL || feed->entry_expiry.failing_since_ns != 0)
    return KCP_FEED_NOT_READABLE;
  return feed->entry_expiry.failing_end_ns;
}

static void
reader_init (struct kcp_feed *feed, struct kcp_feed_reader *reader,
             enum kcp_store_topic topic,
             bool (*apply) (struct kcp_feed *feed, const struct kcp_store_record *record))
{
  reader->feed = feed;
  reader->topic = topic;
  reader->apply = apply;
  reader->first_listing = true;
  reader->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Requests the next page of the listing or the next records of the topic. The handler of
   the answer schedules the next request. */
void
kcp_feed_request (void *user)
{
  struct kcp_feed_reader *reader = user;
  const struct kcp_store *store = reader->feed->store;

  reader->requested_ns = kcp_loop_now (reader->feed->gateway->loop);
  reader->requested_from = reader->next;
  if (reader->state == KCP_FEED_LISTING && reader->last_key == NULL)
    reader->listing_ns = reader->requested_ns;
  reader->request_pending = true;
  if (reader->topic == KCP_STORE_SERVERS)
    kcp_feed_begin_read (reader->feed);
  switch (reader->state)
    {
    case KCP_FEED_LISTING:
      store->list (store->self, reader->topic, reader->last_key, on_listed, reader);
      break;
    case KCP_FEED_READING:
      store->read (store->self, reader->topic, reader->next, read_wait_ms (reader),
                   on_read, reader);
      break;
    }
}

/* Returns how long the store may hold a read of the topic open. */
static int64_t
read_wait_ms (const struct kcp_feed_reader *reader)
{
  return reader->topic == KCP_STORE_OPERATOR
             ? reader->feed->gateway->settings->store_wait_ms
             : 0;
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_feed_reader *reader = user;

  reader->request_pending = false;
  record_outcome (reader, answer);
  if (answer->end != KCP_STORE_DONE)
    {
      end_read (reader, false);
      if (!reader->request_pending)
        schedule_retry (reader);
      return;
    }
  if (reader->last_key == NULL)
    reader->listed_end = answer->next;
  record_keys (reader, answer);
  reader->not_before_ns = listed_not_before_ns (reader);
  apply_all (reader, answer, NULL);
  if (answer->more && reader->last_key != NULL)
    {
      kcp_feed_request (reader);
      return;
    }
  end_listing (reader);
  schedule_request (reader);
}

static void
on_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_feed_reader *reader = user;

  reader->request_pending = false;
  record_outcome (reader, answer);
  switch (answer->end)
    {
    case KCP_STORE_DONE:
      if (apply_read_answer (reader, answer))
        end_read (reader, true);
      /* Those who waited may have had the list read again. */
      if (!reader->request_pending)
        schedule_request (reader);
      break;
    case KCP_STORE_TRIMMED:
      KCP_LOG ("store_trimmed", KCP_LOG_INT ("topic", reader->topic),
               KCP_LOG_INT ("wanted", reader->next), KCP_LOG_INT ("first", answer->next));
      start_listing (reader);
      kcp_feed_request (reader);
      break;
    case KCP_STORE_CONFLICT:
    case KCP_STORE_FAILED:
      kcp_topic_end_on_failed (&reader->end);
      end_read (reader, false);
      if (!reader->request_pending)
        schedule_retry (reader);
      break;
    }
}

/* Ends the wait of those for which the servers' list was read. */
static void
end_read (const struct kcp_feed_reader *reader, bool answered)
{
  if (reader->topic == KCP_STORE_SERVERS)
    kcp_feed_end_read (reader->feed, answered);
}

/* Applies the records of an answer and relays those of the servers' list to the other
   VMs. Some may have been applied already, because another VM relayed them while the call
   was in progress. Returns true if no more records follow. */
static bool
apply_read_answer (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer)
{
  g_autoptr (GArray) changes
      = g_array_new (FALSE, FALSE, sizeof (struct kcp_store_record));
  int64_t next = reader->requested_from + answer->records->len;
  struct kcp_topic_read read = describe_read (reader, answer);

  reader->not_before_ns = kcp_topic_end_not_before_ns (&reader->end, &read);
  apply_all (reader, answer, changes);
  reader->next = MAX (reader->next, next);
  kcp_topic_end_on_read (&reader->end, &read);
  if (reader->topic == KCP_STORE_SERVERS)
    kcp_feed_relay (reader->feed, reader->requested_from, next, changes);
  return read.to_end;
}

static struct kcp_topic_read
describe_read (const struct kcp_feed_reader *reader,
               const struct kcp_store_answer *answer)
{
  const struct kcp_loop *loop = reader->feed->gateway->loop;
  int64_t next = MAX (reader->next, reader->requested_from + answer->records->len);

  return (struct kcp_topic_read){
    .sent_ns = reader->requested_ns,
    .answered_ns = kcp_loop_now (loop),
    .wait_ns = read_wait_ms (reader) * KCP_NS_PER_MS,
    .empty = answer->records->len == 0,
    .to_end = answer->next == next,
    .stalled = kcp_loop_stalled_since (loop, reader->end.known_ns),
  };
}

/* Applies the records of an answer and appends those that change something to changes,
   which may be NULL. */
static void
apply_all (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer,
           GArray *changes)
{
  bool reading = reader->state == KCP_FEED_READING;

  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (answer->records, struct kcp_store_record, i);

      if (reading && record->offset < reader->next)
        continue;
      if (reader->apply (reader->feed, record) && changes != NULL)
        g_array_append_val (changes, *record);
    }
  if (answer->records->len > 0)
    reader->feed->changed (reader->feed->user);
}

/* Records the listed keys: the last one, after which the next page begins, and all of
   them, since servers that are not listed are removed. */
static void
record_keys (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (answer->records, struct kcp_store_record, i);

      g_free (reader->last_key);
      reader->last_key = kcp_str_dup (record->key);
      g_hash_table_add (reader->listed, kcp_str_dup (record->key));
    }
}

/* Returns the time before which a listed record was not written. The first listing does
   not show it. Half of the time for which replaced weights may be used is assumed to have
   passed then, so that new ones can be loaded before callers are refused. */
static int64_t
listed_not_before_ns (const struct kcp_feed_reader *reader)
{
  const struct kcp_gateway *gateway = reader->feed->gateway;
  int64_t half_ns = gateway->settings->weights_replace_ms * KCP_NS_PER_MS / 2;

  return reader->first_listing ? kcp_loop_now (gateway->loop) - half_ns
                               : reader->end.known_ns;
}

/* Switches from listing to reading. Reading begins at the end that the topic had when the
   listing began, so records written during the listing are read again. */
static void
end_listing (struct kcp_feed_reader *reader)
{
  if (reader->topic == KCP_STORE_SERVERS)
    {
      kcp_feed_remove_unlisted (reader->feed, reader->listed);
      reader->feed->lists_copy = false;
    }
  reader->state = KCP_FEED_READING;
  reader->next = reader->listed_end;
  reader->first_listing = false;
  kcp_topic_end_on_read (&reader->end, &(struct kcp_topic_read){
                                           .sent_ns = reader->listing_ns,
                                           .answered_ns = reader->listing_ns,
                                           .to_end = true,
                                       });
}

static void
start_listing (struct kcp_feed_reader *reader)
{
  reader->state = KCP_FEED_LISTING;
  g_clear_pointer (&reader->last_key, g_free);
  g_hash_table_remove_all (reader->listed);
}

/* Lists both topics again after the store came back from an older copy: reading on would
   miss what has been written below the next offset. Entries that the copy lacks are
   written again by the servers that live. */
static void
on_new_era (void *user, int64_t era)
{
  struct kcp_feed *feed = user;
  int64_t now = kcp_loop_now (feed->gateway->loop);

  (void)era;
  kcp_entry_expiry_on_new_era (&feed->entry_expiry, now);
  kcp_servers_forget_offsets (feed->gateway->servers);
  kcp_topic_end_on_new_era (&feed->operators.end, now + feed->entry_expiry.grace_ns);
  feed->lists_copy = true;
  list_again (&feed->operators);
  list_again (&feed->servers);
}

static void
list_again (struct kcp_feed_reader *reader)
{
  start_listing (reader);
  if (reader->request_pending)
    return; /* its answer fails, and the next request lists */
  kcp_loop_timer_cancel (&reader->timer);
  kcp_feed_request (reader);
}

/* Records the outcome of a call, and logs the start and the end of an outage. */
static void
record_outcome (struct kcp_feed_reader *reader, const struct kcp_store_answer *answer)
{
  struct kcp_feed *feed = reader->feed;
  int64_t now = kcp_loop_now (feed->gateway->loop);
  bool answered = answer->end != KCP_STORE_FAILED;
  int64_t since = feed->entry_expiry.failing_since_ns;

  kcp_histogram_add (KCP_HISTOGRAM_STORE, now - reader->requested_ns);
  if (!answered)
    kcp_counter_add (KCP_COUNT_LOG_ERRORS, 1);
  if (!kcp_entry_expiry_on_store_call (&feed->entry_expiry, answered, now))
    return;
  if (answered)
    KCP_LOG ("store_regained", KCP_LOG_INT ("away_ms", (now - since) / KCP_NS_PER_MS));
  else
    KCP_LOG ("store_lost", KCP_LOG_INT ("topic", reader->topic),
             KCP_LOG_TEXT ("reason", answer->reason));
}

static void
schedule_request (struct kcp_feed_reader *reader)
{
  struct kcp_loop *loop = reader->feed->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  int64_t wait_ms = reader->topic == KCP_STORE_OPERATOR
                        ? MIN_READ_INTERVAL_MS
                        : kcp_feed_servers_interval_ms (reader->feed);
  /* The interval counts from the start of the request, so that a long poll that the store
     held open is repeated immediately. */
  int64_t due = reader->requested_ns + wait_ms * KCP_NS_PER_MS;

  if (reader->topic == KCP_STORE_SERVERS && kcp_feed_has_waiters (reader->feed))
    due = now;
  kcp_loop_timer_set (loop, &reader->timer, MAX (due, now), kcp_feed_request, reader);
}

static void
schedule_retry (struct kcp_feed_reader *reader)
{
  struct kcp_loop *loop = reader->feed->gateway->loop;
  int64_t wait_ms = RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS);

  kcp_loop_timer_set (loop, &reader->timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS,
                      kcp_feed_request, reader);
}
