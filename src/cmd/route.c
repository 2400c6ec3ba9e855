#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "cmd/cmd.h"
#include "cmd/options.h"
#include "cmd/signals.h"
#include "forward/blocked_store.h"
#include "forward/cache_reader.h"
#include "forward/caller_server.h"
#include "forward/feed.h"
#include "forward/gateway.h"
#include "forward/mesh.h"
#include "forward/resume_lookup.h"
#include "forward/rollout.h"
#include "forward/software_versions.h"
#include "forward/stream_records.h"
#include "forward/suspect_store.h"
#include "platform/platform.h"
#include "settings/forward_settings.h"

/* The drain stops waiting for requests this long before the end of the grace period. */
#define GRACE_MARGIN_NS (500 * KCP_NS_PER_MS)
/* The time in which the answers to the requests that are left then are sent. */
#define LAST_ANSWERS_NS            (250 * KCP_NS_PER_MS)
#define DRAIN_CHECK_INTERVAL_NS    (50 * KCP_NS_PER_MS)
#define SETTINGS_CHECK_INTERVAL_NS KCP_NS_PER_S
/* Free memory at the top of the heap is returned to the system above this size. The heap
   also has a single arena, since VMs have little memory. */
#define TRIM_THRESHOLD_BYTES (1 << 20)

struct vm
{
  char *path; /* of the settings file */
  struct kcp_forward_settings *settings;
  struct kcp_gateway gateway;
  struct kcp_platform_store *store;
  struct kcp_feed *feed;
  struct kcp_mesh *mesh;
  struct kcp_cache_reader *cache_reader;
  struct kcp_rollout *rollout;
  struct kcp_caller_server *callers;
  struct kcp_caller_server *calling_vms;
  struct kcp_text_server *ready;
  struct kcp_text_server *metrics;
  int signal_fd; /* see cmd/signals.h */
  struct kcp_loop_timer drain_timer;
  struct kcp_loop_timer settings_timer;
  struct timespec settings_mtime; /* mtime of the settings file when it was last read */
  int64_t drain_start_ns;         /* when the drain started; 0: it has not */
  bool requests_ended;            /* those that were left at the end of the drain */
};

static char *read_options (int argc, char **argv, bool *usage);
static struct kcp_forward_settings *load_settings (const char *path);
static bool start (struct vm *vm);
static void stop (struct vm *vm);
static void watch_signals (struct vm *vm);
static void on_signal (void *user, uint32_t events);
static void begin_drain (struct vm *vm);
static void on_drain_timer (void *user);
static void reload_settings (struct vm *vm, const char *cause);
static void on_settings_timer (void *user);
static struct timespec file_mtime (const char *path);
static unsigned answer_ready (void *user, GString *text);
static unsigned answer_metrics (void *user, GString *text);
static void on_feed_changed (void *user);
static void flush_log (void *user);

/* Runs one VM that forwards requests according to the operators' routes, until SIGTERM or
   SIGINT. */
int
kcp_cmd_route (int argc, char **argv)
{
  struct vm vm = { 0 };
  bool usage = false;
  int code = KCP_EXIT_FAILED;

  vm.path = read_options (argc, argv, &usage);
  if (usage)
    return KCP_EXIT_USAGE;
  (void)mallopt (M_ARENA_MAX, 1);
  (void)mallopt (M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
  vm.settings = load_settings (vm.path);
  if (vm.settings == NULL)
    {
      g_free (vm.path);
      return KCP_EXIT_USAGE;
    }
  kcp_decision_log_init (&kcp_clock_system, vm.settings->vm_id,
                         vm.settings->vm_data_center, STDOUT_FILENO);
  kcp_gateway_init (&vm.gateway, vm.settings, &kcp_platform_dialect, &kcp_clock_system);
  watch_signals (&vm);
  if (start (&vm))
    {
      KCP_LOG ("started", KCP_LOG_TEXT ("callers", vm.settings->callers_listen),
               KCP_LOG_TEXT ("store", vm.settings->store_address),
               KCP_LOG_INT ("pid", getpid ()));
      kcp_loop_run (vm.gateway.loop);
      code = KCP_EXIT_OK;
    }
  stop (&vm);
  return code;
}

static char *
read_options (int argc, char **argv, bool *usage)
{
  char *path = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
      "settings of this VM (default: the file named by " KCP_PLATFORM_SETTINGS_ENV ")",
      "FILE" },
    { 0 },
  };

  if (!kcp_options_parse (&argc, &argv, entries, NULL,
                          "kingcuppoint route --settings route.ini"))
    *usage = true;
  if (path == NULL)
    path = g_strdup (getenv (KCP_PLATFORM_SETTINGS_ENV));
  if (path == NULL && !*usage)
    {
      (void)fprintf (stderr, "kingcuppoint: route: --settings is required\n");
      *usage = true;
    }
  return path;
}

static struct kcp_forward_settings *
load_settings (const char *path)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  struct kcp_forward_settings *settings = kcp_forward_settings_load (path, errors);

  for (guint i = 0; i < errors->len; i++)
    (void)fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
  return settings;
}

