#include "forward/reach_watch.h"

#include <string.h>

#include "base/decision_log.h"
#include "forward/server_probe.h"

#define TICK_NS          (50 * KCP_NS_PER_MS)
#define PROBE_TIMEOUT_MS 250
#define PROBES_MAX       8u /* in progress at once */

/* A probe in progress. */
struct path_probe
{
  struct kcp_reach_watch *watch;
  struct kcp_server *server; /* a reference */
  struct kcp_server_probe *probe;
};

struct kcp_reach_watch
{
  struct kcp_loop *loop;
  const struct kcp_servers *servers;
  GPtrArray *probes; /* struct path_probe */
  guint unreached;   /* servers, at the last tick */
  guint next;        /* index of the server that is looked at first */
  bool ticking;      /* some server is not reached, and the timer is set */
  struct kcp_loop_timer timer;
};

static void set_timer (struct kcp_reach_watch *watch);
static void on_tick (void *user);
static bool is_due (const struct kcp_reach_watch *watch, const struct kcp_server *server);
static bool
is_probed (const struct kcp_reach_watch *watch, const struct kcp_server *server);
static void start_probe (struct kcp_reach_watch *watch, struct kcp_server *server);
static void on_probed (void *user, enum kcp_probe_result result);
static void hasten_probes (struct kcp_reach_watch *watch, const char *service);
static void probe_free (gpointer data);

/* Creates a watch of the paths to the servers of a table, which must outlive it. */
struct kcp_reach_watch *
kcp_reach_watch_new (struct kcp_loop *loop, const struct kcp_servers *servers)
{
  struct kcp_reach_watch *watch = g_new0 (struct kcp_reach_watch, 1);

  watch->loop = loop;
  watch->servers = servers;
  watch->probes = g_ptr_array_new_with_free_func (probe_free);
  return watch;
}

/* Ends all probes and frees the watch; NULL is allowed. */
void
kcp_reach_watch_free (struct kcp_reach_watch *watch)
{
  if (watch == NULL)
    return;
  kcp_loop_timer_cancel (&watch->timer);
  g_ptr_array_unref (watch->probes);
  g_free (watch);
}

/* Records that no connection to the server could be established. */
void
kcp_reach_watch_on_failure (struct kcp_reach_watch *watch, struct kcp_server *server)
{
  bool first = !kcp_reach_has_failed (&server->reach);

  kcp_reach_record_failure (&server->reach, kcp_loop_now (watch->loop));
  set_timer (watch);
  if (first)
    KCP_LOG ("server_unreached", KCP_LOG_TEXT ("server", server->entry.id),
             KCP_LOG_TEXT ("service", server->entry.service),
             KCP_LOG_TEXT ("paths", kcp_paths_name (kcp_reach_watch_paths (
                                        watch, server->entry.service))));
}

/* Records that the server has answered, or accepted a connection. */
void
kcp_reach_watch_on_contact (struct kcp_reach_watch *watch, struct kcp_server *server)
{
  enum kcp_paths before;

  if (!kcp_reach_has_failed (&server->reach))
    {
      server->reach.contact_ns = kcp_loop_now (watch->loop);
      return;
    }
  before = kcp_reach_watch_paths (watch, server->entry.service);
  (void)kcp_reach_record_contact (&server->reach, kcp_loop_now (watch->loop));
  kcp_server_record_answer (server);
  KCP_LOG ("server_reached", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("service", server->entry.service),
           KCP_LOG_TEXT ("paths_before", kcp_paths_name (before)));
  if (before != KCP_PATHS_SOUND)
    hasten_probes (watch, server->entry.service);
}

/* Returns the state of the paths to the service's servers. */
enum kcp_paths
kcp_reach_watch_paths (const struct kcp_reach_watch *watch, const char *service)
{
  const GPtrArray *servers = kcp_servers_all (watch->servers);
  struct kcp_reach_sum sum = { 0 };

  if (!watch->ticking)
    return KCP_PATHS_SOUND;
  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      if (server->entry.state == KCP_SERVER_READY
          && strcmp (server->entry.service, service) == 0)
        kcp_reach_sum_add (&sum, &server->reach);
    }
  return kcp_reach_paths (&sum);
}

