#include <ck_pr.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#include "backend/list_poller.h"
#include "backend/load_poller.h"
#include "base/logger.h"
#include "cmd/cmd.h"
#include "cmd/options.h"
#include "cmd/share_suspects.h"
#include "http/admin.h"
#include "http/caller_api.h"
#include "logstore/config_tail.h"
#include "peer/peer.h"
#include "request/admit.h"
#include "request/dispatch.h"

#define DRAIN_POLL_MS          20
#define FINAL_FLUSH_TIMEOUT_MS 1000
#define MMAP_THRESHOLD_BYTES   (128 << 10) /* the default, made fixed */

/* The components of one VM, in the order in which they are started. */
struct server
{
  struct kcp_settings *settings;
  struct kcp_router router;
  struct kcp_platform_log *log;
  struct kcp_config_tail *tail;
  struct kcp_peer *peer;
  struct kcp_list_poller *list_poller;
  struct kcp_load_poller *load_poller;
  struct kcp_event_reader *event_reader;
  struct kcp_admin *admin;
  struct kcp_caller_api *caller_api;
};

static struct kcp_settings *load_settings (int argc, char **argv);
static bool start (struct server *server);
static void create_shared_state (struct server *server);
static void start_platform (struct server *server);
static void start_backends (struct server *server);
static void announce (const struct server *server);
static void wait_for_signal (void);
static void drain (struct server *server);
static void wait_for_answers (struct server *server, int64_t timeout_ms);
static void stop (struct server *server);

/* Runs one VM that serves callers until SIGTERM or SIGINT. Ends every request before it
   returns. */
int
kcp_cmd_serve (int argc, char **argv)
{
  struct server server = { .settings = load_settings (argc, argv) };
  sigset_t signals;
  int code = KCP_EXIT_FAILED;

  if (server.settings == NULL)
    return KCP_EXIT_USAGE;
  /* Otherwise the allocator raises the threshold, and keeps the memory of bodies that
     were dropped. */
  (void)mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
  kcp_logger_init (server.settings->vm_id, server.settings->vm_data_center);
  if (start (&server))
    {
      announce (&server);
      wait_for_signal ();
      drain (&server);
      code = KCP_EXIT_OK;
    }
  stop (&server);
  return code;
}

static struct kcp_settings *
load_settings (int argc, char **argv)
{
  g_autofree char *path = NULL;
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "settings of this VM", "FILE" },
    { 0 },
  };
  struct kcp_settings *settings;

  if (!kcp_options_parse (&argc, &argv, entries, NULL,
                          "kingcuppoint serve --settings kingcuppoint.ini"))
    return NULL;
  if (path == NULL)
    {
      (void)fprintf (stderr, "kingcuppoint: serve: --settings is required\n");
      return NULL;
    }
  settings = kcp_settings_load (path, errors);
  for (guint i = 0; i < errors->len; i++)
    (void)fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
  return settings;
}

static bool
start (struct server *server)
{
  struct kcp_error error;

  create_shared_state (server);
  start_platform (server);
  server->peer = kcp_peer_start (server->settings, server->router.clock,
                                 server->router.timeline, server->router.config, &error);
  if (server->peer == NULL)
    goto fail;
  start_backends (server);
  server->admin = kcp_admin_start (&server->router, server->log, &error);
  if (server->admin == NULL)
    goto fail;
  server->caller_api = kcp_caller_api_start (&server->router, &error);
  if (server->caller_api != NULL)
    return true;
fail:
  kcp_logger_error ("start_failed", NULL, &error);
  return false;
}

/* Creates the state that all requests share. Starts no thread that uses the network. */
static void
create_shared_state (struct server *server)
{
  const struct kcp_settings *settings = server->settings;
  struct kcp_router *router = &server->router;

  router->settings = settings;
  router->clock = &kcp_clock_system;
  router->timeline
      = kcp_timeline_new (router->clock, (size_t)settings->vm_timeline_entries);
  router->config = kcp_config_new (router->clock);
  router->registry = kcp_registry_new (router->clock);
  router->open_requests = kcp_open_requests_new ();
  router->fetch_pool = kcp_fetch_pool_new (router->clock, (unsigned)settings->vm_workers);
  router->timers = kcp_timers_new (router->clock);
  router->retry_gate = kcp_retry_gate_new (settings->retry_budget_percent);
  router->costs = kcp_placement_standard_costs;
  router->data_center = g_quark_from_string (settings->vm_data_center);
  router->suspects
      = kcp_suspects_new (router->clock, settings->quarantine_s * KCP_NS_PER_S);
  router->facts = kcp_engine_facts_new (settings->backends_cache_index_blocks,
                                        settings->backends_concurrency);
  router->admit = kcp_admit_start (router, &kcp_dispatch_admit_events);
  kcp_registry_set_observer (router->registry, kcp_admit_wake, router->admit);
}

/* Starts the components that read the platform's log. */
static void
start_platform (struct server *server)
{
  const struct kcp_settings *settings = server->settings;
  struct kcp_router *router = &server->router;

  server->log
      = kcp_platform_log_new (settings->platform_log_url, settings->platform_timeout_ms);
  router->booking = kcp_booking_start (
      &(struct kcp_booking_options){ .settings = settings, .clock = router->clock });
  server->tail = kcp_config_tail_start (
      server->log, router->config, router->timeline,
      &(struct kcp_config_tail_options){
          .clock = router->clock,
          .poll_ms = settings->platform_poll_ms,
          .checkpoint_records = (uint64_t)settings->platform_checkpoint_records,
          .checkpoint_age_s = settings->platform_checkpoint_age_s,
      });
}

