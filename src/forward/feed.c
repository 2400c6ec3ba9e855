#include "forward/feed_private.h"

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "base/id.h"

#define RETRY_MS        250 /* after a call that failed, and up to as much again */
#define LEAST_OUTAGE_NS (2 * KCP_NS_PER_S)
#define EMPTY_READ_MS   50 /* after an answer that came at once without a record */

static void
follow_init (struct kcp_feed *feed, struct kcp_follow *follow, enum kcp_store_topic topic,
             bool (*apply) (struct kcp_feed *feed,
                            const struct kcp_store_record *record));
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void on_read (void *user, const struct kcp_store_answer *answer);
static void apply_all (struct kcp_follow *follow, const struct kcp_store_answer *answer,
                       GArray *news);
static void take_read (struct kcp_follow *follow, const struct kcp_store_answer *answer);
static void
remember_keys (struct kcp_follow *follow, const struct kcp_store_answer *answer);
static void end_listing (struct kcp_follow *follow);
static void start_listing (struct kcp_follow *follow);
static void
note_outcome (struct kcp_follow *follow, const struct kcp_store_answer *answer);
static void ask_again (struct kcp_follow *follow);
static void retry (struct kcp_follow *follow);
static bool apply_operator (struct kcp_feed *feed, const struct kcp_store_record *record);
static void remove_unlisted (struct kcp_feed *feed, GHashTable *listed);
static void on_gone_due (void *user);
static void
log_unread (const char *what, const struct kcp_store_record *record, const char *why);

/* Starts following; gateway and store must outlive the feed. */
struct kcp_feed *
kcp_feed_start (struct kcp_gateway *gateway, const struct kcp_store *store,
                kcp_feed_changed *changed, void *user)
{
  struct kcp_feed *feed = g_new0 (struct kcp_feed, 1);

  feed->gateway = gateway;
  feed->store = store;
  feed->changed = changed;
  feed->user = user;
  feed->lapse.least_outage_ns = LEAST_OUTAGE_NS;
  feed->lapse.hold_ns = gateway->settings->servers_expiry_grace_ms * KCP_NS_PER_MS;
  follow_init (feed, &feed->operator_, KCP_STORE_OPERATOR, apply_operator);
  follow_init (feed, &feed->servers, KCP_STORE_SERVERS, kcp_feed_apply_server);
  kcp_follow_ask (&feed->operator_);
  kcp_follow_ask (&feed->servers);
  kcp_feed_start_relay (feed);
  return feed;
}

/* Stops following and frees the feed, once the client of the store has ended its calls;
   NULL is allowed. */
void
kcp_feed_stop (struct kcp_feed *feed)
{
  if (feed == NULL)
    return;
  kcp_feed_stop_relay (feed);
  kcp_loop_timer_cancel (&feed->operator_.timer);
  kcp_loop_timer_cancel (&feed->servers.timer);
  kcp_loop_timer_cancel (&feed->gone);
  g_hash_table_unref (feed->operator_.listed);
  g_hash_table_unref (feed->servers.listed);
  g_free (feed->operator_.last_key);
  g_free (feed->servers.last_key);
  g_free (feed);
}

