#include "backend/orders.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "backend/order_report.h"
#include "base/logger.h"
#include "logstore/http_call.h"

#define SEND_MARGIN_MS  200 /* of a lease, kept free for the order to arrive */
#define LAPSE_MARGIN_MS 500 /* an observer waits so much longer than the holder */
#define JITTER_MS       100 /* spreads the grants of the VMs of a data center */

/* A grant as this VM follows it. */
struct followed_grant
{
  uint64_t offset;
  int64_t seen_ns;  /* monotonic; when this VM read the grant */
  int64_t until_ns; /* monotonic; end of the lease, if it is this VM's own */
  bool own;
};

struct kcp_orders
{
  struct kcp_orders_options options;
  char *vm;
  pthread_t thread;
  pthread_mutex_t lock; /* guards state */
  struct kcp_order_state *state;
  GHashTable *followed; /* engine, struct followed_grant; the thread only */
  int stopping;
};

static void *run (void *user);
static void read_log (struct kcp_orders *orders);
static void apply (struct kcp_orders *orders, const struct kcp_log_batch *batch);
static void start_over (struct kcp_orders *orders);
static void visit (struct kcp_orders *orders, const struct kcp_backend_view *view);
static bool copy_facts (struct kcp_orders *orders, const char *engine,
                        struct kcp_order_want *want, struct kcp_order_grant *grant);
static void clear_facts (struct kcp_order_want *want, struct kcp_order_grant *grant);
static void follow (struct kcp_orders *orders, const struct kcp_order_grant *grant);
static void ask_for_grant (struct kcp_orders *orders, const struct kcp_order_want *want);
static void
carry_out (struct kcp_orders *orders, const struct kcp_backend_view *view,
           const struct kcp_order_want *want, const struct kcp_order_grant *grant,
           const struct kcp_order_report *report);
static void observe (struct kcp_orders *orders, const struct kcp_order_grant *grant,
                     const struct kcp_order_report *report);
static void
send_order (struct kcp_orders *orders, const struct kcp_backend_view *view,
            const struct kcp_order_want *want, const struct kcp_order_grant *grant);
static void close_grant (struct kcp_orders *orders, const char *op,
                         const struct kcp_order_grant *grant);

/* Starts the thread that follows the stream of orders. Everything in options outlives it.
 */
struct kcp_orders *
kcp_orders_start (const struct kcp_orders_options *options)
{
  struct kcp_orders *orders = g_new0 (struct kcp_orders, 1);

  orders->options = *options;
  orders->vm = g_strdup (options->vm);
  pthread_mutex_init (&orders->lock, NULL);
  orders->state = kcp_order_state_new (options->limit);
  orders->followed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pthread_create (&orders->thread, NULL, run, orders);
  return orders;
}

/* Stops the thread and frees it; NULL is allowed. */
void
kcp_orders_stop (struct kcp_orders *orders)
{
  if (orders == NULL)
    return;
  ck_pr_store_int (&orders->stopping, 1);
  pthread_join (orders->thread, NULL);
  kcp_order_state_free (orders->state);
  g_hash_table_unref (orders->followed);
  pthread_mutex_destroy (&orders->lock);
  g_free (orders->vm);
  g_free (orders);
}

/* Appends what an operator wants of an engine and gives the offset of the record. Blocks.
 */
bool
kcp_orders_want (struct kcp_orders *orders, const char *engine, const char *weights,
                 const char *role, uint64_t *offset, struct kcp_error *error)
{
  json_t *record = kcp_order_make_want (engine, weights, role);
  bool done = kcp_platform_log_append (orders->options.log, KCP_ORDER_STREAM, record,
                                       offset, error);

  json_decref (record);
  return done;
}

/* Returns all wants with their grants as a new JSON array. */
json_t *
kcp_orders_to_json (struct kcp_orders *orders)
{
  json_t *list;

  pthread_mutex_lock (&orders->lock);
  list = kcp_order_state_to_json (orders->state);
  pthread_mutex_unlock (&orders->lock);
  return list;
}

static void *
run (void *user)
{
  struct kcp_orders *orders = user;

  while (!ck_pr_load_int (&orders->stopping))
    {
      g_autoptr (GArray) views = NULL;

      read_log (orders);
      views = kcp_registry_view (orders->options.registry, KCP_MEMBER_ENGINE);
      for (guint i = 0; i < views->len && !ck_pr_load_int (&orders->stopping); i++)
        visit (orders, &g_array_index (views, struct kcp_backend_view, i));
    }
  return NULL;
}

