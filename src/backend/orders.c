#include "backend/orders.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "backend/order_report.h"
#include "base/logger.h"
#include "logstore/http_call.h"

#define SEND_MARGIN_MS  200 /* end of a lease that is reserved to deliver an order */
#define LAPSE_MARGIN_MS 500 /* VMs close a grant this long after the holder's lease */
#define JITTER_MAX_MS   100 /* spreads the grants of the VMs of a data center */

/* An open grant, with the times that determine what this VM may do with it. */
struct tracked_grant
{
  uint64_t offset;
  int64_t first_seen_ns; /* monotonic; when it was read or, if own, its append began */
  int64_t lease_end_ns;  /* monotonic; orders are sent only before it; 0 if not own */
  bool own;              /* this VM appended the grant */
};

struct kcp_orders
{
  struct kcp_orders_options options;
  char *vm;
  pthread_t thread;
  pthread_mutex_t lock; /* guards state */
  struct kcp_order_state *state;
  GHashTable *tracked; /* engine -> struct tracked_grant; accessed only by the thread */
  int stopping;
};

static void *run (void *user);
static void poll_log (struct kcp_orders *orders);
static void apply_batch (struct kcp_orders *orders, const struct kcp_log_batch *batch);
static void reset_state (struct kcp_orders *orders);
static void
process_engine (struct kcp_orders *orders, const struct kcp_backend_view *view);
static bool
copy_engine_state (struct kcp_orders *orders, const char *engine,
                   struct kcp_order_desired *desired, struct kcp_order_grant *grant);
static void
clear_engine_state (struct kcp_order_desired *desired, struct kcp_order_grant *grant);
static void track_grant (struct kcp_orders *orders, const struct kcp_order_grant *grant);
static void
request_grant (struct kcp_orders *orders, const struct kcp_order_desired *desired);
static void
act_on_grant (struct kcp_orders *orders, const struct kcp_backend_view *view,
              const struct kcp_order_desired *desired,
              const struct kcp_order_grant *grant, const struct kcp_order_report *report);
static void
close_if_expired (struct kcp_orders *orders, const struct kcp_order_grant *grant,
                  const struct kcp_order_report *report);
static void
send_order (struct kcp_orders *orders, const struct kcp_backend_view *view,
            const struct kcp_order_desired *desired, const struct kcp_order_grant *grant);
static void close_grant (struct kcp_orders *orders, const char *op,
                         const struct kcp_order_grant *grant);

/* Starts the thread that reads the stream of orders and acts on it. The objects in
   options must outlive the thread. */
struct kcp_orders *
kcp_orders_start (const struct kcp_orders_options *options)
{
  struct kcp_orders *orders = g_new0 (struct kcp_orders, 1);

  orders->options = *options;
  orders->vm = g_strdup (options->vm);
  pthread_mutex_init (&orders->lock, NULL);
  orders->state = kcp_order_state_new (options->max_loading);
  orders->tracked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pthread_create (&orders->thread, NULL, run, orders);
  return orders;
}

/* Stops the thread and frees orders. NULL is allowed. */
void
kcp_orders_stop (struct kcp_orders *orders)
{
  if (orders == NULL)
    return;
  ck_pr_store_int (&orders->stopping, 1);
  pthread_join (orders->thread, NULL);
  kcp_order_state_free (orders->state);
  g_hash_table_unref (orders->tracked);
  pthread_mutex_destroy (&orders->lock);
  g_free (orders->vm);
  g_free (orders);
}

/* Appends a desired state for an engine to the log and stores the offset of the record.
   Returns false and sets error if the append fails. Blocks. */
bool
kcp_orders_set_desired (struct kcp_orders *orders, const char *engine,
                        const char *weights, const char *role, uint64_t *offset,
                        struct kcp_error *error)
{
  json_t *record = kcp_order_make_desired (engine, weights, role);
  bool appended = kcp_platform_log_append (orders->options.log, KCP_ORDER_STREAM, record,
                                           offset, error);

  json_decref (record);
  return appended;
}

/* Returns all desired states with their grants as a new JSON array. */
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

      poll_log (orders);
      views = kcp_registry_view (orders->options.registry, KCP_MEMBER_ENGINE);
      for (guint i = 0; i < views->len && !ck_pr_load_int (&orders->stopping); i++)
        process_engine (orders, &g_array_index (views, struct kcp_backend_view, i));
    }
  return NULL;
}

/* Applies the next records of the stream. Waits up to poll_ms milliseconds for the first
   one, and as long after a failed read. */