static void
follow_init (struct kcp_feed *feed, struct kcp_follow *follow, enum kcp_store_topic topic,
             bool (*apply) (struct kcp_feed *feed, const struct kcp_store_record *record))
{
  follow->feed = feed;
  follow->topic = topic;
  follow->apply = apply;
  follow->first_listing = true;
  follow->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Lists the topic or reads on; the answer sets the timer for the next time. */
void
kcp_follow_ask (void *user)
{
  struct kcp_follow *follow = user;
  const struct kcp_store *store = follow->feed->store;
  const struct kcp_forward_settings *settings = follow->feed->gateway->settings;
  bool waits = follow->topic == KCP_STORE_OPERATOR;

  follow->asked_ns = kcp_loop_now (follow->feed->gateway->loop);
  follow->asked_from = follow->next;
  follow->asking = true;
  switch (follow->state)
    {
    case KCP_FOLLOW_LISTING:
      store->list (store->self, follow->topic, follow->last_key, on_listed, follow);
      break;
    case KCP_FOLLOW_READING:
      store->read (store->self, follow->topic, follow->next,
                   waits ? settings->store_wait_ms : 0, on_read, follow);
      break;
    }
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_follow *follow = user;

  follow->asking = false;
  note_outcome (follow, answer);
  if (answer->end != KCP_STORE_DONE)
    {
      retry (follow);
      return;
    }
  if (follow->last_key == NULL)
    follow->listed_end = answer->next;
  remember_keys (follow, answer);
  apply_all (follow, answer, NULL);
  if (answer->more && follow->last_key != NULL)
    {
      kcp_follow_ask (follow);
      return;
    }
  end_listing (follow);
  ask_again (follow);
}

static void
on_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_follow *follow = user;

  follow->asking = false;
  note_outcome (follow, answer);
  switch (answer->end)
    {
    case KCP_STORE_DONE:
      take_read (follow, answer);
      ask_again (follow);
      break;
    case KCP_STORE_TRIMMED:
      KCP_LOG ("store_trimmed", KCP_LOG_INT ("topic", follow->topic),
               KCP_LOG_INT ("wanted", follow->next), KCP_LOG_INT ("first", answer->next));
      start_listing (follow);
      kcp_follow_ask (follow);
      break;
    case KCP_STORE_MOVED:
    case KCP_STORE_FAILED:
      retry (follow);
      break;
    }
}

/* Another VM may have told of some of the records while the call was under way. */
static void
take_read (struct kcp_follow *follow, const struct kcp_store_answer *answer)
{
  g_autoptr (GArray) news = g_array_new (FALSE, FALSE, sizeof (struct kcp_store_record));
  int64_t next = follow->asked_from + answer->records->len;

  apply_all (follow, answer, news);
  follow->next = MAX (follow->next, next);
  if (follow->topic == KCP_STORE_SERVERS)
    kcp_feed_relay (follow->feed, follow->asked_from, next, news);
}

/* Adds the records that say something new to news, which may be NULL. */
static void
apply_all (struct kcp_follow *follow, const struct kcp_store_answer *answer, GArray *news)
{
  bool reading = follow->state == KCP_FOLLOW_READING;

  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (answer->records, struct kcp_store_record, i);

      if (reading && record->offset < follow->next)
        continue;
      if (follow->apply (follow->feed, record) && news != NULL)
        g_array_append_val (news, *record);
    }
  if (answer->records->len > 0)
    follow->feed->changed (follow->feed->user);
}

static void
remember_keys (struct kcp_follow *follow, const struct kcp_store_answer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (answer->records, struct kcp_store_record, i);

      g_free (follow->last_key);
      follow->last_key = kcp_str_dup (record->key);
      g_hash_table_add (follow->listed, kcp_str_dup (record->key));
    }
}

/* Records that came while the listing was read are read again behind it. */
static void
end_listing (struct kcp_follow *follow)
{
  if (follow->topic == KCP_STORE_SERVERS)
    remove_unlisted (follow->feed, follow->listed);
  follow->state = KCP_FOLLOW_READING;
  follow->next = follow->listed_end;
  follow->first_listing = false;
}

static void
start_listing (struct kcp_follow *follow)
{
  follow->state = KCP_FOLLOW_LISTING;
  g_clear_pointer (&follow->last_key, g_free);
  g_hash_table_remove_all (follow->listed);
}

static void
note_outcome (struct kcp_follow *follow, const struct kcp_store_answer *answer)
{
  struct kcp_feed *feed = follow->feed;
  int64_t now = kcp_loop_now (feed->gateway->loop);
  bool answered = answer->end != KCP_STORE_FAILED;
  int64_t since = feed->lapse.failing_since_ns;

  kcp_histogram_add (KCP_HISTOGRAM_STORE, now - follow->asked_ns);
  if (!answered)
    kcp_counter_add (KCP_COUNT_LOG_ERRORS, 1);
  if (!kcp_lapse_note (&feed->lapse, answered, now))
    return;
  if (answered)
    KCP_LOG ("store_regained", KCP_LOG_INT ("away_ms", (now - since) / KCP_NS_PER_MS));
  else
    KCP_LOG ("store_lost", KCP_LOG_INT ("topic", follow->topic),
             KCP_LOG_TEXT ("reason", answer->reason));
}

