#include "forward/end_check.h"

#include <string.h>

/* Time until a server is asked again that has turned away a connection. */
#define RETRY_DELAY_MS   50
#define CALL_MAX_MS      1000       /* time for one call */
#define REPORT_MAX_BYTES (1u << 20) /* of one report */

/* The checks at one server. They share its calls, so that many answers that end together
   do not take many connections: a call decides for all answers that had ended when it was
   sent. */
struct kcp_end_asker
{
  struct kcp_gateway *gateway;
  struct kcp_server *server;   /* a reference */
  GPtrArray *checks;           /* struct kcp_end_check, owned */
  struct kcp_http_call *call;  /* NULL: none in progress */
  struct kcp_loop_timer timer; /* of the next call */
  struct kcp_control_call control_call;
  GString *body;
  unsigned calls;   /* sent so far */
  int64_t asked_ns; /* when the newest call was sent */
  bool deciding;    /* it is not freed before that is over */
};

/* The check of one answer. */
struct kcp_end_check
{
  struct kcp_end_asker *asker;
  unsigned calls_before;     /* calls that were sent before the answer ended */
  int64_t sent_ms;           /* Unix time at which the request was sent */
  int64_t expected_start_ms; /* of the process that wrote the answer; 0: not known */
  int64_t ended_ns;
  int64_t asked_ns; /* when the first call after the end was sent; 0: not yet */
  kcp_end_check_done *done;
  void *user;
};

static struct kcp_end_asker *
asker_of (struct kcp_gateway *gateway, struct kcp_server *server);
static void asker_free (struct kcp_end_asker *asker);
static void ask (void *user);
static int64_t left_ms (const struct kcp_end_asker *asker);
static bool on_data (void *user, struct kcp_str bytes);
static void on_done (void *user, const struct kcp_http_result *result);
static void
read_answer (const struct kcp_end_asker *asker, const struct kcp_http_result *result,
             struct kcp_answer_end_facts *facts);
static int64_t find_taken_start (const struct kcp_end_asker *asker);
static bool
finish_one (struct kcp_end_asker *asker, const struct kcp_answer_end_facts *facts);
static void go_on (struct kcp_end_asker *asker);
static bool is_asked_for_all (const struct kcp_end_asker *asker);
static void finish (struct kcp_end_check *check, struct kcp_end_verdict end);

/* Starts the check of an answer that has just ended. done is called once, never from
   within this function, unless the check is cancelled before. */
struct kcp_end_check *
kcp_end_check_start (struct kcp_gateway *gateway, struct kcp_server *server,
                     const struct kcp_end_check_sent *sent, kcp_end_check_done *done,
                     void *user)
{
  struct kcp_end_check *check = g_new0 (struct kcp_end_check, 1);
  struct kcp_end_asker *asker = asker_of (gateway, server);

  check->asker = asker;
  check->calls_before = asker->calls;
  check->ended_ns = kcp_loop_now (gateway->loop);
  check->expected_start_ms = sent->server_start_ms;
  check->sent_ms = kcp_clock_realtime_ms (gateway->clock)
                   - (check->ended_ns - sent->sent_ns) / KCP_NS_PER_MS;
  check->done = done;
  check->user = user;
  g_ptr_array_add (asker->checks, check);
  if (asker->call == NULL && !asker->deciding)
    ask (asker);
  return check;
}

/* Ends a check without calling done, and frees it; NULL is allowed. */
void
kcp_end_check_cancel (struct kcp_end_check *check)
{
  struct kcp_end_asker *asker;

  if (check == NULL)
    return;
  asker = check->asker;
  g_ptr_array_remove_fast (asker->checks, check);
  if (asker->checks->len == 0 && !asker->deciding)
    asker_free (asker);
}

/* Returns the server's asker, a new one if it has none. */
static struct kcp_end_asker *
asker_of (struct kcp_gateway *gateway, struct kcp_server *server)
{
  struct kcp_end_asker *asker = server->end_asker;

  if (asker != NULL)
    return asker;
  asker = g_new0 (struct kcp_end_asker, 1);
  asker->gateway = gateway;
  asker->server = kcp_server_ref (server);
  asker->checks = g_ptr_array_new_with_free_func (g_free);
  asker->body = g_string_new (NULL);
  server->end_asker = asker;
  return asker;
}

static void
asker_free (struct kcp_end_asker *asker)
{
  asker->server->end_asker = NULL;
  kcp_loop_timer_cancel (&asker->timer);
  if (asker->call != NULL)
    kcp_http_cancel (asker->call);
  g_ptr_array_unref (asker->checks);
  g_string_free (asker->body, TRUE);
  kcp_server_unref (asker->server);
  g_free (asker);
}

/* Asks the server for its report. Whoever answers it was alive after the answers that had
   ended before. On a kept connection a late answer to an earlier request could be taken
   for the report, and one that was lost would cost the whole wait. */
static void
ask (void *user)
{
  struct kcp_end_asker *asker = user;
  const struct kcp_gateway *gateway = asker->gateway;

  kcp_loop_timer_cancel (&asker->timer);
  asker->calls++;
  asker->asked_ns = kcp_loop_now (gateway->loop);
  for (guint i = 0; i < asker->checks->len; i++)
    {
      struct kcp_end_check *check = g_ptr_array_index (asker->checks, i);

      if (check->asked_ns == 0)
        check->asked_ns = asker->asked_ns;
    }
  g_string_truncate (asker->body, 0);
  kcp_server_limit_take (&asker->server->limit, asker->asked_ns);
  gateway->dialect->write_report_call (asker->server->entry.id, &asker->control_call);
  asker->call = kcp_http_start (
      gateway->client, &(struct kcp_http_spec){
                           .method = asker->control_call.method,
                           .address = asker->server->entry.address,
                           .target = asker->control_call.path,
                           .headers = asker->control_call.headers,
                           .connect_ms = gateway->settings->servers_connect_timeout_ms,
                           .total_ms = MIN (left_ms (asker), CALL_MAX_MS),
                           .new_connection = true,
                           .max_body_bytes = REPORT_MAX_BYTES,
                           .data = on_data,
                           .done = on_done,
                           .user = asker,
                       });
}

