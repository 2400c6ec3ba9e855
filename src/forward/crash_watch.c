#include "forward/crash_watch.h"

#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/server_probe.h"
#include "policy/crash_evidence.h"
#include "policy/fingerprint.h"

#define ATTEMPTS_MAX      512u /* watched at once; the oldest are dropped */
#define PROBE_TIMEOUT_MS  500
#define PROBES_PER_SERIES 3u
#define PROBE_INTERVAL_MS 100
/* After a series of probes that found the server listening, it is not probed again for
   this long. Servers that only reset connections are not burdened with probes. */
#define PROBE_PAUSE_NS (2 * KCP_NS_PER_S)

/* An attempt that ended without an answer, or with an error. */
struct watched_attempt
{
  struct kcp_server *server;      /* a reference */
  struct kcp_crash_causes causes; /* with a reference to the parts */
  int64_t sent_ns;
  int64_t ended_ns;
};

/* A series of probes of one server. */
struct probe_series
{
  struct kcp_crash_watch *watch;
  struct kcp_server *server;      /* a reference */
  struct kcp_server_probe *probe; /* NULL: waiting for the next one */
  unsigned probes;
  struct kcp_loop_timer timer;
};

struct kcp_crash_watch
{
  struct kcp_loop *loop;
  kcp_crash_handler *handler;
  void *user;
  GArray *attempts;  /* struct watched_attempt, oldest first */
  GPtrArray *series; /* struct probe_series */
};

static void
drop_refuted_attempts (struct kcp_crash_watch *watch, const struct kcp_server *server);
static bool
may_explain (const struct kcp_crash_watch *watch, const struct watched_attempt *attempt);
static void drop_old_attempts (struct kcp_crash_watch *watch);
static void start_series (struct kcp_crash_watch *watch, struct kcp_server *server);
static void probe (void *user);
static void on_probed (void *user, enum kcp_probe_result result);
static void end_series (struct probe_series *series);
static struct kcp_server *
find_former (const struct kcp_crash_watch *watch, const struct kcp_server *server);
static void server_ended (struct kcp_crash_watch *watch, struct kcp_server *server,
                          const char *evidence);
static void log_not_counted (const struct watched_attempt *attempt,
                             const struct kcp_crash_facts *facts);
static void
report (struct kcp_crash_watch *watch, const GArray *crashed, const char *evidence);
static void attempt_ref (struct watched_attempt *attempt);
static void attempt_clear (gpointer data);
static void series_free (gpointer data);

/* Creates an empty watch. handler is called for each request that was in flight at a
   server that crashed. */
struct kcp_crash_watch *
kcp_crash_watch_new (struct kcp_loop *loop, kcp_crash_handler *handler, void *user)
{
  struct kcp_crash_watch *watch = g_new0 (struct kcp_crash_watch, 1);

  watch->loop = loop;
  watch->handler = handler;
  watch->user = user;
  watch->attempts = g_array_new (FALSE, FALSE, sizeof (struct watched_attempt));
  g_array_set_clear_func (watch->attempts, attempt_clear);
  watch->series = g_ptr_array_new_with_free_func (series_free);
  return watch;
}

/* Ends all probes and frees the watch; NULL is allowed. */
void
kcp_crash_watch_free (struct kcp_crash_watch *watch)
{
  if (watch == NULL)
    return;
  g_ptr_array_unref (watch->series);
  g_array_unref (watch->attempts);
  g_free (watch);
}

/* Adds an attempt that has just ended without an answer, or with an error. An attempt at
   a server that is leaving is not added: its end is planned. */
void
kcp_crash_watch_add (struct kcp_crash_watch *watch, struct kcp_server *server,
                     const struct kcp_crash_causes *causes, int64_t sent_ns,
                     enum kcp_crash_watch_probe probing)
{
  struct watched_attempt attempt = {
    .server = server,
    .causes = *causes,
    .sent_ns = sent_ns,
    .ended_ns = kcp_loop_now (watch->loop),
  };

  if (kcp_server_is_leaving (server) || server->removed || server->remove_at_ns != 0)
    return;
  drop_refuted_attempts (watch, server);
  drop_old_attempts (watch);
  attempt_ref (&attempt);
  g_array_append_val (watch->attempts, attempt);
  if (probing == KCP_CRASH_WATCH_PROBE)
    start_series (watch, server);
}

