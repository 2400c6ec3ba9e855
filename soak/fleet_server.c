/* The servers of the soak test of a fleet: their processes, entries and faults, and the
   configuration. */
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/fleet.h"
#include "tests/harness/free_port.h"

#define LIST_DELAY_MIN_MS 20
#define LIST_DELAY_MAX_MS 300
#define DOWN_MIN_MS       200
#define DOWN_MAX_MS       2500
#define STOP_MIN_MS       100
#define STOP_MAX_MS       2500
#define FLAP_MAX_MS       400
#define FLAPS_MAX         5
#define LAPSE_MS          60   /* between the lapses of one server */
#define LAPSE_MAX_MS      2000 /* until the last one ends */
#define LAPSES_MAX        20
#define REMOVAL_MIN_MS    1000
#define REMOVAL_MAX_MS    3600
#define LEAVE_MIN_MS      3200
#define LEAVE_MAX_MS      5000
#define REUSE_MS          2000 /* until another service takes an address */
#define ONE_IN            10   /* servers is of the second service */
#define TOGETHER          4    /* one in so many fails at once */
#define ANOTHER_SOFTWARE  4    /* one in so many new servers has the other version */

static void start_server (struct fleet_server *server);
static void kill_server (struct fleet_server *server, int64_t now_us, int64_t down_us);
static void note (const struct fleet_server *server, const char *event);
static void list_server (struct fleet_server *server, const char *state);

static int64_t
random_us (int min_ms, int max_ms)
{
  return g_rand_int_range (fleet.random, min_ms, max_ms) * (int64_t)1000;
}

/* Writes a line about the server's process to its records. */
static void
note (const struct fleet_server *server, const char *event)
{
  g_autofree char *line = g_strdup_printf (
      "%" G_GINT64_FORMAT " %s %s -\n", g_get_monotonic_time (), server->instance, event);
  int fd = open (server->records, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);

  if (write (fd, line, strlen (line)) < 0)
    abort ();
  (void)close (fd);
}

static void
start_server (struct fleet_server *server)
{
  g_autofree char *seed = g_strdup_printf (
      "%u", fleet.seed * 100000 + server->number * 1000 + server->starts);
  g_autofree char *port = g_strdup_printf ("%d", server->port);
  g_autofree char *born = NULL;
  sigset_t signals;
  sigset_t before;

  if (server->starts == 0 || server->new_id)
    (void)g_snprintf (server->instance, sizeof server->instance, "e%u.%u", server->number,
                      server->starts);
  if (server->new_service)
    server->service = 1 - server->service;
  if (server->new_id && g_rand_int_range (fleet.random, 0, ANOTHER_SOFTWARE) == 0)
    server->software = strcmp (server->software, "v1") == 0 ? "v2" : "v1";
  server->new_id = false;
  server->new_service = false;
  server->starts++;
  server->start_us = 0;
  server->born_ms = g_get_real_time () / 1000;
  server->entries = 0;
  born = g_strdup_printf ("%" G_GINT64_FORMAT, server->born_ms);
  /* Kept until the server handles them. */
  (void)sigemptyset (&signals);
  (void)sigaddset (&signals, SIGUSR1);
  (void)sigaddset (&signals, SIGUSR2);
  (void)pthread_sigmask (SIG_BLOCK, &signals, &before);
  server->pid = fork ();
  if (server->pid == 0)
    {
      (void)close_range (STDERR_FILENO + 1, ~0u, 0);
      (void)execl (fleet.program, fleet.program, "engine", seed, server->instance, port,
                   server->software, born, server->records, (char *)NULL);
      _exit (127);
    }
  (void)pthread_sigmask (SIG_SETMASK, &before, NULL);
  server->list_us
      = g_get_monotonic_time () + random_us (LIST_DELAY_MIN_MS, LIST_DELAY_MAX_MS);
}

/* Writes the server's entry to the list. */
static void
list_server (struct fleet_server *server, const char *state)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%u\","
      "\"version\":\"%s\",\"slots\":12,\"state\":\"%s\",\"seq-no\":%u,"
      "\"born\":%" G_GINT64_FORMAT ",\"models\":[{\"name\":\"m\",\"version\":1}]}",
      fleet_services[server->service], fleet_link_server_port (server->number),
      server->number % FLEET_DATA_CENTERS, server->software, state, ++server->entries,
      server->born_ms);

  fake_platform_put_server_entry (fleet.platform, server->instance, text);
}

static void
kill_server (struct fleet_server *server, int64_t now_us, int64_t down_us)
{
  struct fleet_removal removal
      = { .at_us = now_us + random_us (REMOVAL_MIN_MS, REMOVAL_MAX_MS) };

  if (server->pid == 0)
    return;
  (void)kill (server->pid, SIGKILL);
  note (server, "killed");
  (void)waitpid (server->pid, NULL, 0);
  server->pid = 0;
  server->resume_us = 0;
  server->leave_us = 0;
  server->list_us = 0;
  server->start_us = now_us + down_us;
  if (!server->new_id)
    return;
  (void)g_strlcpy (removal.instance, server->instance, sizeof removal.instance);
  g_array_append_val (fleet.removals, removal);
}