/* Returns the milliseconds until the first check has waited for too long; 1 at least. */
static int64_t
left_ms (const struct kcp_end_asker *asker)
{
  int64_t oldest_ns = asker->asked_ns;

  for (guint i = 0; i < asker->checks->len; i++)
    {
      const struct kcp_end_check *check = g_ptr_array_index (asker->checks, i);

      oldest_ns = MIN (oldest_ns, check->asked_ns);
    }
  return MAX ((oldest_ns + KCP_ANSWER_END_MAX_WAIT_NS - asker->asked_ns) / KCP_NS_PER_MS,
              1);
}

static bool
on_data (void *user, struct kcp_str bytes)
{
  struct kcp_end_asker *asker = user;

  g_string_append_len (asker->body, bytes.data, (gssize)bytes.len);
  return true;
}

static void
on_done (void *user, const struct kcp_http_result *result)
{
  struct kcp_end_asker *asker = user;
  struct kcp_answer_end_facts facts = {
    .refused = result->refused,
    .taken_start_ms = find_taken_start (asker),
  };

  asker->call = NULL;
  read_answer (asker, result, &facts);
  asker->server->reported_start_ms
      = MAX (asker->server->reported_start_ms, facts.reported_start_ms);
  asker->deciding = true;
  while (finish_one (asker, &facts))
    continue;
  asker->deciding = false;
  go_on (asker);
}

/* Reads who answered the call. Any status shows a process; one that is not the instance
   that the call names refuses it. */
static void
read_answer (const struct kcp_end_asker *asker, const struct kcp_http_result *result,
             struct kcp_answer_end_facts *facts)
{
  const struct kcp_dialect *dialect = asker->gateway->dialect;
  struct kcp_str body = { .data = asker->body->str, .len = asker->body->len };
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

/* Returns when the process started that the servers' list names at the server's address
   and that started last, a Unix time; 0: it names none that started after the server. */
static int64_t
find_taken_start (const struct kcp_end_asker *asker)
{
  const struct kcp_server_entry *own = &asker->server->entry;
  const GPtrArray *all = kcp_servers_all (asker->gateway->servers);
  int64_t start_ms = 0;

  for (guint i = 0; i < all->len; i++)
    {
      const struct kcp_server *other = g_ptr_array_index (all, i);

      if (other != asker->server && other->entry.started_ms > own->started_ms
          && strcmp (other->entry.address, own->address) == 0)
        start_ms = MAX (start_ms, other->entry.started_ms);
    }
  return start_ms;
}

/* Ends a check that the newest call decides, if there is one. A check whose answer ended
   after that call was sent needs the next one. */
static bool
finish_one (struct kcp_end_asker *asker, const struct kcp_answer_end_facts *facts)
{
  int64_t now = kcp_loop_now (asker->gateway->loop);

  for (guint i = 0; i < asker->checks->len; i++)
    {
      struct kcp_end_check *check = g_ptr_array_index (asker->checks, i);
      struct kcp_answer_end_facts own = *facts;
      struct kcp_end_verdict end;

      if (check->calls_before == asker->calls)
        continue;
      own.sent_ms = check->sent_ms;
      own.expected_start_ms = check->expected_start_ms;
      own.waited_ns = now - check->asked_ns;
      end = kcp_answer_end_decide (&own);
      if (end.decision == KCP_ANSWER_END_ASK_AGAIN)
        continue;
      finish (check, end);
      return true;
    }
  return false;
}

/* Asks again if checks are left: at once for those that no call was sent for, otherwise
   after a while. Frees the asker if none is left. */
static void
go_on (struct kcp_end_asker *asker)
{
  struct kcp_loop *loop = asker->gateway->loop;

  if (asker->checks->len == 0)
    asker_free (asker);
  else if (is_asked_for_all (asker))
    kcp_loop_timer_set (loop, &asker->timer,
                        kcp_loop_now (loop) + RETRY_DELAY_MS * KCP_NS_PER_MS, ask, asker);
  else
    ask (asker);
}

static bool
is_asked_for_all (const struct kcp_end_asker *asker)
{
  for (guint i = 0; i < asker->checks->len; i++)
    {
      const struct kcp_end_check *check = g_ptr_array_index (asker->checks, i);

      if (check->asked_ns == 0)
        return false;
    }
  return true;
}

/* Frees the check, then reports its result. */
static void
finish (struct kcp_end_check *check, struct kcp_end_verdict end)
{
  struct kcp_end_asker *asker = check->asker;
  int64_t now = kcp_loop_now (asker->gateway->loop);
  struct kcp_end_check_result result = {
    .end = end,
    .calls = asker->calls - check->calls_before,
    .waited_ms = (now - check->ended_ns) / KCP_NS_PER_MS,
    .evidence_ms = (asker->asked_ns - check->ended_ns) / KCP_NS_PER_MS,
  };
  kcp_end_check_done *done = check->done;
  void *user = check->user;

  g_ptr_array_remove_fast (asker->checks, check);
  done (user, &result);
}
