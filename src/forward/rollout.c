#include "forward/rollout.h"

#include <jansson.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "base/id.h"
#include "policy/claim.h"
#include "policy/rollout.h"

/* The right to give orders. It is short, so that another VM can soon take over from one
   that died; a right that is used is renewed before it ends. */
#define CLAIM_VALID_MS 1500
#define CLAIM_RENEW_MS 700
/* Clocks of two VMs run apart, and an order may be on its way. */
#define CLAIM_MARGIN_MS 500
#define CLAIM_READ_MS   900
#define CLAIM_RETRY_MS  150
#define FIRST_CLAIM_MS  250 /* VMs without a claim to go by wait up to that long */
#define LOOK_MS         100 /* while servers have old weights */
#define IDLE_LOOK_MS    1000
/* What must be left of the right when an order is sent. */
#define ORDER_LEFT_NS    (500 * KCP_NS_PER_MS)
#define ORDER_CONNECT_MS 200
#define ORDER_TOTAL_MS   400
#define FIRST_REPORT_MS                                                                  \
  1100 /* behind an accepted order: loading takes about a second                         \
        */
#define REPORT_MS        250
#define REPORT_TOTAL_MS  400
#define FORGET_MS        6000 /* an order without effect; its server may be ordered anew */
#define REPORT_FAILURES  3u
#define DATA_CENTERS_MAX 64u

/* An order to one server, until its outcome is known. */
struct order
{
  struct kcp_rollout *rollout;
  struct kcp_server *server; /* a reference */
  char *model;
  int64_t version;
  bool sent; /* false: the server's report is awaited first */
  struct kcp_http_call *call;
  struct kcp_own_call own; /* lives as long as the call */
  GString *body;           /* of the answer */
  struct kcp_loop_timer timer;
  int64_t sent_ns;
  unsigned failures; /* reports in a row without an answer */
};

struct kcp_rollout
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  struct kcp_claim claim;
  GPtrArray *orders; /* struct order */
  struct kcp_loop_timer look;
  GString *record; /* the claim that is being appended */
};

static void look (void *user);
static const struct kcp_named_weights *find_need (struct kcp_rollout *rollout);
static bool
needs (const struct kcp_server *server, const struct kcp_named_weights *named);
static void give_orders (struct kcp_rollout *rollout);
static void gather (struct kcp_rollout *rollout, const struct kcp_named_weights *named,
                    struct kcp_rollout_server *out);
static unsigned
number_data_center (const char *name, const char **names, unsigned *count);
static struct order *
find_order (const struct kcp_rollout *rollout, const struct kcp_server *server);
static void begin_order (struct kcp_rollout *rollout, struct kcp_server *server,
                         const struct kcp_named_weights *named);
static void send_order (struct order *order);
static void on_order_done (void *user, const struct kcp_http_result *result);
static void wait_for_report (struct order *order, int64_t wait_ms);
static void ask_report (void *user);
static bool on_report_data (void *user, struct kcp_str bytes);
static void on_report_done (void *user, const struct kcp_http_result *result);
static void take_report (struct order *order, const struct kcp_server_report *report);
static void clear_call (struct order *order);
static void order_end (struct order *order, const char *outcome);
static void order_free (gpointer data);
static void read_claim (struct kcp_rollout *rollout);
static void on_claim_read (void *user, const struct kcp_store_answer *answer);
static void append_claim (struct kcp_rollout *rollout);
static void on_claim_appended (void *user, const struct kcp_store_answer *answer);
static char *claim_holder (struct kcp_str record);

/* Starts; gateway and store must outlive the rollout. */
struct kcp_rollout *
kcp_rollout_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_rollout *rollout = g_new0 (struct kcp_rollout, 1);
  int64_t turn_ms = gateway->settings->orders_turn_ms;
  struct kcp_claim_times times = {
    .valid_ns = CLAIM_VALID_MS * KCP_NS_PER_MS,
    .renew_ns = CLAIM_RENEW_MS * KCP_NS_PER_MS,
    .pause_ns = (CLAIM_VALID_MS + turn_ms + CLAIM_MARGIN_MS) * KCP_NS_PER_MS,
    .read_ns = CLAIM_READ_MS * KCP_NS_PER_MS,
  };

  rollout->gateway = gateway;
  rollout->store = store;
  rollout->orders = g_ptr_array_new_with_free_func (order_free);
  rollout->record = g_string_new (NULL);
  kcp_claim_init (&rollout->claim, gateway->settings->callers_listen, &times);
  kcp_rollout_look (rollout);
  return rollout;
}