static void
ask_again (struct kcp_follow *follow)
{
  struct kcp_loop *loop = follow->feed->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  int64_t wait_ms = follow->topic == KCP_STORE_OPERATOR
                        ? EMPTY_READ_MS
                        : kcp_feed_servers_wait_ms (follow->feed);
  /* The pause counts from the question, so that a held one is asked again at once. */
  int64_t due = follow->asked_ns + wait_ms * KCP_NS_PER_MS;

  kcp_loop_timer_set (loop, &follow->timer, MAX (due, now), kcp_follow_ask, follow);
}

static void
retry (struct kcp_follow *follow)
{
  struct kcp_loop *loop = follow->feed->gateway->loop;
  int64_t wait_ms = RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS);

  kcp_loop_timer_set (loop, &follow->timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS,
                      kcp_follow_ask, follow);
}

static bool
apply_operator (struct kcp_feed *feed, const struct kcp_store_record *record)
{
  struct kcp_gateway *gateway = feed->gateway;
  int64_t now = kcp_loop_now (gateway->loop);
  struct kcp_operator_record content = { .kind = KCP_OPERATOR_OTHER };
  const char *why = NULL;

  if (record->value.len == 0)
    return false;
  if (!gateway->dialect->read_operator (record->key, record->value, &content, &why))
    {
      log_unread ("operator_record", record, why);
      return false;
    }
  switch (content.kind)
    {
    case KCP_OPERATOR_ROUTES:
      (void)kcp_gateway_take_routes (gateway, content.routes);
      break;
    case KCP_OPERATOR_WEIGHTS:
      /* When a version that stood before this process was named is not known. */
      if (feed->operator_.first_listing)
        now -= gateway->settings->weights_replace_ms * KCP_NS_PER_MS / 2;
      kcp_gateway_name_weights (gateway, content.weights.model, content.weights.version,
                                now);
      g_free (content.weights.model);
      break;
    case KCP_OPERATOR_OTHER:
      break;
    }
  return true;
}

/* Takes in a record of the servers' list. Returns false if it says nothing new. */
bool
kcp_feed_apply_server (struct kcp_feed *feed, const struct kcp_store_record *record)
{
  struct kcp_server_entry entry;
  const char *why = NULL;

  if (record->value.len == 0)
    {
      g_autofree char *id = kcp_str_dup (record->key);
      int64_t now = kcp_loop_now (feed->gateway->loop);

      return kcp_feed_remove_server (feed, id, kcp_lapse_gone_at (&feed->lapse, now));
    }
  if (!feed->gateway->dialect->read_server (record->key, record->value, &entry, &why))
    {
      log_unread ("server_entry", record, why);
      return false;
    }
  return kcp_servers_apply (feed->gateway->servers, &entry);
}

/* Takes a server away at at_ns. Returns false if that is not new. */
bool
kcp_feed_remove_server (struct kcp_feed *feed, const char *id, int64_t at_ns)
{
  int64_t now = kcp_loop_now (feed->gateway->loop);
  bool news = kcp_servers_remove (feed->gateway->servers, id, at_ns);

  if (at_ns <= now)
    kcp_servers_remove_due (feed->gateway->servers, now);
  else
    kcp_loop_timer_set (feed->gateway->loop, &feed->gone, at_ns, on_gone_due, feed);
  return news;
}

static void
remove_unlisted (struct kcp_feed *feed, GHashTable *listed)
{
  const GPtrArray *all = kcp_servers_all (feed->gateway->servers);

  for (guint i = all->len; i > 0; i--)
    {
      const struct kcp_server *server = g_ptr_array_index (all, i - 1);

      if (!g_hash_table_contains (listed, server->entry.id))
        {
          g_autofree char *id = g_strdup (server->entry.id);
          int64_t now = kcp_loop_now (feed->gateway->loop);

          (void)kcp_feed_remove_server (feed, id, kcp_lapse_gone_at (&feed->lapse, now));
        }
    }
}

static void
on_gone_due (void *user)
{
  struct kcp_feed *feed = user;

  kcp_servers_remove_due (feed->gateway->servers, kcp_loop_now (feed->gateway->loop));
  feed->changed (feed->user);
}

static void
log_unread (const char *what, const struct kcp_store_record *record, const char *why)
{
  KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", what),
           KCP_LOG_STR ("key", record->key), KCP_LOG_INT ("offset", record->offset),
           KCP_LOG_TEXT ("why", why));
}