/* Reports that the server's address refused a connection. */
void
kcp_crash_watch_on_refused (struct kcp_crash_watch *watch, struct kcp_server *server)
{
  server_ended (watch, server, "connection_refused");
}

/* Reports a server's entry in the list. Other incarnations at its address have ended. */
void
kcp_crash_watch_on_entry (struct kcp_crash_watch *watch, const struct kcp_server *server)
{
  struct kcp_server *former;

  while ((former = find_former (watch, server)) != NULL)
    server_ended (watch, former, "address_taken");
}

/* Returns the server of a watched attempt that had the address of this one, or NULL. */
static struct kcp_server *
find_former (const struct kcp_crash_watch *watch, const struct kcp_server *server)
{
  for (guint i = 0; i < watch->attempts->len; i++)
    {
      struct kcp_server *watched
          = g_array_index (watch->attempts, struct watched_attempt, i).server;

      if (watched != server
          && strcmp (watched->entry.address, server->entry.address) == 0)
        return watched;
    }
  return NULL;
}

/* Drops the attempts that the end of the server can no longer explain, since it has
   answered others after them. */
static void
drop_refuted_attempts (struct kcp_crash_watch *watch, const struct kcp_server *server)
{
  for (guint i = watch->attempts->len; i > 0; i--)
    {
      const struct watched_attempt *attempt
          = &g_array_index (watch->attempts, struct watched_attempt, i - 1);

      if (attempt->server == server && !may_explain (watch, attempt))
        g_array_remove_index (watch->attempts, i - 1);
    }
}

/* Returns true if the end of its server, were it found now, would count against the
   attempt. */
static bool
may_explain (const struct kcp_crash_watch *watch, const struct watched_attempt *attempt)
{
  return kcp_crash_evidence_counts (&(struct kcp_crash_facts){
      .attempt_ended_ns = attempt->ended_ns,
      .last_answer_ns = attempt->server->last_answer_ns,
      .now_ns = kcp_loop_now (watch->loop),
  });
}

/* Drops the attempts for which evidence would come too late, and the oldest one if there
   is no room for another. */
static void
drop_old_attempts (struct kcp_crash_watch *watch)
{
  int64_t oldest_ns = kcp_loop_now (watch->loop) - KCP_CRASH_EVIDENCE_MAX_AGE_NS;
  guint count = 0;

  while (count < watch->attempts->len
         && g_array_index (watch->attempts, struct watched_attempt, count).ended_ns
                < oldest_ns)
    count++;
  if (count == 0 && watch->attempts->len == ATTEMPTS_MAX)
    {
      KCP_LOG ("crash_watch_full", KCP_LOG_INT ("attempts", ATTEMPTS_MAX));
      count = 1;
    }
  g_array_remove_range (watch->attempts, 0, count);
}

/* Starts a series of probes unless one is in progress or has just ended. */
static void
start_series (struct kcp_crash_watch *watch, struct kcp_server *server)
{
  struct probe_series *series;

  if (kcp_loop_now (watch->loop) < server->probe_after_ns)
    return;
  for (guint i = 0; i < watch->series->len; i++)
    if (((struct probe_series *)g_ptr_array_index (watch->series, i))->server == server)
      return;
  series = g_new0 (struct probe_series, 1);
  series->watch = watch;
  series->server = kcp_server_ref (server);
  g_ptr_array_add (watch->series, series);
  probe (series);
}

static void
probe (void *user)
{
  struct probe_series *series = user;

  series->probes++;
  series->probe
      = kcp_server_probe_start (series->watch->loop, series->server->entry.address,
                                PROBE_TIMEOUT_MS, on_probed, series);
}

static void
on_probed (void *user, enum kcp_probe_result result)
{
  struct probe_series *series = user;
  struct kcp_crash_watch *watch = series->watch;
  int64_t now = kcp_loop_now (watch->loop);

  series->probe = NULL;
  switch (result)
    {
    case KCP_PROBE_REFUSED:
      server_ended (watch, series->server, "connection_refused");
      end_series (series);
      return;
    case KCP_PROBE_CONNECTED:
    case KCP_PROBE_NO_ANSWER:
      break;
    }
  if (series->probes < PROBES_PER_SERIES)
    {
      kcp_loop_timer_set (watch->loop, &series->timer,
                          now + PROBE_INTERVAL_MS * KCP_NS_PER_MS, probe, series);
      return;
    }
  KCP_LOG ("server_listens", KCP_LOG_TEXT ("server", series->server->entry.id),
           KCP_LOG_INT ("probes", series->probes));
  series->server->probe_after_ns = now + PROBE_PAUSE_NS;
  end_series (series);
}