static void
stop_server (struct fleet_server *server, int64_t now_us, int64_t duration_us)
{
  if (server->pid == 0 || server->resume_us != 0)
    return;
  (void)kill (server->pid, SIGSTOP);
  note (server, "stopped");
  server->resume_us = now_us + duration_us;
}

static void
let_server_leave (struct fleet_server *server, int64_t now_us)
{
  if (server->pid == 0 || server->leave_us != 0 || server->list_us != 0)
    return;
  list_server (server, "draining");
  (void)kill (server->pid, SIGUSR1);
  server->leave_us = now_us + random_us (LEAVE_MIN_MS, LEAVE_MAX_MS);
}

/* Kills a server, which comes back under its id or another one. */
static void
crash_server (struct fleet_server *server, int64_t now_us)
{
  server->new_id = g_rand_boolean (fleet.random);
  kill_server (server, now_us, random_us (DOWN_MIN_MS, DOWN_MAX_MS));
}

/* Injects a fault that several servers have at once. */
static void
fail_with_others (struct fleet_server *server, int kind, int64_t now_us)
{
  if (kind == 12)
    crash_server (server, now_us);
  else if (kind == 13)
    stop_server (server, now_us, random_us (STOP_MIN_MS, STOP_MAX_MS));
  else
    server->lapses = MAX (server->lapses, 1);
}

/* Takes the entry of a server that goes on serving off the list, until list_us. Such a
   server is overloaded as often as not. */
static void
lapse_entry (struct fleet_server *server, int64_t now_us)
{
  server->lapses--;
  if (g_rand_boolean (fleet.random))
    (void)kill (server->pid, SIGUSR2);
  fake_platform_put_server_entry (fleet.platform, server->instance, "");
  server->list_us = now_us + random_us (1, server->lapses > 0 ? LAPSE_MS : LAPSE_MAX_MS);
}

/* Injects one random fault into one or several servers; earlier ones may still last. */
void
fleet_inject_server_fault (int64_t now_us)
{
  struct fleet_server *server
      = &fleet.servers[g_rand_int_range (fleet.random, 0, (gint32)fleet.server_count)];
  int kind = g_rand_int_range (fleet.random, 0, 15);

  switch (kind)
    {
    case 0:
    case 1:
    case 2:
    case 3:
      crash_server (server, now_us);
      break;
    case 4:
    case 5:
      stop_server (server, now_us, random_us (STOP_MIN_MS, STOP_MAX_MS));
      break;
    case 6:
      let_server_leave (server, now_us);
      break;
    case 7:
    case 8:
      server->flaps = (unsigned)g_rand_int_range (fleet.random, 1, FLAPS_MAX);
      break;
    case 9:
      server->new_id = true;
      server->new_service = server->number % ONE_IN != 0;
      kill_server (server, now_us, REUSE_MS * 1000);
      break;
    case 10:
    case 11:
      server->lapses = (unsigned)g_rand_int_range (fleet.random, 1, LAPSES_MAX);
      break;
    default:
      for (unsigned i = 0; i < fleet.server_count; i++)
        if (g_rand_int_range (fleet.random, 0, TOGETHER) == 0)
          fail_with_others (&fleet.servers[i], kind, now_us);
      break;
    }
}

/* Ends what is due of a server's faults, or every fault if all is true. */
static void
end_server_faults (struct fleet_server *server, int64_t now_us, bool all)
{
  if (server->pid != 0 && waitpid (server->pid, NULL, WNOHANG) == server->pid)
    {
      fleet_broken ("HARNESS, a server ended by itself", "-", server->instance);
      server->pid = 0;
      server->start_us = now_us;
    }
  if (server->resume_us != 0 && (all || now_us >= server->resume_us))
    {
      (void)kill (server->pid, SIGCONT);
      note (server, "continued");
      server->resume_us = 0;
    }
  if (server->leave_us != 0 && now_us >= server->leave_us)
    {
      fake_platform_put_server_entry (fleet.platform, server->instance, "");
      server->new_id = true;
      kill_server (server, now_us, random_us (DOWN_MIN_MS, DOWN_MAX_MS));
    }
  if (server->flaps > 0 && server->list_us == 0 && server->pid != 0 && !all)
    {
      server->flaps--;
      kill_server (server, now_us, random_us (1, FLAP_MAX_MS));
    }
  if (server->lapses > 0 && server->list_us == 0 && server->pid != 0
      && server->leave_us == 0 && !all)
    lapse_entry (server, now_us);
  if (server->pid == 0 && (all || now_us >= server->start_us))
    start_server (server);
  if (server->list_us != 0 && now_us >= server->list_us)
    {
      list_server (server, "ready");
      server->list_us = 0;
    }
}

