#include "forward/version_check.h"

#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/feed.h"

/* A report describes a moment at most so long before it was asked for. */
#define REPORT_AGE_NS     (900 * KCP_NS_PER_MS)
#define REPORT_MAX_BYTES  (1u << 20) /* of one report */
#define REPORT_TIMEOUT_MS 400
#define RETRY_NS          (300 * KCP_NS_PER_MS)
#define CALLS_MAX         4u /* of one check */
/* After a server has turned a request away. Mostly it has started again, which the list
   shows by then, or other VMs tell its new version. */
#define TURNED_AWAY_NS (1500 * KCP_NS_PER_MS)
/* Least time between the ends of checks and the next one of the same server. */
#define GAP_NS (500 * KCP_NS_PER_MS)
/* An entry that names another version is looked into after so many heartbeats, and later
   each time the server shows what is believed already. */
#define ENTRY_HEARTBEATS     4
#define CONFIRMED_SHIFTS_MAX 4u

/* Why a server is asked. */
#define TURNED_AWAY "turned_away"
#define ENTRY       "entry"

/* The check of one server. */
struct check
{
  struct kcp_version_checks *checks;
  struct kcp_server *server; /* a reference */
  const char *why;
  struct kcp_http_call *call; /* NULL: none in progress */
  struct kcp_control_call control_call;
  struct kcp_loop_timer timer; /* of the next call */
  GString *body;
  int64_t asked_ns;
  unsigned calls;
};

struct kcp_version_checks
{
  struct kcp_gateway *gateway;
  GPtrArray *running; /* struct check */
};

static bool start (struct kcp_version_checks *checks, struct kcp_server *server,
                   const char *why, int64_t delay_ns);
static int64_t last_seen_ns (const struct kcp_server *server);
static void ask (void *user);
static bool is_resolved (const struct check *check);
static bool on_data (void *user, struct kcp_str bytes);
static void on_done (void *user, const struct kcp_http_result *result);
static void take_report (struct check *check, const struct kcp_server_report *report);
static bool
settles (const struct kcp_server *server, const struct kcp_server_report *report);
static void ask_again (struct check *check);
static void finish_for_good (struct check *check);
static void finish (struct check *check, const char *outcome);
static void check_free (gpointer data);
static bool entry_differs (const struct kcp_server *server);
static int64_t compare_after_ns (const struct kcp_version_checks *checks,
                                 const struct kcp_server *server);

/* Creates the checks of the gateway's servers. */
struct kcp_version_checks *
kcp_version_checks_new (struct kcp_gateway *gateway)
{
  struct kcp_version_checks *checks = g_new0 (struct kcp_version_checks, 1);

  checks->gateway = gateway;
  checks->running = g_ptr_array_new_with_free_func (check_free);
  return checks;
}

/* Ends all checks and frees them. */
void
kcp_version_checks_free (struct kcp_version_checks *checks)
{
  g_ptr_array_unref (checks->running);
  g_free (checks);
}

/* Has the server asked that turned away a request which names it and its version. */
void
kcp_version_checks_on_turned_away (struct kcp_version_checks *checks,
                                   struct kcp_server *server)
{
  if (start (checks, server, TURNED_AWAY, TURNED_AWAY_NS))
    server->version_doubted = true;
}

/* Has the servers asked whose entries have named another version for too long. */
void
kcp_version_checks_compare_entries (struct kcp_version_checks *checks)
{
  const GPtrArray *all = kcp_servers_all (checks->gateway->servers);
  int64_t now = kcp_loop_now (checks->gateway->loop);

  for (guint i = 0; i < all->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (all, i);

      if (!entry_differs (server))
        server->versions_confirmed = 0;
      else if (now >= compare_after_ns (checks, server))
        (void)start (checks, server, ENTRY, 0);
    }
}

static bool
entry_differs (const struct kcp_server *server)
{
  for (guint i = 0; i < server->entry.weights->len; i++)
    {
      const struct kcp_server_weights *weights
          = &g_array_index (server->entry.weights, struct kcp_server_weights, i);

      if (weights->version != weights->belief.version)
        return true;
    }
  return false;
}

/* Returns when an entry that names another version is looked into. While the store is
   away, and until entries can have been written since, it is not. */
