/* One order to a server, followed until the server has the new weights. */
#include <string.h>

#include "base/decision_log.h"
#include "base/histogram.h"
#include "forward/mesh.h"
#include "forward/rollout_private.h"

#define ORDER_CONNECT_MS 200
#define ORDER_TOTAL_MS   400
/* What the other VMs are told that it takes. */
#define LOADING_MS 1300
/* Loading takes about a second, so that an earlier report would say nothing. */
#define FIRST_REPORT_MS 700
#define REPORT_MS       100
#define REPORT_TOTAL_MS 400
#define REPORT_FAILURES 3u
/* An order without effect by then is forgotten, and its server may be ordered anew. */
#define FORGET_MS 6000

static void send_order (struct kcp_rollout_order *order);
static void on_order_done (void *user, const struct kcp_http_result *result);
static void wait_for_report (struct kcp_rollout_order *order, int64_t wait_ms);
static void ask_report (void *user);
static bool on_report_data (void *user, struct kcp_str bytes);
static void on_report_done (void *user, const struct kcp_http_result *result);
static void
take_report (struct kcp_rollout_order *order, const struct kcp_server_report *report);
static void clear_call (struct kcp_rollout_order *order);
static void order_end (struct kcp_rollout_order *order, const char *outcome);

/* Returns the order to that server that is followed, or NULL. */
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

/* An order names how many the server has taken, so that one that is carried out late does
   nothing; where that is not known, the server is asked first. */
void
kcp_rollout_begin_order (struct kcp_rollout *rollout, struct kcp_server *server,
                         const struct kcp_named_weights *named)
{
  struct kcp_rollout_order *order = g_new0 (struct kcp_rollout_order, 1);

  order->rollout = rollout;
  order->server = kcp_server_ref (server);
  order->model = g_strdup (named->model);
  order->version = named->version;
  order->body = g_string_new (NULL);
  order->sent_ns = kcp_loop_now (rollout->gateway->loop);
  g_ptr_array_add (rollout->orders, order);
  if (server->orders_taken < 0)
    ask_report (order);
  else
    send_order (order);
}