/* Forgets the orders under way and frees the rollout; NULL is allowed. */
void
kcp_rollout_stop (struct kcp_rollout *rollout)
{
  if (rollout == NULL)
    return;
  kcp_loop_timer_cancel (&rollout->look);
  g_ptr_array_unref (rollout->orders);
  g_string_free (rollout->record, TRUE);
  g_free (rollout);
}

/* Looks soon at what there is to do. */
void
kcp_rollout_look (struct kcp_rollout *rollout)
{
  struct kcp_loop *loop = rollout->gateway->loop;

  kcp_loop_timer_set (loop, &rollout->look, kcp_loop_now (loop), look, rollout);
}

static void
look (void *user)
{
  struct kcp_rollout *rollout = user;
  struct kcp_loop *loop = rollout->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  bool wanted = !rollout->gateway->draining && find_need (rollout) != NULL;
  int64_t until;
  int64_t wait_ns = (wanted ? LOOK_MS : IDLE_LOOK_MS) * KCP_NS_PER_MS;

  switch (kcp_claim_step (&rollout->claim, wanted, now, &until))
    {
    case KCP_CLAIM_REST:
      break;
    case KCP_CLAIM_READ:
      read_claim (rollout);
      break;
    case KCP_CLAIM_APPEND:
      append_claim (rollout);
      break;
    case KCP_CLAIM_HELD:
      give_orders (rollout);
      break;
    }
  kcp_loop_timer_set (loop, &rollout->look, now + wait_ns, look, rollout);
}

/* Returns named weights that some server lacks, or NULL. */
static const struct kcp_named_weights *
find_need (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);

  for (guint i = 0; i < rollout->gateway->weights->len; i++)
    {
      const struct kcp_named_weights *named
          = g_ptr_array_index (rollout->gateway->weights, i);

      for (guint j = 0; j < servers->len; j++)
        if (needs (g_ptr_array_index (servers, j), named))
          return named;
    }
  return NULL;
}

static bool
needs (const struct kcp_server *server, const struct kcp_named_weights *named)
{
  int64_t version = kcp_server_version (server, named->model);

  return server->entry.state == KCP_SERVER_READY && version > 0
         && version < named->version;
}

static void
give_orders (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const struct kcp_named_weights *named;
  g_autoptr (GArray) table
      = g_array_new (FALSE, TRUE, sizeof (struct kcp_rollout_server));
  struct kcp_rollout_server *facts;

  g_array_set_size (table, servers->len);
  facts = (struct kcp_rollout_server *)(void *)table->data;
  while ((named = find_need (rollout)) != NULL)
    {
      size_t carriers = 0;
      int at;

      gather (rollout, named, facts);
      for (guint i = 0; i < servers->len; i++)
        carriers += facts[i].able;
      at = kcp_rollout_choose (facts, servers->len, named->version,
                               kcp_rollout_limit (carriers));
      if (at == KCP_ROLLOUT_NONE)
        return;
      begin_order (rollout, g_ptr_array_index (servers, (guint)at), named);
    }
}

static void
gather (struct kcp_rollout *rollout, const struct kcp_named_weights *named,
        struct kcp_rollout_server *out)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const char *names[DATA_CENTERS_MAX];
  unsigned count = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      int64_t version = kcp_server_version (server, named->model);

      out[i] = (struct kcp_rollout_server){
        .able = server->entry.state == KCP_SERVER_READY && version > 0,
        .version = version,
        .loading = find_order (rollout, server) != NULL,
        .data_center = number_data_center (server->entry.data_center, names, &count),
        .open = server->open,
      };
    }
}

