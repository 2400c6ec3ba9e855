/* Sends an order to a server and follows it until the server has the new weights. */
#include <string.h>

#include "base/decision_log.h"
#include "base/histogram.h"
#include "forward/mesh.h"
#include "forward/rollout_private.h"
#include "forward/version_check.h"

#define CONNECT_TIMEOUT_MS 200
#define ORDER_TIMEOUT_MS   400
/* The loading time that is announced to the other VMs. */
#define ANNOUNCED_LOADING_MS 1300
/* Loading takes about a second, so an earlier report would not show the outcome. */
#define FIRST_REPORT_DELAY_MS 700
#define REPORT_INTERVAL_MS    100
#define REPORT_TIMEOUT_MS     400
#define REPORT_MAX_BYTES      (1u << 20) /* bytes of one report */
#define REPORT_FAILURES_MAX   3u
/* After this time an order without effect is abandoned, and the server can be sent a new
   one. */
#define ORDER_ABANDON_MS  6000
#define ORDER_TIME_WEIGHT 2 /* inverse weight of a new order in the average time */

static void send_order (struct kcp_rollout_order *order);
static void on_order_done (void *user, const struct kcp_http_result *result);
static void wait_for_report (struct kcp_rollout_order *order, int64_t wait_ms);
static void request_report (void *user);
static bool on_report_data (void *user, struct kcp_str bytes);
static void on_report_done (void *user, const struct kcp_http_result *result);
static void
follow_report (struct kcp_rollout_order *order, const struct kcp_server_report *report);
static void clear_call (struct kcp_rollout_order *order);
static void end_order (struct kcp_rollout_order *order, const char *outcome);

/* Returns the order to this server that is in progress, or NULL. */
struct kcp_rollout_order *
kcp_rollout_find_order (const struct kcp_rollout *rollout,
                        const struct kcp_server *server)
{
  for (guint i = 0; i < rollout->orders->len; i++)
    {
      struct kcp_rollout_order *order = g_ptr_array_index (rollout->orders, i);

      if (order->server == server)
        return order;
    }
  return NULL;
}

/* Starts an order to load the desired weights. An order carries the number of orders that
   the server has accepted, so that the server refuses one that arrives late. If that
   number is not known, the server is asked for a report first. */
void
kcp_rollout_start_order (struct kcp_rollout *rollout, struct kcp_server *server,
                         const struct kcp_desired_weights *desired)
{
  struct kcp_rollout_order *order = g_new0 (struct kcp_rollout_order, 1);

  order->rollout = rollout;
  order->server = kcp_server_ref (server);
  order->model = g_strdup (desired->model);
  order->version = desired->version;
  order->body = g_string_new (NULL);
  order->sent_ns = kcp_loop_now (rollout->gateway->loop);
  g_ptr_array_add (rollout->orders, order);
  if (server->orders_taken < 0)
    request_report (order);
  else
    send_order (order);
}