static void
read_log (struct kcp_orders *orders)
{
  struct kcp_log_batch batch;
  struct kcp_error error;

  if (kcp_platform_log_read (orders->options.log, KCP_ORDER_STREAM,
                             kcp_order_state_next_offset (orders->state),
                             orders->options.poll_ms, &batch, &error))
    {
      if (batch.next < kcp_order_state_next_offset (orders->state))
        start_over (orders);
      else
        apply (orders, &batch);
      kcp_log_batch_clear (&batch);
      return;
    }
  if (error.code == KCP_ERR_TRIMMED)
    {
      pthread_mutex_lock (&orders->lock);
      kcp_order_state_skip_to (orders->state, batch.first);
      pthread_mutex_unlock (&orders->lock);
    }
  g_usleep ((gulong)(orders->options.poll_ms * G_TIME_SPAN_MILLISECOND));
}

static void
apply (struct kcp_orders *orders, const struct kcp_log_batch *batch)
{
  json_t *item;
  size_t i;

  pthread_mutex_lock (&orders->lock);
  json_array_foreach (batch->records, i, item) kcp_order_state_apply (
      orders->state, (uint64_t)json_integer_value (json_object_get (item, "offset")),
      json_object_get (item, "record"));
  pthread_mutex_unlock (&orders->lock);
}

/* Forgets everything, to read a log that was put back shorter from its start. */
static void
start_over (struct kcp_orders *orders)
{
  pthread_mutex_lock (&orders->lock);
  kcp_order_state_free (orders->state);
  orders->state = kcp_order_state_new (orders->options.limit);
  pthread_mutex_unlock (&orders->lock);
  g_hash_table_remove_all (orders->followed);
}

/* Does what is next for one engine of this VM's data center. An engine that reports what
   is wanted costs nothing here. */
static void
visit (struct kcp_orders *orders, const struct kcp_backend_view *view)
{
  struct kcp_order_want want;
  struct kcp_order_grant grant;
  struct kcp_order_report report;

  if (view->backend->data_center != orders->options.data_center
      || !copy_facts (orders, view->backend->id, &want, &grant))
    return;
  if (grant.offset != KCP_ORDER_NONE
      || g_strcmp0 (want.weights ? want.weights : view->report.weights,
                    view->report.weights)
             != 0
      || want.role != NULL)
    {
      report = kcp_order_report_read (view->backend->url, orders->options.timeout_ms);
      if (grant.offset == KCP_ORDER_NONE)
        {
          if (report.reachable && !kcp_order_report_meets (&report, &want))
            ask_for_grant (orders, &want);
        }
      else
        {
          follow (orders, &grant);
          carry_out (orders, view, &want, &grant, &report);
        }
    }
  clear_facts (&want, &grant);
}

/* Copies want and open grant of an engine, so that no lock is held during calls; false if
   nothing is wanted of it. */
static bool
copy_facts (struct kcp_orders *orders, const char *engine, struct kcp_order_want *want,
            struct kcp_order_grant *grant)
{
  const struct kcp_order_want *held;
  const struct kcp_order_grant *open;

  *grant = (struct kcp_order_grant){ .offset = KCP_ORDER_NONE };
  pthread_mutex_lock (&orders->lock);
  held = kcp_order_state_want (orders->state, engine);
  open = kcp_order_state_grant (orders->state, engine);
  if (held != NULL)
    {
      *want = *held;
      want->engine = g_strdup (held->engine);
      want->weights = g_strdup (held->weights);
      want->role = g_strdup (held->role);
    }
  if (held != NULL && open != NULL)
    {
      *grant = *open;
      grant->engine = g_strdup (open->engine);
      grant->vm = g_strdup (open->vm);
    }
  pthread_mutex_unlock (&orders->lock);
  return held != NULL;
}

static void
clear_facts (struct kcp_order_want *want, struct kcp_order_grant *grant)
{
  g_free (want->engine);
  g_free (want->weights);
  g_free (want->role);
  g_free (grant->engine);
  g_free (grant->vm);
}

/* Starts to follow a grant that this VM did not ask for. The lease of its own grants was
   noted before they were appended. */
static void
follow (struct kcp_orders *orders, const struct kcp_order_grant *grant)
{
  struct followed_grant *followed = g_hash_table_lookup (orders->followed, grant->engine);

  if (followed != NULL && (followed->offset == grant->offset || followed->own))
    return;
  followed = g_new0 (struct followed_grant, 1);
  followed->offset = grant->offset;
  followed->seen_ns = kcp_clock_monotonic_ns (orders->options.clock);
  g_hash_table_insert (orders->followed, g_strdup (grant->engine), followed);
}

/* Appends a grant if one could hold. The lease is counted from before the append, so that
   it ends for the holder before it ends for any observer. */