static unsigned
number_data_center (const char *name, const char **names, unsigned *count)
{
  for (unsigned i = 0; i < *count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  if (*count == DATA_CENTERS_MAX)
    return DATA_CENTERS_MAX;
  names[*count] = name;
  return (*count)++;
}

static struct order *
find_order (const struct kcp_rollout *rollout, const struct kcp_server *server)
{
  for (guint i = 0; i < rollout->orders->len; i++)
    {
      struct order *order = g_ptr_array_index (rollout->orders, i);

      if (order->server == server)
        return order;
    }
  return NULL;
}

/* An order names how many the server has taken, so that one that is carried out late does
   nothing; where that is not known, the server is asked first. */
static void
begin_order (struct kcp_rollout *rollout, struct kcp_server *server,
             const struct kcp_named_weights *named)
{
  struct order *order = g_new0 (struct order, 1);

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
send_order (struct order *order)
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
  if (!kcp_claim_is_held (&rollout->claim, order->sent_ns + ORDER_LEFT_NS))
    {
      order_end (order, "no_right");
      return;
    }
  order->sent = true;
  server->own_loading_until_ns = order->sent_ns + FORGET_MS * KCP_NS_PER_MS;
  server->loading_until_ns = order->sent_ns + FORGET_MS * KCP_NS_PER_MS;
  gateway->dialect->write_order (&text, &order->own);
  KCP_LOG ("order_sent", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("model", order->model), KCP_LOG_INT ("version", order->version),
           KCP_LOG_INT ("orders_taken", text.orders_taken),
           KCP_LOG_INT ("fence", text.fence),
           KCP_LOG_INT ("right_left_ms", (rollout->claim.valid_until_ns - order->sent_ns)
                                             / KCP_NS_PER_MS));
  order->call
      = kcp_http_start (gateway->client, &(struct kcp_http_spec){
                                             .method = order->own.method,
                                             .address = server->entry.address,
                                             .target = order->own.path,
                                             .headers = order->own.headers,
                                             .body = kcp_str_from_c (order->own.body),
                                             .connect_ms = ORDER_CONNECT_MS,
                                             .total_ms = ORDER_TOTAL_MS,
                                             .kept_s = gateway->settings->servers_kept_s,
                                             .fresh = true,
                                             .done = on_order_done,
                                             .user = order,
                                         });
}

static void
on_order_done (void *user, const struct kcp_http_result *result)
{
  struct order *order = user;
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
      wait_for_report (order, result->end == KCP_HTTP_UNSENT ? REPORT_MS : LOOK_MS);
      break;
    case KCP_ORDER_WRONG:
      order_end (order, "refused");
      break;
    }
}

static void
wait_for_report (struct order *order, int64_t wait_ms)
{
  struct kcp_loop *loop = order->rollout->gateway->loop;

  kcp_loop_timer_set (loop, &order->timer, kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS,
                      ask_report, order);
}

static void
ask_report (void *user)
{
  struct order *order = user;
  struct kcp_gateway *gateway = order->rollout->gateway;

  if (order->server->gone
      || kcp_server_version (order->server, order->model) >= order->version)
    {
      order_end (order, order->server->gone ? "server_gone" : "done");
      return;
    }
  gateway->dialect->write_report_call (&order->own);
  g_string_truncate (order->body, 0);
  order->call
      = kcp_http_start (gateway->client, &(struct kcp_http_spec){
                                             .method = order->own.method,
                                             .address = order->server->entry.address,
                                             .target = order->own.path,
                                             .headers = order->own.headers,
                                             .connect_ms = ORDER_CONNECT_MS,
                                             .total_ms = REPORT_TOTAL_MS,
                                             .kept_s = gateway->settings->servers_kept_s,
                                             .data = on_report_data,
                                             .done = on_report_done,
                                             .user = order,
                                         });
}

static bool
on_report_data (void *user, struct kcp_str bytes)
{
  struct order *order = user;

  g_string_append_len (order->body, bytes.data, (gssize)bytes.len);
  return true;
}