/* Starts the components that poll the platform's list and the backend servers in it. */
static void
start_backends (struct server *server)
{
  const struct kcp_settings *settings = server->settings;
  struct kcp_router *router = &server->router;

  kcp_share_suspects (router->suspects, server->peer);
  router->vm_source = (struct kcp_vm_source){ kcp_peer_vms_to_json, server->peer };
  server->list_poller = kcp_list_poller_start (
      router->registry, settings->platform_list_url, settings->platform_timeout_ms,
      settings->platform_poll_ms, kcp_peer_update_seeds, server->peer);
  server->load_poller = kcp_load_poller_start (router->registry, router->fetch_pool,
                                               settings->platform_timeout_ms,
                                               settings->backends_load_poll_ms);
  server->event_reader = kcp_event_reader_start (
      router->registry, router->fetch_pool, settings->platform_timeout_ms,
      kcp_engine_facts_apply_events, router->facts);
  router->orders = kcp_orders_start (&(struct kcp_orders_options){
      .log = server->log,
      .registry = router->registry,
      .clock = router->clock,
      .timeline = router->timeline,
      .vm = settings->vm_id,
      .data_center = router->data_center,
      .max_loading = (unsigned)settings->backends_max_loading,
      .lease_ms = settings->backends_order_lease_ms,
      .poll_ms = settings->platform_poll_ms,
      .timeout_ms = settings->platform_timeout_ms,
  });
}

static void
announce (const struct server *server)
{
  g_autofree char *callers
      = g_strdup_printf ("%d", kcp_caller_api_port (server->caller_api));
  g_autofree char *operators = g_strdup_printf ("%d", kcp_admin_port (server->admin));

  g_autofree char *peers = g_strdup_printf ("%d", kcp_peer_port (server->peer));

  kcp_timeline_add (server->router.timeline, KCP_EVENT_STARTED, NULL, NULL, 0);
  kcp_logger_write (G_LOG_LEVEL_MESSAGE, "listening", "callers", callers, "operators",
                    operators, "peers", peers, NULL);
}

static void
wait_for_signal (void)
{
  sigset_t signals;
  int number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  while (sigwait (&signals, &number) != 0)
    continue;
}

/* Makes /readyz fail first, so that the load balancer sends no new calls, and then waits
   until every answer has been sent to its last byte. Requests that are still in flight at
   the time limit are ended with an error, since the callers' server cannot stop while a
   connection waits for its answer. */
static void
drain (struct server *server)
{
  const struct kcp_settings *settings = server->settings;

  kcp_logger_write (G_LOG_LEVEL_MESSAGE, "draining", NULL);
  kcp_timeline_add (server->router.timeline, KCP_EVENT_STOPPING, NULL, NULL, 0);
  ck_pr_store_int (&server->router.draining, 1);
  kcp_peer_leave (server->peer);
  g_usleep ((gulong)(settings->vm_drain_notice_ms * G_TIME_SPAN_MILLISECOND));
  wait_for_answers (server, settings->vm_drain_limit_ms);
  kcp_open_requests_end_all (server->router.open_requests);
  wait_for_answers (server, FINAL_FLUSH_TIMEOUT_MS);
  kcp_logger_write (G_LOG_LEVEL_MESSAGE, "drained", NULL);
}

static void
wait_for_answers (struct server *server, int64_t timeout_ms)
{
  int64_t waited_ms = 0;

  while (waited_ms < timeout_ms
         && (kcp_caller_api_exchanges_in_flight (server->caller_api) > 0
             || kcp_open_requests_count (server->router.open_requests) > 0))
    {
      g_usleep (DRAIN_POLL_MS * G_TIME_SPAN_MILLISECOND);
      waited_ms += DRAIN_POLL_MS;
    }
}

static void
stop (struct server *server)
{
  struct kcp_router *router = &server->router;

  kcp_caller_api_stop (server->caller_api);
  kcp_admin_stop (server->admin);
  kcp_orders_stop (router->orders);
  kcp_event_reader_stop (server->event_reader);
  kcp_load_poller_stop (server->load_poller);
  kcp_list_poller_stop (server->list_poller);
  kcp_config_tail_stop (server->tail);
  kcp_admit_stop (router->admit);
  kcp_fetch_pool_free (router->fetch_pool);
  /* Requests that end before this point may still publish facts to other VMs. */
  kcp_peer_stop (server->peer);
  kcp_booking_stop (router->booking);
  kcp_timers_free (router->timers);
  kcp_retry_gate_free (router->retry_gate);
  kcp_admit_free (router->admit);
  kcp_engine_facts_free (router->facts);
  kcp_platform_log_free (server->log);
  kcp_registry_free (router->registry);
  kcp_config_free (router->config);
  kcp_open_requests_free (router->open_requests);
  kcp_suspects_free (router->suspects);
  kcp_timeline_free (router->timeline);
  kcp_settings_free (server->settings);
}