static int64_t
compare_after_ns (const struct kcp_version_checks *checks,
                  const struct kcp_server *server)
{
  const struct kcp_gateway *gateway = checks->gateway;
  int64_t wait_ns
      = ENTRY_HEARTBEATS * gateway->settings->servers_heartbeat_ms * KCP_NS_PER_MS;
  int64_t since_ns = MAX (server->entry_since_ns, last_seen_ns (server));
  int64_t readable_ns = kcp_feed_readable_since_ns (gateway->feed);

  if (readable_ns == KCP_FEED_NOT_READABLE)
    return INT64_MAX;
  return MAX (since_ns, readable_ns)
         + (wait_ns << MIN (server->versions_confirmed, CONFIRMED_SHIFTS_MAX));
}

/* Returns the latest moment at which the server may have had a version that is believed,
   or lost one. */
static int64_t
last_seen_ns (const struct kcp_server *server)
{
  int64_t seen_ns = 0;

  for (guint i = 0; i < server->entry.weights->len; i++)
    seen_ns = MAX (seen_ns,
                   g_array_index (server->entry.weights, struct kcp_server_weights, i)
                       .belief.seen_ns);
  return seen_ns;
}

/* Starts a check that asks after delay_ns, unless one is running or has just ended. The
   report has to describe a moment after the last one at which the believed version was
   seen. Returns true if one is running now. */
static bool
start (struct kcp_version_checks *checks, struct kcp_server *server, const char *why,
       int64_t delay_ns)
{
  struct kcp_loop *loop = checks->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  struct check *check;

  if (server->removed || server->version_checked || now < server->version_check_after_ns)
    return server->version_checked;
  server->version_checked = true;
  check = g_new0 (struct check, 1);
  check->checks = checks;
  check->server = kcp_server_ref (server);
  check->why = why;
  check->body = g_string_new (NULL);
  g_ptr_array_add (checks->running, check);
  kcp_loop_timer_set (loop, &check->timer,
                      MAX (now + delay_ns, last_seen_ns (server) + REPORT_AGE_NS + 1),
                      ask, check);
  return true;
}

static void
ask (void *user)
{
  struct check *check = user;
  const struct kcp_gateway *gateway = check->checks->gateway;

  if (check->server->removed || is_resolved (check))
    {
      finish (check, check->server->removed ? "server_gone" : "resolved");
      return;
    }
  check->calls++;
  check->asked_ns = kcp_loop_now (gateway->loop);
  g_string_truncate (check->body, 0);
  kcp_server_limit_take (&check->server->limit, check->asked_ns);
  gateway->dialect->write_report_call (check->server->entry.id, &check->control_call);
  check->call = kcp_http_start (
      gateway->client, &(struct kcp_http_spec){
                           .method = check->control_call.method,
                           .address = check->server->entry.address,
                           .target = check->control_call.path,
                           .headers = check->control_call.headers,
                           .connect_ms = gateway->settings->servers_connect_timeout_ms,
                           .total_ms = REPORT_TIMEOUT_MS,
                           .may_repeat = true,
                           .max_idle_s = gateway->settings->servers_max_idle_s,
                           .max_body_bytes = REPORT_MAX_BYTES,
                           .data = on_data,
                           .done = on_done,
                           .user = check,
                       });
}

/* Returns true if the server has shown another version since it turned a request away. */
static bool
is_resolved (const struct check *check)
{
  return strcmp (check->why, TURNED_AWAY) == 0 && !check->server->version_doubted;
}

static bool
on_data (void *user, struct kcp_str bytes)
{
  struct check *check = user;

  g_string_append_len (check->body, bytes.data, (gssize)bytes.len);
  return true;
}

/* The server refuses the call if it is not the one that the call names any more. */
static void
on_done (void *user, const struct kcp_http_result *result)
{
  struct check *check = user;
  const struct kcp_dialect *dialect = check->checks->gateway->dialect;
  struct kcp_str body = { .data = check->body->str, .len = check->body->len };
  struct kcp_server_report report;

  check->call = NULL;
  if (result->end == KCP_HTTP_COMPLETE && dialect->status_is_not_run (result->status))
    finish_for_good (check);
  else if (result->end != KCP_HTTP_COMPLETE || !dialect->read_report (body, &report))
    ask_again (check);
  else
    {
      take_report (check, &report);
      g_array_unref (report.weights);
    }
}