static void
on_report_done (void *user, const struct kcp_http_result *result)
{
  struct order *order = user;
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
take_report (struct order *order, const struct kcp_server_report *report)
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
clear_call (struct order *order)
{
  order->call = NULL;
  g_clear_pointer (&order->own.body, g_free);
}

/* Ends the following of an order, and looks what is next. */
static void
order_end (struct order *order, const char *outcome)
{
  struct kcp_rollout *rollout = order->rollout;

  KCP_LOG ("order_ended", KCP_LOG_TEXT ("server", order->server->entry.id),
           KCP_LOG_INT ("version", order->version), KCP_LOG_TEXT ("outcome", outcome),
           KCP_LOG_INT ("ms", (kcp_loop_now (rollout->gateway->loop) - order->sent_ns)
                                  / KCP_NS_PER_MS));
  order->server->own_loading_until_ns = 0;
  order->server->loading_until_ns = 0;
  g_ptr_array_remove_fast (rollout->orders, order);
  kcp_rollout_look (rollout);
}

static void
order_free (gpointer data)
{
  struct order *order = data;

  kcp_loop_timer_cancel (&order->timer);
  if (order->call != NULL)
    kcp_http_cancel (order->call);
  g_free (order->own.body);
  kcp_server_unref (order->server);
  g_string_free (order->body, TRUE);
  g_free (order->model);
  g_free (order);
}

static void
read_claim (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  kcp_claim_sent (&rollout->claim, kcp_loop_now (rollout->gateway->loop));
  store->read (store->self, KCP_STORE_ORDERS, rollout->claim.end, 0, on_claim_read,
               rollout);
}

static void
on_claim_read (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_claim *claim = &rollout->claim;
  int64_t now = kcp_loop_now (rollout->gateway->loop);
  g_autofree char *holder = NULL;
  int64_t wait_ms;

  if (answer->end == KCP_STORE_TRIMMED)
    {
      claim->end = answer->next;
      claim->holder[0] = '\0';
    }
  if (answer->end != KCP_STORE_DONE)
    {
      kcp_claim_failed (claim, CLAIM_RETRY_MS * KCP_NS_PER_MS, now);
      return;
    }
  if (answer->records->len > 0)
    {
      const struct kcp_store_record *last = &g_array_index (
          answer->records, struct kcp_store_record, answer->records->len - 1);

      holder = claim_holder (last->value);
      kcp_claim_read (claim, last->offset + 1, holder, last->offset, now);
    }
  else
    {
      g_autofree char *known = g_strdup (claim->holder);

      kcp_claim_read (claim, answer->next, known[0] != '\0' ? known : NULL, claim->offset,
                      now);
    }
  KCP_LOG ("claim_read", KCP_LOG_TEXT ("holder", claim->holder),
           KCP_LOG_INT ("offset", claim->offset),
           KCP_LOG_INT ("age_ms", (now - claim->seen_ns) / KCP_NS_PER_MS));
  if (claim->holder[0] != '\0')
    return;
  /* Without a holder to go by, VMs spread their claims, and all but one see it in time.
   */
  wait_ms = (int64_t)(kcp_id_random_u64 () % FIRST_CLAIM_MS);
  claim->rest_until_ns = now + wait_ms * KCP_NS_PER_MS;
}

static void
append_claim (struct kcp_rollout *rollout)
{
  const struct kcp_store *store = rollout->store;

  kcp_claim_sent (&rollout->claim, kcp_loop_now (rollout->gateway->loop));
  g_string_printf (rollout->record, "{\"holder\":\"%s\"}", rollout->claim.own);
  store->append (store->self, KCP_STORE_ORDERS, rollout->claim.end, KCP_STR (""),
                 (struct kcp_str){ rollout->record->str, rollout->record->len },
                 on_claim_appended, rollout);
}

static void
on_claim_appended (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_rollout *rollout = user;
  struct kcp_claim *claim = &rollout->claim;
  int64_t now = kcp_loop_now (rollout->gateway->loop);

  if (answer->end == KCP_STORE_DONE)
    kcp_claim_appended (claim, answer->offset, now);
  else
    kcp_claim_failed (
        claim, answer->end == KCP_STORE_MOVED ? 0 : CLAIM_RETRY_MS * KCP_NS_PER_MS, now);
  KCP_LOG ("claim_append", KCP_LOG_INT ("outcome", answer->end),
           KCP_LOG_INT ("offset", answer->offset),
           KCP_LOG_INT ("ms", (now - claim->sent_ns) / KCP_NS_PER_MS),
           KCP_LOG_TEXT ("reason", answer->reason));
  kcp_rollout_look (rollout);
}

/* Returns who made a claim, or NULL if the record is none. */
static char *
claim_holder (struct kcp_str record)
{
  json_t *json = json_loadb (record.data, record.len, 0, NULL);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  char *copy = g_strdup (holder);

  json_decref (json);
  return copy;
}