static void
ask_for_grant (struct kcp_orders *orders, const struct kcp_order_want *want)
{
  struct followed_grant *followed;
  char id[KCP_ID_LEN + 1];
  int64_t before_ns;
  uint64_t offset;
  json_t *record;
  bool may;

  g_usleep ((gulong)((kcp_id_random_u64 () % JITTER_MS) * G_TIME_SPAN_MILLISECOND));
  read_log (orders);
  pthread_mutex_lock (&orders->lock);
  may = kcp_order_state_may_grant (orders->state, want->engine);
  pthread_mutex_unlock (&orders->lock);
  if (!may)
    return;
  kcp_id_random (id);
  before_ns = kcp_clock_monotonic_ns (orders->options.clock);
  record = kcp_order_make_grant (want->engine, want->offset, orders->vm, id,
                                 orders->options.lease_ms);
  if (kcp_platform_log_append (orders->options.log, KCP_ORDER_STREAM, record, &offset,
                               NULL))
    {
      followed = g_new0 (struct followed_grant, 1);
      followed->offset = offset;
      followed->own = true;
      followed->seen_ns = before_ns;
      followed->until_ns
          = before_ns + (orders->options.lease_ms - SEND_MARGIN_MS) * KCP_NS_PER_MS;
      g_hash_table_insert (orders->followed, g_strdup (want->engine), followed);
    }
  json_decref (record);
}

static void
carry_out (struct kcp_orders *orders, const struct kcp_backend_view *view,
           const struct kcp_order_want *want, const struct kcp_order_grant *grant,
           const struct kcp_order_report *report)
{
  const struct followed_grant *followed
      = g_hash_table_lookup (orders->followed, grant->engine);

  if (kcp_order_report_meets (report, want))
    close_grant (orders, "done", grant);
  else if (followed != NULL && followed->own && followed->offset == grant->offset)
    {
      if (report->reachable && !report->loading && grant->want == want->offset)
        send_order (orders, view, want, grant);
      else if (grant->want != want->offset && !report->loading)
        close_grant (orders, "lapse", grant);
      else if (kcp_clock_monotonic_ns (orders->options.clock) >= followed->until_ns)
        observe (orders, grant, report);
    }
  else
    observe (orders, grant, report);
}

/* Closes a grant whose holder can no longer act on it, once its engine is not loading. */
static void
observe (struct kcp_orders *orders, const struct kcp_order_grant *grant,
         const struct kcp_order_report *report)
{
  struct followed_grant *followed = g_hash_table_lookup (orders->followed, grant->engine);
  int64_t waited_ns;

  if (followed == NULL || followed->offset != grant->offset)
    {
      g_hash_table_remove (orders->followed, grant->engine);
      follow (orders, grant);
      return;
    }
  waited_ns = kcp_clock_monotonic_ns (orders->options.clock) - followed->seen_ns;
  if (!report->loading && waited_ns > (grant->lease_ms + LAPSE_MARGIN_MS) * KCP_NS_PER_MS)
    close_grant (orders, "lapse", grant);
}

/* Sends an order if the lease still allows it. The check comes last before the call,
   since the process may have been paused at any point before. */
static void
send_order (struct kcp_orders *orders, const struct kcp_backend_view *view,
            const struct kcp_order_want *want, const struct kcp_order_grant *grant)
{
  const struct followed_grant *followed
      = g_hash_table_lookup (orders->followed, grant->engine);
  g_autofree char *url = g_strconcat (view->backend->url, "/orders", NULL);
  json_t *body = json_pack ("{sIss*ss*}", "fencing", (json_int_t)grant->offset, "weights",
                            want->weights, "role", want->role);
  struct kcp_http_call call = {
    .method = "POST",
    .url = url,
    .body = body,
    .timeout_ms = SEND_MARGIN_MS,
  };
  struct kcp_http_answer answer = { 0 };

  if (kcp_clock_monotonic_ns (orders->options.clock) < followed->until_ns
      && kcp_http_call_run (&call, &answer, NULL))
    {
      g_autofree char *status = g_strdup_printf ("%ld", answer.status);

      kcp_timeline_add (orders->options.timeline, KCP_EVENT_ORDER, NULL, grant->engine,
                        (int64_t)grant->offset);
      kcp_logger_write (G_LOG_LEVEL_MESSAGE, "order_sent", "peer", grant->engine,
                        "status", status, NULL);
      kcp_http_answer_clear (&answer);
    }
  json_decref (body);
}

static void
close_grant (struct kcp_orders *orders, const char *op,
             const struct kcp_order_grant *grant)
{
  json_t *record = kcp_order_make_close (op, grant->engine, grant->offset);
  uint64_t offset;

  if (kcp_platform_log_append (orders->options.log, KCP_ORDER_STREAM, record, &offset,
                               NULL))
    g_hash_table_remove (orders->followed, grant->engine);
  json_decref (record);
}