/* Sends the order if the order lease is valid until the order has arrived. */
static void
send_order (struct kcp_rollout_order *order)
{
  struct kcp_rollout *rollout = order->rollout;
  struct kcp_gateway *gateway = rollout->gateway;
  struct kcp_server *server = order->server;
  struct kcp_order content = {
    .server_id = server->entry.id,
    .model = order->model,
    .version = order->version,
    .orders_taken = server->orders_taken,
    .holder = rollout->lease.own,
    .fence = kcp_order_lease_fencing_token (&rollout->lease),
  };

  order->sent_ns = kcp_loop_now (gateway->loop);
  if (!kcp_order_lease_may_order (&rollout->lease, order->sent_ns))
    {
      end_order (order, "no_right");
      return;
    }
  order->sent = true;
  server->own_loading_until_ns = order->sent_ns + ORDER_ABANDON_MS * KCP_NS_PER_MS;
  server->loading_until_ns = order->sent_ns + ORDER_ABANDON_MS * KCP_NS_PER_MS;
  kcp_mesh_announce_loading (gateway->mesh, server, ANNOUNCED_LOADING_MS);
  kcp_server_limit_take (&server->limit, order->sent_ns);
  gateway->dialect->write_order (&content, &order->control_call);
  KCP_LOG (
      "order_sent", KCP_LOG_TEXT ("server", server->entry.id),
      KCP_LOG_TEXT ("model", order->model), KCP_LOG_INT ("version", order->version),
      KCP_LOG_INT ("orders_taken", content.orders_taken),
      KCP_LOG_INT ("failed_before", kcp_server_failed_orders (server, order->version)),
      KCP_LOG_INT ("left_ms",
                   kcp_gateway_replace_left_ns (gateway, order->model) / KCP_NS_PER_MS),
      KCP_LOG_INT ("fence", content.fence),
      KCP_LOG_INT ("right_left_ms",
                   (rollout->lease.valid_until_ns - order->sent_ns) / KCP_NS_PER_MS));
  order->call = kcp_http_start (gateway->client,
                                &(struct kcp_http_spec){
                                    .method = order->control_call.method,
                                    .address = server->entry.address,
                                    .target = order->control_call.path,
                                    .headers = order->control_call.headers,
                                    .body = kcp_str_from_c (order->control_call.body),
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .total_ms = ORDER_TIMEOUT_MS,
                                    .max_idle_s = gateway->settings->servers_max_idle_s,
                                    .new_connection = true,
                                    .max_body_bytes = REPORT_MAX_BYTES,
                                    .done = on_order_done,
                                    .user = order,
                                });
}

static void
on_order_done (void *user, const struct kcp_http_result *result)
{
  struct kcp_rollout_order *order = user;
  const struct kcp_dialect *dialect = order->rollout->gateway->dialect;
  int64_t now = kcp_loop_now (order->rollout->gateway->loop);
  enum kcp_order_answer answer = result->end == KCP_HTTP_COMPLETE
                                     ? dialect->read_order_answer (result->status)
                                     : KCP_ORDER_UNKNOWN;

  clear_call (order);
  kcp_histogram_add (KCP_HISTOGRAM_ORDER, now - order->sent_ns);
  KCP_LOG ("order_answered", KCP_LOG_TEXT ("server", order->server->entry.id),
           KCP_LOG_INT ("version", order->version),
           KCP_LOG_INT ("status", result->status),
           KCP_LOG_TEXT ("reason", result->reason),
           KCP_LOG_INT ("ms", (now - order->sent_ns) / KCP_NS_PER_MS));
  switch (answer)
    {
    case KCP_ORDER_ACCEPTED:
      order->server->orders_taken++;
      wait_for_report (order, FIRST_REPORT_DELAY_MS);
      break;
    case KCP_ORDER_ALREADY_APPLIED:
      kcp_server_show_version (order->server, order->model,
                               &(struct kcp_weights_evidence){
                                   .version = order->version,
                                   .from_ns = order->sent_ns,
                                   .until_ns = now,
                               });
      end_order (order, "held_already");
      break;
    case KCP_ORDER_CONFLICT:
    case KCP_ORDER_UNKNOWN:
      wait_for_report (order, REPORT_INTERVAL_MS);
      break;
    case KCP_ORDER_REJECTED:
      end_order (order, "refused");
      break;
    }
}

static void
wait_for_report (struct kcp_rollout_order *order, int64_t wait_ms)
{
  struct kcp_loop *loop = order->rollout->gateway->loop;

  kcp_loop_timer_set (loop, &order->timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS,
                      request_report, order);
}

static void
request_report (void *user)
{
  struct kcp_rollout_order *order = user;
  struct kcp_gateway *gateway = order->rollout->gateway;

  if (order->server->removed
      || kcp_server_version (order->server, order->model) >= order->version)
    {
      end_order (order, order->server->removed ? "server_gone" : "done");
      return;
    }
  order->asked_ns = kcp_loop_now (gateway->loop);
  kcp_server_limit_take (&order->server->limit, order->asked_ns);
  gateway->dialect->write_report_call (NULL, &order->control_call);
  g_string_truncate (order->body, 0);
  order->call = kcp_http_start (gateway->client,
                                &(struct kcp_http_spec){
                                    .method = order->control_call.method,
                                    .address = order->server->entry.address,
                                    .target = order->control_call.path,
                                    .headers = order->control_call.headers,
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .total_ms = REPORT_TIMEOUT_MS,
                                    .may_repeat = true,
                                    .max_idle_s = gateway->settings->servers_max_idle_s,
                                    .max_body_bytes = REPORT_MAX_BYTES,
                                    .data = on_report_data,
                                    .done = on_report_done,
                                    .user = order,
                                });
}