/* Sends the order if the right to it lasts until it is there. */
static void
send_order (struct kcp_rollout_order *order)
{
  struct kcp_rollout *rollout = order->rollout;
  struct kcp_gateway *gateway = rollout->gateway;
  struct kcp_server *server = order->server;
  struct kcp_order text = {
    .server_id = server->entry.id,
    .model = order->model,
    .version = order->version,
    .orders_taken = server->orders_taken,
    .holder = rollout->claim.own,
    .fence = kcp_claim_fence (&rollout->claim),
  };

  order->sent_ns = kcp_loop_now (gateway->loop);
  if (!kcp_claim_may_order (&rollout->claim, order->sent_ns))
    {
      order_end (order, "no_right");
      return;
    }
  order->sent = true;
  server->own_loading_until_ns = order->sent_ns + FORGET_MS * KCP_NS_PER_MS;
  server->loading_until_ns = order->sent_ns + FORGET_MS * KCP_NS_PER_MS;
  kcp_mesh_announce_loading (gateway->mesh, server, LOADING_MS);
  gateway->dialect->write_order (&text, &order->own);
  KCP_LOG ("order_sent", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("model", order->model), KCP_LOG_INT ("version", order->version),
           KCP_LOG_INT ("orders_taken", text.orders_taken),
           KCP_LOG_INT ("fence", text.fence),
           KCP_LOG_INT ("right_left_ms", (rollout->claim.valid_until_ns - order->sent_ns)
                                             / KCP_NS_PER_MS));
  order->call = kcp_http_start (gateway->client,
                                &(struct kcp_http_spec){
                                    .method = order->own.method,
                                    .address = server->entry.address,
                                    .target = order->own.path,
                                    .headers = order->own.headers,
                                    .body = kcp_str_from_c (order->own.body),
                                    .connect_ms = ORDER_CONNECT_MS,
                                    .total_ms = ORDER_TOTAL_MS,
                                    .kept_s = gateway->settings->servers_max_idle_s,
                                    .fresh = true,
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
  enum kcp_order_answer answer = result->end == KCP_HTTP_WHOLE
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
      wait_for_report (order, FIRST_REPORT_MS);
      break;
    case KCP_ORDER_HOLDS:
      kcp_server_learn_version (order->server, order->model, order->version, now);
      order_end (order, "held_already");
      break;
    case KCP_ORDER_CONFLICT:
    case KCP_ORDER_UNKNOWN:
      wait_for_report (order, REPORT_MS);
      break;
    case KCP_ORDER_WRONG:
      order_end (order, "refused");
      break;
    }
}

static void
wait_for_report (struct kcp_rollout_order *order, int64_t wait_ms)
{
  struct kcp_loop *loop = order->rollout->gateway->loop;

  kcp_loop_timer_set (loop, &order->timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS,
                      ask_report, order);
}

static void
ask_report (void *user)
{
  struct kcp_rollout_order *order = user;
  struct kcp_gateway *gateway = order->rollout->gateway;

  if (order->server->gone
      || kcp_server_version (order->server, order->model) >= order->version)
    {
      order_end (order, order->server->gone ? "server_gone" : "done");
      return;
    }
  gateway->dialect->write_report_call (&order->own);
  g_string_truncate (order->body, 0);
  order->call = kcp_http_start (gateway->client,
                                &(struct kcp_http_spec){
                                    .method = order->own.method,
                                    .address = order->server->entry.address,
                                    .target = order->own.path,
                                    .headers = order->own.headers,
                                    .connect_ms = ORDER_CONNECT_MS,
                                    .total_ms = REPORT_TOTAL_MS,
                                    .kept_s = gateway->settings->servers_max_idle_s,
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
  if (result->end == KCP_HTTP_WHOLE
      && order->rollout->gateway->dialect->read_report (body, &report))
    {
      order->failures = 0;
      take_report (order, &report);
      g_array_unref (report.weights);
      return;
    }
  order->failures++;
  if (order->failures < REPORT_FAILURES)
    wait_for_report (order, REPORT_MS);
  else
    order_end (order, "no_report");
}

/* A server that is not at work on an order and still has old weights may be ordered anew;
   the number of orders that it has taken keeps a late one from being carried out. */
static void
take_report (struct kcp_rollout_order *order, const struct kcp_server_report *report)
{
  int64_t now = kcp_loop_now (order->rollout->gateway->loop);

  for (guint i = 0; i < report->weights->len; i++)
    {
      const struct kcp_server_weights *weights
          = &g_array_index (report->weights, struct kcp_server_weights, i);

      kcp_server_learn_version (order->server, weights->model, weights->version, now);
    }
  order->server->orders_taken = MAX (order->server->orders_taken, report->orders_taken);
  if (kcp_server_version (order->server, order->model) >= order->version)
    order_end (order, "done");
  else if (report->busy && now - order->sent_ns < FORGET_MS * KCP_NS_PER_MS)
    wait_for_report (order, REPORT_MS);
  else if (!report->busy && !order->sent)
    send_order (order);
  else
    order_end (order, report->busy ? "slow" : "not_taken");
}

static void
clear_call (struct kcp_rollout_order *order)
{
  order->call = NULL;
  g_clear_pointer (&order->own.body, g_free);
}

/* Ends the following of an order, and looks what is next. */
static void
order_end (struct kcp_rollout_order *order, const char *outcome)
{
  struct kcp_rollout *rollout = order->rollout;

  KCP_LOG ("order_ended", KCP_LOG_TEXT ("server", order->server->entry.id),
           KCP_LOG_INT ("version", order->version), KCP_LOG_TEXT ("outcome", outcome),
           KCP_LOG_INT ("ms", (kcp_loop_now (rollout->gateway->loop) - order->sent_ns)
                                  / KCP_NS_PER_MS));
  order->server->own_loading_until_ns = 0;
  order->server->loading_until_ns = 0;
  if (order->sent)
    kcp_mesh_announce_loaded (rollout->gateway->mesh, order->server);
  g_ptr_array_remove_fast (rollout->orders, order);
  kcp_rollout_look (rollout);
}

/* Frees an order and ends its call; for the array of orders. */
void
kcp_rollout_order_free (gpointer data)
{
  struct kcp_rollout_order *order = data;

  kcp_loop_timer_cancel (&order->timer);
  if (order->call != NULL)
    kcp_http_cancel (order->call);
  g_free (order->own.body);
  kcp_server_unref (order->server);
  g_string_free (order->body, TRUE);
  g_free (order->model);
  g_free (order);
}
