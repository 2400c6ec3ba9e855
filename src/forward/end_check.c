#include "forward/end_check.h"

#include <string.h>

/* Time until a server is asked again that has turned away a connection. */
#define RETRY_DELAY_MS   50
#define REPORT_MAX_BYTES (1u << 20) /* of one report */

struct kcp_end_check
{
  struct kcp_gateway *gateway;
  struct kcp_server *server;   /* a reference */
  struct kcp_http_call *call;  /* NULL: waiting for the next one */
  struct kcp_loop_timer timer; /* of the next call */
  struct kcp_control_call control_call;
  GString *body;
  int64_t ended_ns; /* when the answer ended */
  int64_t asked_ns; /* when the newest call was sent */
  unsigned calls;
  kcp_end_check_done *done;
  void *user;
};

static void ask (void *user);
static bool on_data (void *user, struct kcp_str bytes);
static void on_done (void *user, const struct kcp_http_result *result);
static void
read_answer (const struct kcp_end_check *check, const struct kcp_http_result *result,
             struct kcp_answer_end_facts *facts);
static bool address_is_taken (const struct kcp_end_check *check);
static void finish (struct kcp_end_check *check, struct kcp_end_verdict end);

/* Starts the check of an answer that has just ended. done is called once, never from
   within this function, unless the check is cancelled before. */
struct kcp_end_check *
kcp_end_check_start (struct kcp_gateway *gateway, struct kcp_server *server,
                     kcp_end_check_done *done, void *user)
{
  struct kcp_end_check *check = g_new0 (struct kcp_end_check, 1);

  check->gateway = gateway;
  check->server = kcp_server_ref (server);
  check->body = g_string_new (NULL);
  check->ended_ns = kcp_loop_now (gateway->loop);
  check->done = done;
  check->user = user;
  ask (check);
  return check;
}

/* Ends a check without calling done, and frees it; NULL is allowed. */
void
kcp_end_check_cancel (struct kcp_end_check *check)
{
  if (check == NULL)
    return;
  kcp_loop_timer_cancel (&check->timer);
  if (check->call != NULL)
    kcp_http_cancel (check->call);
  g_string_free (check->body, TRUE);
  kcp_server_unref (check->server);
  g_free (check);
}

/* Asks the server for its report. The call is sent after the answer's end, so whoever
   answers it was alive after that. */
static void
ask (void *user)
{
  struct kcp_end_check *check = user;
  const struct kcp_gateway *gateway = check->gateway;
  int64_t now = kcp_loop_now (gateway->loop);
  int64_t left_ns = check->ended_ns + KCP_ANSWER_END_MAX_WAIT_NS - now;

  check->calls++;
  check->asked_ns = now;
  g_string_truncate (check->body, 0);
  kcp_server_limit_take (&check->server->limit, now);
  gateway->dialect->write_report_call (check->server->entry.id, &check->control_call);
  check->call = kcp_http_start (
      gateway->client, &(struct kcp_http_spec){
                           .method = check->control_call.method,
                           .address = check->server->entry.address,
                           .target = check->control_call.path,
                           .headers = check->control_call.headers,
                           .connect_ms = gateway->settings->servers_connect_timeout_ms,
                           .total_ms = MAX (left_ns / KCP_NS_PER_MS, 1),
                           .may_repeat = true,
                           .max_idle_s = gateway->settings->servers_max_idle_s,
                           .max_body_bytes = REPORT_MAX_BYTES,
                           .data = on_data,
                           .done = on_done,
                           .user = check,
                       });
}

static bool
on_data (void *user, struct kcp_str bytes)
{
  struct kcp_end_check *check = user;

  g_string_append_len (check->body, bytes.data, (gssize)bytes.len);
  return true;
}

static void
on_done (void *user, const struct kcp_http_result *result)
{
  struct kcp_end_check *check = user;
  struct kcp_loop *loop = check->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  struct kcp_answer_end_facts facts = {
    .refused = result->refused,
    .address_taken = address_is_taken (check),
    .expected_start_ms = check->server->entry.started_ms,
    .waited_ns = now - check->ended_ns,
  };
  struct kcp_end_verdict end;

  check->call = NULL;
  read_answer (check, result, &facts);
  end = kcp_answer_end_decide (&facts);
  switch (end.decision)
    {
    case KCP_ANSWER_END_WHOLE:
    case KCP_ANSWER_END_CUT_OFF:
      finish (check, end);
      break;
    case KCP_ANSWER_END_ASK_AGAIN:
      kcp_loop_timer_set (loop, &check->timer, now + RETRY_DELAY_MS * KCP_NS_PER_MS, ask,
                          check);
      break;
    }
}

/* Reads who answered the call. Any status shows a process; one that is not the instance
   that the call names refuses it. */
static void
read_answer (const struct kcp_end_check *check, const struct kcp_http_result *result,
             struct kcp_answer_end_facts *facts)
{
  const struct kcp_dialect *dialect = check->gateway->dialect;
  struct kcp_str body = { .data = check->body->str, .len = check->body->len };
  struct kcp_server_report report;

  if (result->end != KCP_HTTP_COMPLETE)
    return;
  facts->answered = true;
  facts->other_instance = dialect->status_is_not_run (result->status);
  if (dialect->read_report (body, &report))
    {
      facts->reported_start_ms = report.started_ms;
      g_array_unref (report.weights);
    }
}

/* Returns true if the servers' list names another process, which started later, at the
   server's address. */
static bool
address_is_taken (const struct kcp_end_check *check)
{
  const struct kcp_server_entry *own = &check->server->entry;
  const GPtrArray *all = kcp_servers_all (check->gateway->servers);

  for (guint i = 0; i < all->len; i++)
    {
      const struct kcp_server *other = g_ptr_array_index (all, i);

      if (other != check->server && other->entry.started_ms > own->started_ms
          && strcmp (other->entry.address, own->address) == 0)
        return true;
    }
  return false;
}

static void
finish (struct kcp_end_check *check, struct kcp_end_verdict end)
{
  struct kcp_end_check_result result = {
    .end = end,
    .calls = check->calls,
    .waited_ms = (kcp_loop_now (check->gateway->loop) - check->ended_ns) / KCP_NS_PER_MS,
    .evidence_ms = (check->asked_ns - check->ended_ns) / KCP_NS_PER_MS,
  };
  kcp_end_check_done *done = check->done;
  void *user = check->user;

  kcp_end_check_cancel (check);
  done (user, &result);
}