static bool
start (struct vm *vm)
{
  const struct kcp_forward_settings *settings = vm->settings;
  struct kcp_gateway *gateway = &vm->gateway;
  struct kcp_error error;

  vm->ready
      = kcp_text_server_open (gateway->loop, settings->ready_listen,
                              gateway->dialect->ready_path, answer_ready, vm, &error);
  if (vm->ready == NULL)
    goto fail;
  if (settings->metrics_listen != NULL)
    {
      vm->metrics = kcp_text_server_open (gateway->loop, settings->metrics_listen, NULL,
                                          answer_metrics, vm, &error);
      if (vm->metrics == NULL)
        goto fail;
    }
  vm->callers
      = kcp_caller_server_open (gateway, KCP_CALLERS, settings->callers_listen, &error);
  if (vm->callers == NULL)
    goto fail;
  vm->calling_vms
      = kcp_caller_server_open (gateway, KCP_CALLING_VMS, settings->peers_listen, &error);
  if (vm->calling_vms == NULL)
    goto fail;
  vm->store
      = kcp_platform_store_new (gateway->client, gateway->clock, settings->store_address,
                                settings->store_timeout_ms);
  vm->mesh = kcp_mesh_start (gateway, kcp_platform_store_interface (vm->store), &error);
  if (vm->mesh == NULL)
    goto fail;
  gateway->mesh = vm->mesh;
  gateway->blocked_store
      = kcp_blocked_store_start (gateway, kcp_platform_store_interface (vm->store));
  gateway->suspect_store
      = kcp_suspect_store_start (gateway, kcp_platform_store_interface (vm->store));
  gateway->stream_records
      = kcp_stream_records_start (gateway, kcp_platform_store_interface (vm->store));
  gateway->software_versions
      = kcp_software_versions_start (gateway, kcp_platform_store_interface (vm->store));
  gateway->resume_lookups = kcp_resume_lookups_new (gateway);
  vm->cache_reader = kcp_cache_reader_start (gateway, vm->mesh);
  vm->rollout = kcp_rollout_start (gateway, kcp_platform_store_interface (vm->store));
  vm->feed = kcp_feed_start (gateway, kcp_platform_store_interface (vm->store),
                             on_feed_changed, vm);
  gateway->feed = vm->feed;
  kcp_loop_add_step (gateway->loop, flush_log, vm);
  vm->settings_mtime = file_mtime (vm->path);
  on_settings_timer (vm);
  return true;
fail:
  KCP_LOG ("start_failed", KCP_LOG_TEXT ("step", error.step),
           KCP_LOG_TEXT ("peer", error.peer), KCP_LOG_TEXT ("detail", error.detail));
  kcp_decision_log_flush ();
  return false;
}

static void
stop (struct vm *vm)
{
  KCP_LOG ("stopped", KCP_LOG_INT ("open_requests", vm->gateway.open_requests),
           KCP_LOG_INT ("log_lines_dropped", kcp_decision_log_dropped ()));
  kcp_loop_timer_cancel (&vm->drain_timer);
  kcp_loop_timer_cancel (&vm->settings_timer);
  kcp_caller_server_close (vm->callers);
  kcp_caller_server_close (vm->calling_vms);
  kcp_text_server_close (vm->ready);
  kcp_text_server_close (vm->metrics);
  kcp_rollout_stop (vm->rollout);
  kcp_cache_reader_stop (vm->cache_reader);
  vm->gateway.mesh = NULL;
  kcp_mesh_stop (vm->mesh);
  vm->gateway.feed = NULL;
  kcp_feed_stop (vm->feed);
  kcp_blocked_store_stop (vm->gateway.blocked_store);
  vm->gateway.blocked_store = NULL;
  kcp_suspect_store_stop (vm->gateway.suspect_store);
  vm->gateway.suspect_store = NULL;
  kcp_resume_lookups_free (vm->gateway.resume_lookups);
  kcp_software_versions_stop (vm->gateway.software_versions);
  kcp_stream_records_stop (vm->gateway.stream_records);
  kcp_gateway_clear (&vm->gateway);
  (void)close (vm->signal_fd);
  kcp_platform_store_free (vm->store);
  kcp_forward_settings_free (vm->settings);
  kcp_decision_log_flush ();
  g_free (vm->path);
}

static void
watch_signals (struct vm *vm)
{
  vm->signal_fd = kcp_signals_open ();
  kcp_poller_watch (kcp_loop_poller (vm->gateway.loop), vm->signal_fd, EPOLLIN, on_signal,
                    vm);
}

static void
on_signal (void *user, uint32_t events)
{
  struct vm *vm = user;
  struct kcp_signals arrived = kcp_signals_read (vm->signal_fd);

  (void)events;
  if (arrived.reload)
    reload_settings (vm, "signal");
  if (arrived.stop)
    begin_drain (vm);
}

/* Makes the load balancer's readiness check fail, and keeps serving requests until the
   balancer has had time to notice. */