/* Ends the faults of servers that are due or, if all is true, every one. */
void
fleet_end_server_faults (int64_t now_us, bool all)
{
  for (unsigned i = 0; i < fleet.server_count; i++)
    end_server_faults (&fleet.servers[i], now_us, all);
  for (guint i = fleet.removals->len; i > 0; i--)
    {
      const struct fleet_removal *removal
          = &g_array_index (fleet.removals, struct fleet_removal, i - 1);

      if (!all && now_us < removal->at_us)
        continue;
      fake_platform_put_server_entry (fleet.platform, removal->instance, "");
      g_array_remove_index (fleet.removals, i - 1);
    }
}

/* Starts all servers; two software versions serve. */
void
fleet_servers_start (void)
{
  fleet.removals = g_array_new (FALSE, FALSE, sizeof (struct fleet_removal));
  for (unsigned i = 0; i < fleet.server_count; i++)
    {
      struct fleet_server *server = &fleet.servers[i];
      g_autofree char *name = g_strdup_printf ("server%u.txt", i);

      *server = (struct fleet_server){ .number = i,
                                       .port = free_port (SOCK_STREAM),
                                       .service = i % ONE_IN == 0 ? 1 : 0,
                                       .software = i / 2 % 2 == 0 ? "v1" : "v2",
                                       .records
                                       = g_build_filename (fleet.folder, name, NULL) };
    }
  if (fleet.has_links)
    fleet_links_start_servers ();
  for (unsigned i = 0; i < fleet.server_count; i++)
    start_server (&fleet.servers[i]);
}

void
fleet_servers_stop (void)
{
  for (unsigned i = 0; i < fleet.server_count; i++)
    {
      struct fleet_server *server = &fleet.servers[i];

      if (server->pid != 0)
        {
          (void)kill (server->pid, SIGKILL);
          (void)waitpid (server->pid, NULL, 0);
        }
      g_free (server->records);
    }
  g_array_unref (fleet.removals);
}

/* Writes the next version of the configuration. The first one is fixed. */
void
fleet_put_config (void)
{
  static const int timeouts_ms[] = { 3000, 1500, 6000 };
  int version = g_atomic_int_add (&fleet.config_version, 1) + 1;
  int timeout_ms = timeouts_ms[version % (int)G_N_ELEMENTS (timeouts_ms)];
  struct fleet_change change = { .at_us = g_get_monotonic_time (),
                                 .once = version == 1 || g_rand_boolean (fleet.random) };
  int attempts = version == 1 ? 2 : g_rand_int_range (fleet.random, 1, 4);
  int service = version == 1 ? 1 : g_rand_int_range (fleet.random, 0, 2);
  g_autofree char *text = g_strdup_printf (
      "{\"version\":%d,\"routes\":["
      "{\"name\":\"resumable\",\"host\":\"resumable\",\"path-prefix\":\"/stream/\","
      "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":%d,"
      "\"max-attempts\":2,\"service\":\"%s\",\"sticky\":true},"
      "{\"name\":\"stream\",\"host\":\"stream\",\"path-prefix\":\"/stream/\","
      "\"route-type\":\"streaming\",\"timeout-ms\":%d,\"max-attempts\":1,"
      "\"service\":\"%s\",\"sticky\":true},"
      "{\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\","
      "\"route-type\":\"non_idempotent\",\"timeout-ms\":2000,\"max-attempts\":2,"
      "\"service\":\"%s\"},"
      "{\"name\":\"again\",\"host\":\"h\",\"path-prefix\":\"/again/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":2000,\"max-attempts\":2,"
      "\"service\":\"%s\"},"
      "{\"name\":\"changing\",\"host\":\"h\",\"path-prefix\":\"/changing/\","
      "\"route-type\":\"%s\",\"timeout-ms\":%d,\"max-attempts\":%d,"
      "\"service\":\"%s\"}],"
      "\"services\":[{\"name\":\"%s\",\"max-conns\":300,\"health-path\":\"/health\"},"
      "{\"name\":\"%s\",\"max-conns\":300,\"health-path\":\"/health\"}],\"limits\":{"
      "\"max-header-bytes\":16384,\"max-body-bytes\":1048576,"
      "\"header-timeout-ms\":2000,\"idle-timeout-ms\":5000},"
      "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"key1\"]}]}",
      version, timeout_ms, fleet_services[0], timeout_ms, fleet_services[0],
      fleet_services[1], fleet_services[1], change.once ? "non_idempotent" : "idempotent",
      timeout_ms, attempts, fleet_services[service], fleet_services[0],
      fleet_services[1]);

  g_mutex_lock (&fleet.lock);
  g_array_append_val (fleet.changes, change);
  g_mutex_unlock (&fleet.lock);
  fake_platform_put_record (fleet.platform, "config", text);
}