static void
take_report (struct check *check, const struct kcp_server_report *report)
{
  struct kcp_server *server = check->server;
  int64_t before = kcp_server_first_version (server);

  if (!kcp_version_apply_report (server, report, check->asked_ns,
                                 kcp_loop_now (check->checks->gateway->loop)))
    finish_for_good (check);
  else if (!settles (server, report))
    ask_again (check);
  else if (kcp_server_first_version (server) != before)
    finish (check, "changed");
  else
    {
      server->versions_confirmed++;
      finish (check, "confirmed");
    }
}

/* Returns true if what is believed agrees with the report. It does not if the believed
   version was seen again since the moment that the report describes. */
static bool
settles (const struct kcp_server *server, const struct kcp_server_report *report)
{
  for (guint i = 0; i < report->weights->len; i++)
    {
      const struct kcp_server_weights *weights
          = &g_array_index (report->weights, struct kcp_server_weights, i);
      int64_t version = kcp_server_version (server, weights->model);

      if (version > 0 && version != weights->version)
        return false;
    }
  return true;
}

static void
ask_again (struct check *check)
{
  struct kcp_loop *loop = check->checks->gateway->loop;
  int64_t due = kcp_loop_now (loop) + RETRY_NS;

  if (check->calls == CALLS_MAX)
    finish (check, "no_report");
  else
    kcp_loop_timer_set (loop, &check->timer,
                        MAX (due, last_seen_ns (check->server) + REPORT_AGE_NS + 1), ask,
                        check);
}

/* Another process answers at the server's address. It is not asked again: the list will
   show the other one. */
static void
finish_for_good (struct check *check)
{
  struct kcp_server *server = kcp_server_ref (check->server);

  finish (check, "another_start");
  server->version_check_after_ns = INT64_MAX;
  kcp_server_unref (server);
}

/* Logs the outcome and frees the check. */
static void
finish (struct check *check, const char *outcome)
{
  struct kcp_server *server = check->server;
  int64_t now = kcp_loop_now (check->checks->gateway->loop);

  server->version_doubted = false;
  server->version_checked = false;
  server->version_check_after_ns = now + GAP_NS;
  kcp_counter_add (KCP_COUNT_VERSION_CHECKS, 1);
  KCP_LOG ("version_checked", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("why", check->why), KCP_LOG_TEXT ("outcome", outcome),
           KCP_LOG_INT ("version", kcp_server_first_version (server)),
           KCP_LOG_INT ("calls", check->calls),
           KCP_LOG_INT ("seen_age_ms", (now - last_seen_ns (server)) / KCP_NS_PER_MS),
           KCP_LOG_INT ("entry_age_ms", (now - server->entry_since_ns) / KCP_NS_PER_MS));
  g_ptr_array_remove_fast (check->checks->running, check);
}

static void
check_free (gpointer data)
{
  struct check *check = data;

  kcp_loop_timer_cancel (&check->timer);
  if (check->call != NULL)
    kcp_http_cancel (check->call);
  kcp_server_unref (check->server);
  g_string_free (check->body, TRUE);
  g_free (check);
}

/* Applies a report that was asked for at asked_ns. Returns false if it is that of another
   start of the server's process, which says nothing of this one. */
bool
kcp_version_apply_report (struct kcp_server *server,
                          const struct kcp_server_report *report, int64_t asked_ns,
                          int64_t now_ns)
{
  if (report->started_ms != 0 && server->entry.started_ms != 0
      && report->started_ms != server->entry.started_ms)
    return false;
  for (guint i = 0; i < report->weights->len; i++)
    {
      const struct kcp_server_weights *weights
          = &g_array_index (report->weights, struct kcp_server_weights, i);

      kcp_server_show_version (server, weights->model,
                               &(struct kcp_weights_evidence){
                                   .version = weights->version,
                                   .from_ns = asked_ns - REPORT_AGE_NS,
                                   .until_ns = now_ns,
                               });
    }
  server->orders_taken = MAX (server->orders_taken, report->orders_taken);
  return true;
}