static void
begin_drain (struct vm *vm)
{
  if (vm->drain_start_ns != 0)
    return;
  vm->drain_start_ns = kcp_loop_now (vm->gateway.loop);
  vm->gateway.draining = true;
  kcp_mesh_leave (vm->mesh);
  KCP_LOG ("draining", KCP_LOG_INT ("open_requests", vm->gateway.open_requests));
  on_drain_timer (vm);
}

/* Stops the event loop once the load balancer has had time to notice the drain and no
   request is in flight, and in any case before the grace period ends. Requests that are
   in progress then are ended with an answer. */
static void
on_drain_timer (void *user)
{
  struct vm *vm = user;
  const struct kcp_forward_settings *settings = vm->settings;
  struct kcp_loop *loop = vm->gateway.loop;
  int64_t now = kcp_loop_now (loop);
  int64_t elapsed_ns = now - vm->drain_start_ns;
  int64_t max_ns = (int64_t)(settings->drain_grace_s * KCP_NS_PER_S) - GRACE_MARGIN_NS;
  bool notice_elapsed = elapsed_ns >= settings->drain_notice_ms * KCP_NS_PER_MS;

  if (notice_elapsed && !vm->gateway.closing)
    {
      vm->gateway.closing = true;
      KCP_LOG ("closing", KCP_LOG_INT ("open_requests", vm->gateway.open_requests));
      kcp_caller_server_close_idle (vm->callers);
      kcp_caller_server_close_idle (vm->calling_vms);
    }
  if (elapsed_ns >= max_ns && !vm->requests_ended)
    {
      vm->requests_ended = true;
      vm->gateway.closing = true;
      KCP_LOG ("drain_over", KCP_LOG_INT ("open_requests", vm->gateway.open_requests));
      kcp_caller_server_end_requests (vm->callers, "vm_stops");
      kcp_caller_server_end_requests (vm->calling_vms, "vm_stops");
    }
  if ((notice_elapsed && vm->gateway.open_requests == 0)
      || elapsed_ns >= max_ns + LAST_ANSWERS_NS)
    kcp_loop_stop (loop);
  else
    kcp_loop_timer_set (loop, &vm->drain_timer, now + DRAIN_CHECK_INTERVAL_NS,
                        on_drain_timer, vm);
}

/* Reloads the settings file and logs the changed keys: numbers as having taken effect,
   and texts, such as addresses and the VM's name, as needing a restart. If the file is
   invalid, the old settings stay in effect. */
static void
reload_settings (struct vm *vm, const char *cause)
{
  struct kcp_forward_settings *new_settings = load_settings (vm->path);
  g_autoptr (GString) at_once = g_string_new (NULL);
  g_autoptr (GString) at_restart = g_string_new (NULL);

  if (new_settings == NULL)
    {
      KCP_LOG ("reload_failed", KCP_LOG_TEXT ("cause", cause));
      return;
    }
  kcp_forward_settings_compare (vm->settings, new_settings, at_once, at_restart);
  KCP_LOG ("reloaded", KCP_LOG_TEXT ("cause", cause),
           KCP_LOG_TEXT ("took_effect", at_once->str),
           KCP_LOG_TEXT ("needs_restart", at_restart->str));
  vm->gateway.settings = new_settings;
  kcp_forward_settings_free (vm->settings);
  vm->settings = new_settings;
}

/* Reloads the settings if the modification time of the file has changed, even without
   SIGHUP. Runs periodically. */
static void
on_settings_timer (void *user)
{
  struct vm *vm = user;
  struct kcp_loop *loop = vm->gateway.loop;
  struct timespec settings_mtime = file_mtime (vm->path);

  if (settings_mtime.tv_sec != vm->settings_mtime.tv_sec
      || settings_mtime.tv_nsec != vm->settings_mtime.tv_nsec)
    {
      vm->settings_mtime = settings_mtime;
      reload_settings (vm, "file_changed");
    }
  kcp_loop_timer_set (loop, &vm->settings_timer,
                      kcp_loop_now (loop) + SETTINGS_CHECK_INTERVAL_NS, on_settings_timer,
                      vm);
}

static struct timespec
file_mtime (const char *path)
{
  struct stat info;

  if (stat (path, &info) != 0)
    return (struct timespec){ 0 };
  return info.st_mtim;
}

static unsigned
answer_ready (void *user, GString *text)
{
  const struct vm *vm = user;
  bool ready = kcp_gateway_is_ready (&vm->gateway);

  g_string_assign (text, ready ? "ready\n" : "not ready\n");
  return ready ? 200 : 503;
}

static unsigned
answer_metrics (void *user, GString *text)
{
  const struct vm *vm = user;

  kcp_counter_print (text);
  kcp_histogram_print (text);
  g_string_append_printf (text, "kingcuppoint_open_requests %u\n",
                          vm->gateway.open_requests);
  return 200;
}

static void
on_feed_changed (void *user)
{
  const struct vm *vm = user;

  if (vm->rollout != NULL)
    kcp_rollout_schedule_check (vm->rollout);
}

static void
flush_log (void *user)
{
  (void)user;
  kcp_decision_log_flush ();
}