static void
set_timer (struct kcp_reach_watch *watch)
{
  if (watch->ticking)
    return;
  watch->ticking = true;
  kcp_loop_timer_set (watch->loop, &watch->timer, kcp_loop_now (watch->loop) + TICK_NS,
                      on_tick, watch);
}

/* Starts the probes that are due, each server in its turn. */
static void
on_tick (void *user)
{
  struct kcp_reach_watch *watch = user;
  const GPtrArray *servers = kcp_servers_all (watch->servers);
  guint first = watch->next;
  guint unreached = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      guint at = (first + i) % servers->len;
      struct kcp_server *server = g_ptr_array_index (servers, at);

      unreached += kcp_reach_has_failed (&server->reach);
      if (watch->probes->len >= PROBES_MAX || !is_due (watch, server))
        continue;
      start_probe (watch, server);
      watch->next = at + 1;
    }
  watch->ticking = false;
  watch->unreached = unreached;
  if (unreached > 0)
    set_timer (watch);
}

/* Returns true if the server's path is to be probed now: it failed, or those of its
   service are in doubt and it has not been tried since. */
static bool
is_due (const struct kcp_reach_watch *watch, const struct kcp_server *server)
{
  if (is_probed (watch, server))
    return false;
  if (kcp_reach_has_failed (&server->reach))
    return kcp_loop_now (watch->loop) >= server->reach.probe_after_ns;
  return watch->unreached >= KCP_REACH_DOUBT_SERVERS
         && server->entry.state == KCP_SERVER_READY
         && kcp_reach_watch_paths (watch, server->entry.service) == KCP_PATHS_DOUBT;
}

static bool
is_probed (const struct kcp_reach_watch *watch, const struct kcp_server *server)
{
  for (guint i = 0; i < watch->probes->len; i++)
    {
      const struct path_probe *probe = g_ptr_array_index (watch->probes, i);

      if (probe->server == server)
        return true;
    }
  return false;
}

static void
start_probe (struct kcp_reach_watch *watch, struct kcp_server *server)
{
  struct path_probe *probe = g_new0 (struct path_probe, 1);

  probe->watch = watch;
  probe->server = kcp_server_ref (server);
  g_ptr_array_add (watch->probes, probe);
  probe->probe = kcp_server_probe_start (watch->loop, server->entry.address,
                                         PROBE_TIMEOUT_MS, on_probed, probe);
}

static void
on_probed (void *user, enum kcp_probe_result result)
{
  struct path_probe *probe = user;
  struct kcp_reach_watch *watch = probe->watch;
  struct kcp_server *server = kcp_server_ref (probe->server);

  probe->probe = NULL;
  g_ptr_array_remove_fast (watch->probes, probe);
  switch (result)
    {
    case KCP_PROBE_CONNECTED:
      kcp_reach_watch_on_contact (watch, server);
      break;
    case KCP_PROBE_REFUSED:
    case KCP_PROBE_NO_ANSWER:
      if (!server->removed)
        kcp_reach_watch_on_failure (watch, server);
      break;
    }
  kcp_server_unref (server);
}

/* Has the other paths of the service probed at once, since they may be back as well. */
static void
hasten_probes (struct kcp_reach_watch *watch, const char *service)
{
  const GPtrArray *servers = kcp_servers_all (watch->servers);

  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);

      if (strcmp (server->entry.service, service) == 0)
        server->reach.probe_after_ns = 0;
    }
}

static void
probe_free (gpointer data)
{
  struct path_probe *probe = data;

  kcp_server_probe_cancel (probe->probe);
  kcp_server_unref (probe->server);
  g_free (probe);
}