static bool
on_report_data (void *user, struct kcp_str bytes)
{
  struct kcp_rollout_order *order = user;

  g_string_append_len (order->body, bytes.data, (gssize)bytes.len);
  return true;
}

static void
on_report_done (void *user, const struct kcp_http_result *result)
{
  struct kcp_rollout_order *order = user;
  struct kcp_server_report report;
  struct kcp_str body = { .data = order->body->str, .len = order->body->len };

  clear_call (order);
  if (result->end == KCP_HTTP_COMPLETE
      && order->rollout->gateway->dialect->read_report (body, &report))
    {
      bool applied
          = kcp_version_apply_report (order->server, &report, order->asked_ns,
                                      kcp_loop_now (order->rollout->gateway->loop));

      if (applied)
        {
          order->failures = 0;
          follow_report (order, &report);
        }
      g_array_unref (report.weights);
      if (applied)
        return;
    }
  order->failures++;
  if (order->failures < REPORT_FAILURES_MAX)
    wait_for_report (order, REPORT_INTERVAL_MS);
  else
    end_order (order, "no_report");
}

/* Decides by the server's report how to proceed with the order. A server that is not
   executing an order and still has old weights can be sent a new one; the number of
   orders that it has accepted prevents a late order from being executed. */
static void
follow_report (struct kcp_rollout_order *order, const struct kcp_server_report *report)
{
  int64_t now = kcp_loop_now (order->rollout->gateway->loop);

  if (kcp_server_version (order->server, order->model) >= order->version)
    end_order (order, "done");
  else if (report->busy && now - order->sent_ns < ORDER_ABANDON_MS * KCP_NS_PER_MS)
    wait_for_report (order, REPORT_INTERVAL_MS);
  else if (!report->busy && !order->sent)
    send_order (order);
  else
    end_order (order, report->busy ? "slow" : "not_taken");
}

static void
clear_call (struct kcp_rollout_order *order)
{
  order->call = NULL;
  g_clear_pointer (&order->control_call.body, g_free);
}

/* Stops following the order, frees it and schedules the next check. */
static void
end_order (struct kcp_rollout_order *order, const char *outcome)
{
  struct kcp_rollout *rollout = order->rollout;
  int64_t took_ns = kcp_loop_now (rollout->gateway->loop) - order->sent_ns;

  KCP_LOG ("order_ended", KCP_LOG_TEXT ("server", order->server->entry.id),
           KCP_LOG_INT ("version", order->version), KCP_LOG_TEXT ("outcome", outcome),
           KCP_LOG_INT ("ms", took_ns / KCP_NS_PER_MS));
  order->server->own_loading_until_ns = 0;
  order->server->loading_until_ns = 0;
  if (order->sent && kcp_server_version (order->server, order->model) < order->version)
    kcp_server_record_failed_order (order->server, order->version);
  if (order->sent)
    kcp_mesh_announce_loaded (rollout->gateway->mesh, order->server);
  g_ptr_array_remove_fast (rollout->orders, order);
  kcp_rollout_schedule_check (rollout);
}

/* Frees an order and cancels its call. The free function of the array of orders. */
void
kcp_rollout_order_free (gpointer data)
{
  struct kcp_rollout_order *order = data;

  kcp_loop_timer_cancel (&order->timer);
  if (order->call != NULL)
    kcp_http_cancel (order->call);
  g_free (order->control_call.body);
  kcp_server_unref (order->server);
  g_string_free (order->body, TRUE);
  g_free (order->model);
  g_free (order);
}