static void
end_series (struct probe_series *series)
{
  g_ptr_array_remove_fast (series->watch->series, series);
}

/* Removes the watched attempts at a server that has ended, and reports those that its end
   explains. */
static void
server_ended (struct kcp_crash_watch *watch, struct kcp_server *server,
              const char *evidence)
{
  g_autoptr (GArray) crashed
      = g_array_new (FALSE, FALSE, sizeof (struct watched_attempt));
  int64_t now = kcp_loop_now (watch->loop);

  kcp_server_ref (server); /* the attempts may hold the last references */
  g_array_set_clear_func (crashed, attempt_clear);
  for (guint i = watch->attempts->len; i > 0; i--)
    {
      struct watched_attempt attempt
          = g_array_index (watch->attempts, struct watched_attempt, i - 1);
      struct kcp_crash_facts facts = {
        .attempt_ended_ns = attempt.ended_ns,
        .last_answer_ns = server->last_answer_ns,
        .now_ns = now,
      };

      if (attempt.server != server)
        continue;
      attempt_ref (&attempt);
      g_array_remove_index (watch->attempts, i - 1);
      if (kcp_crash_evidence_counts (&facts))
        g_array_prepend_val (crashed, attempt);
      else
        {
          log_not_counted (&attempt, &facts);
          attempt_clear (&attempt);
        }
    }
  if (crashed->len > 0)
    report (watch, crashed, evidence);
  kcp_server_unref (server);
}

/* Logs that a server has ended, but not because of an attempt that ended before. */
static void
log_not_counted (const struct watched_attempt *attempt,
                 const struct kcp_crash_facts *facts)
{
  char fingerprint[KCP_FINGERPRINT_TEXT_SIZE];

  KCP_LOG (
      "crash_not_counted", KCP_LOG_TEXT ("server", attempt->server->entry.id),
      KCP_LOG_TEXT ("fingerprint",
                    kcp_fingerprint_text (attempt->causes.fingerprint, fingerprint)),
      KCP_LOG_INT ("after_ms", (facts->now_ns - facts->attempt_ended_ns) / KCP_NS_PER_MS),
      KCP_LOG_INT ("answer_after_ms",
                   (facts->last_answer_ns - facts->attempt_ended_ns) / KCP_NS_PER_MS));
}

static void
report (struct kcp_crash_watch *watch, const GArray *crashed, const char *evidence)
{
  const struct watched_attempt *first
      = &g_array_index (crashed, struct watched_attempt, 0);

  kcp_counter_add (KCP_COUNT_SERVER_CRASHES, 1);
  KCP_LOG ("server_crashed", KCP_LOG_TEXT ("server", first->server->entry.id),
           KCP_LOG_TEXT ("evidence", evidence), KCP_LOG_INT ("requests", crashed->len),
           KCP_LOG_INT ("after_ms",
                        (kcp_loop_now (watch->loop) - first->ended_ns) / KCP_NS_PER_MS));
  for (guint i = 0; i < crashed->len; i++)
    {
      const struct watched_attempt *attempt
          = &g_array_index (crashed, struct watched_attempt, i);

      watch->handler (watch->user, &(struct kcp_crash){
                                       .causes = attempt->causes,
                                       .server = attempt->server,
                                       .sent_ns = attempt->sent_ns,
                                       .ended_ns = attempt->ended_ns,
                                   });
    }
}

static void
attempt_ref (struct watched_attempt *attempt)
{
  (void)kcp_server_ref (attempt->server);
  if (attempt->causes.parts != NULL)
    (void)g_array_ref (attempt->causes.parts);
}

static void
attempt_clear (gpointer data)
{
  struct watched_attempt *attempt = data;

  if (attempt->causes.parts != NULL)
    g_array_unref (attempt->causes.parts);
  kcp_server_unref (attempt->server);
}

static void
series_free (gpointer data)
{
  struct probe_series *series = data;

  kcp_loop_timer_cancel (&series->timer);
  kcp_server_probe_cancel (series->probe);
  kcp_server_unref (series->server);
  g_free (series);
}