static void
poll_log (struct kcp_orders *orders)
{
  struct kcp_log_batch batch;
  struct kcp_error error;

  if (kcp_platform_log_read (orders->options.log, KCP_ORDER_STREAM,
                             kcp_order_state_next_offset (orders->state),
                             orders->options.poll_ms, &batch, &error))
    {
      if (batch.next < kcp_order_state_next_offset (orders->state))
        reset_state (orders);
      else
        apply_batch (orders, &batch);
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
apply_batch (struct kcp_orders *orders, const struct kcp_log_batch *batch)
{
  json_t *item;
  size_t i;

  pthread_mutex_lock (&orders->lock);
  json_array_foreach (batch->records, i, item) kcp_order_state_apply (
      orders->state, (uint64_t)json_integer_value (json_object_get (item, "offset")),
      json_object_get (item, "record"));
  pthread_mutex_unlock (&orders->lock);
}

/* Discards the state so that the log is read again from its start. Used when the log has
   become shorter, as after a restore. */
static void
reset_state (struct kcp_orders *orders)
{
  pthread_mutex_lock (&orders->lock);
  kcp_order_state_free (orders->state);
  orders->state = kcp_order_state_new (orders->options.max_loading);
  pthread_mutex_unlock (&orders->lock);
  g_hash_table_remove_all (orders->tracked);
}

/* Takes the next step for one engine of this VM's data center. An engine whose last load
   report shows the desired weights is not queried, unless it has an open grant or a
   desired role, which the registry does not record. */
static void
process_engine (struct kcp_orders *orders, const struct kcp_backend_view *view)
{
  struct kcp_order_desired desired;
  struct kcp_order_grant grant;
  struct kcp_order_report report;

  if (view->backend->data_center != orders->options.data_center
      || !copy_engine_state (orders, view->backend->id, &desired, &grant))
    return;
  if (grant.offset != KCP_ORDER_NONE
      || g_strcmp0 (desired.weights ? desired.weights : view->report.weights,
                    view->report.weights)
             != 0
      || desired.role != NULL)
    {
      report = kcp_order_report_fetch (view->backend->url, orders->options.timeout_ms);
      if (grant.offset == KCP_ORDER_NONE)
        {
          if (report.reachable && !kcp_order_report_meets (&report, &desired))
            request_grant (orders, &desired);
        }
      else
        {
          track_grant (orders, &grant);
          act_on_grant (orders, view, &desired, &grant, &report);
        }
    }
  clear_engine_state (&desired, &grant);
}

/* Copies the desired state and the open grant of an engine, so that no lock is held
   during calls. Returns false if the engine has no desired state. */
static bool
copy_engine_state (struct kcp_orders *orders, const char *engine,
                   struct kcp_order_desired *desired, struct kcp_order_grant *grant)
{
  const struct kcp_order_desired *current;
  const struct kcp_order_grant *open_grant;

  *grant = (struct kcp_order_grant){ .offset = KCP_ORDER_NONE };
  pthread_mutex_lock (&orders->lock);
  current = kcp_order_state_desired (orders->state, engine);
  open_grant = kcp_order_state_grant (orders->state, engine);
  if (current != NULL)
    {
      *desired = *current;
      desired->engine = g_strdup (current->engine);
      desired->weights = g_strdup (current->weights);
      desired->role = g_strdup (current->role);
    }
  if (current != NULL && open_grant != NULL)
    {
      *grant = *open_grant;
      grant->engine = g_strdup (open_grant->engine);
      grant->vm = g_strdup (open_grant->vm);
    }
  pthread_mutex_unlock (&orders->lock);
  return current != NULL;
}

static void
clear_engine_state (struct kcp_order_desired *desired, struct kcp_order_grant *grant)
{
  g_free (desired->engine);
  g_free (desired->weights);
  g_free (desired->role);
  g_free (grant->engine);
  g_free (grant->vm);
}

/* Starts tracking a grant of another VM. request_grant() has already tracked the grants
   of this VM, with a lease that starts before the append. */
static void
track_grant (struct kcp_orders *orders, const struct kcp_order_grant *grant)
{
  struct tracked_grant *tracked = g_hash_table_lookup (orders->tracked, grant->engine);

  if (tracked != NULL && (tracked->offset == grant->offset || tracked->own))
    return;
  tracked = g_new0 (struct tracked_grant, 1);
  tracked->offset = grant->offset;
  tracked->first_seen_ns = kcp_clock_monotonic_ns (orders->options.clock);
  g_hash_table_insert (orders->tracked, g_strdup (grant->engine), tracked);
}

/* Appends a grant if it could take effect. The lease is counted from before the append,
   so that it expires for the holder before it expires for any other VM. */
static void
request_grant (struct kcp_orders *orders, const struct kcp_order_desired *desired)
{
  struct tracked_grant *tracked;
  char id[KCP_ID_LEN + 1];
  int64_t append_started_ns;
  uint64_t offset;
  json_t *record;
  bool allowed;

  g_usleep ((gulong)((kcp_id_random_u64 () % JITTER_MAX_MS) * G_TIME_SPAN_MILLISECOND));
  poll_log (orders);
  pthread_mutex_lock (&orders->lock);
  allowed = kcp_order_state_may_grant (orders->state, desired->engine);
  pthread_mutex_unlock (&orders->lock);
  if (!allowed)
    return;
  kcp_id_random (id);
  append_started_ns = kcp_clock_monotonic_ns (orders->options.clock);
  record = kcp_order_make_grant (desired->engine, desired->offset, orders->vm, id,
                                 orders->options.lease_ms);
  if (kcp_platform_log_append (orders->options.log, KCP_ORDER_STREAM, record, &offset,
                               NULL))
    {
      tracked = g_new0 (struct tracked_grant, 1);
      tracked->offset = offset;
      tracked->own = true;
      tracked->first_seen_ns = append_started_ns;
      tracked->lease_end_ns
          = append_started_ns
            + (orders->options.lease_ms - SEND_MARGIN_MS) * KCP_NS_PER_MS;
      g_hash_table_insert (orders->tracked, g_strdup (desired->engine), tracked);
    }
  json_decref (record);
}

/* Takes the next step for an engine with an open grant. If the engine reports the desired
   state, any VM of the data center closes the grant as done. Otherwise the VM that
   appended the grant sends the order, or closes the grant if it refers to an earlier
   desired state. After the end of the lease the other VMs close the grant; the VM that
   appended it does so only if the engine cannot be reached. */
static void
act_on_grant (struct kcp_orders *orders, const struct kcp_backend_view *view,
              const struct kcp_order_desired *desired,
              const struct kcp_order_grant *grant, const struct kcp_order_report *report)
{
  const struct tracked_grant *tracked
      = g_hash_table_lookup (orders->tracked, grant->engine);

  if (kcp_order_report_meets (report, desired))
    close_grant (orders, "done", grant);
  else if (tracked != NULL && tracked->own && tracked->offset == grant->offset)
    {
      if (report->reachable && !report->loading && grant->desired == desired->offset)
        send_order (orders, view, desired, grant);
      else if (grant->desired != desired->offset && !report->loading)
        close_grant (orders, "lapse", grant);
      else if (kcp_clock_monotonic_ns (orders->options.clock) >= tracked->lease_end_ns)
        close_if_expired (orders, grant, report);
    }
  else
    close_if_expired (orders, grant, report);
}

/* Closes a grant LAPSE_MARGIN_MS after its lease has ended, unless its engine is loading.
   If the grant is not tracked yet, starts to track it instead. */
static void
close_if_expired (struct kcp_orders *orders, const struct kcp_order_grant *grant,
                  const struct kcp_order_report *report)
{
  struct tracked_grant *tracked = g_hash_table_lookup (orders->tracked, grant->engine);
  int64_t age_ns;

  if (tracked == NULL || tracked->offset != grant->offset)
    {
      g_hash_table_remove (orders->tracked, grant->engine);
      track_grant (orders, grant);
      return;
    }
  age_ns = kcp_clock_monotonic_ns (orders->options.clock) - tracked->first_seen_ns;
  if (!report->loading && age_ns > (grant->lease_ms + LAPSE_MARGIN_MS) * KCP_NS_PER_MS)
    close_grant (orders, "lapse", grant);
}

/* Sends an order if the lease has not expired. This check directly precedes the call,
   since the process may have been paused at any point before. */
static void
send_order (struct kcp_orders *orders, const struct kcp_backend_view *view,
            const struct kcp_order_desired *desired, const struct kcp_order_grant *grant)
{
  const struct tracked_grant *tracked
      = g_hash_table_lookup (orders->tracked, grant->engine);
  g_autofree char *url = g_strconcat (view->backend->url, "/orders", NULL);
  json_t *body = json_pack ("{sIss*ss*}", "fencing", (json_int_t)grant->offset, "weights",
                            desired->weights, "role", desired->role);
  struct kcp_http_call call = {
    .method = "POST",
    .url = url,
    .body = body,
    .timeout_ms = SEND_MARGIN_MS,
  };
  struct kcp_http_answer answer = { 0 };

  if (kcp_clock_monotonic_ns (orders->options.clock) < tracked->lease_end_ns
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
    g_hash_table_remove (orders->tracked, grant->engine);
  json_decref (record);
}
