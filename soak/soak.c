/* Runs VMs in route mode as processes, injects random overlapping faults and checks these
   invariants from the callers' answers and the servers' executions:

   - an answer belongs to its request and looks complete only if it is complete;
   - a request that must not be repeated runs at most once;
   - a request that is answered with 503 or 429 has not run and does not run later;
   - a stream has each event once, in order, and all of servers of one software version,
     also if its caller resumes it;
   - no VM ends unless it was told to;
   - after the faults, all VMs serve again.

   soak SEED SECONDS [VMS]: the same seed gives the same faults in the same order. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/proxy.h"
#include "soak/vm.h"
#include "tests/harness/fake_platform.h"

#define SERVERS               4u
#define VMS_MAX               32u
#define CALLERS               12u
#define RECEIVE_TIMEOUT_MS    4000
#define FAULT_DURATION_MAX_MS 2500
#define RECOVERY_TIMEOUT_MS   9000 /* for all VMs to serve after the last fault */
#define READ_BLOCK_BYTES      4096
#define EVENT_GAP_MS          10 /* between the events of a stream */
#define RESUMES_MAX           3u /* attempts of a caller to resume a stream */

/* What a caller has of a stream, over its attempts. */
struct caller_stream
{
  char first_id[24]; /* of the attempt that brought its first event */
  int last;          /* number of its last event; 0: it has none */
  int software;      /* number of the version that began it */
  unsigned resumes;
};

struct soak
{
  struct fake_platform *platform;
  struct proxy *proxies[SERVERS];
  struct soak_vm vms[VMS_MAX];
  unsigned vm_count;
  char *folder;
  GRand *random;
  gint stopping;
  gint next_id;
  gint answered;
  gint refused;
  gint unknown;
  gint resumed;        /* attempts to resume a stream that were answered with 200 */
  gint violations;     /* violated invariants */
  GMutex lock;         /* guards refusals */
  GPtrArray *refusals; /* ids of requests that were answered as not run */
  int64_t store_restore_us;
  int64_t mode_restore_us[SERVERS];
  int64_t proxy_restore_us[SERVERS];
};

static struct soak soak;

static void
report_violation (const char *invariant, const char *id, const char *text)
{
  g_atomic_int_inc (&soak.violations);
  (void)printf ("BROKEN %s: request %s: %.300s\n", invariant, id, text);
  (void)fflush (stdout); /* else a VM's process would print it again */
}

static const struct soak_report report = { .broken = report_violation };

/* Reads one answer. Returns true if it is complete according to its framing. */
static bool
read_answer (int fd, GString *out)
{
  char block[READ_BLOCK_BYTES];

  g_string_truncate (out, 0);
  for (;;)
    {
      const char *head = strstr (out->str, "\r\n\r\n");
      const char *length = head != NULL ? strstr (out->str, "Content-Length: ") : NULL;
      ssize_t count;

      if (length != NULL && length < head
          && out->len >= (size_t)(head + 4 - out->str) + strtoul (length + 16, NULL, 10))
        return true;
      if (head != NULL && (length == NULL || length > head)
          && g_str_has_suffix (out->str, "\r\n0\r\n\r\n"))
        return true;
      count = recv (fd, block, sizeof block, 0);
      if (count <= 0)
        return false;
      g_string_append_len (out, block, count);
    }
}

/* Checks the events of one attempt, and notes whether the stream is to be resumed. */
static void
check_stream (const char *id, const char *text, bool complete,
              struct caller_stream *stream)
{
  int piece;
  int software;

  for (const char *at = strstr (text, "data: piece "); at != NULL;
       at = strstr (at + 1, "data: piece "))
    {
      if (strstr (at, "\n\n") == NULL
          || sscanf (at, "data: piece %d of v%d", &piece, &software) != 2)
        break; /* the event was broken off */
      if (piece != stream->last + 1)
        report_violation ("ORDER", id, text);
      if (stream->last == 0)
        {
          g_strlcpy (stream->first_id, id, sizeof stream->first_id);
          stream->software = software;
        }
      else if (software != stream->software)
        report_violation ("ORDER, another software version", stream->first_id, text);
      stream->last = piece;
    }
  if (complete && stream->last != FAKE_STREAM_EVENTS)
    report_violation ("ORDER", id, text);
}

static void
check_answer (const char *id, const char *path, const char *text, bool complete,
              struct caller_stream *stream)
{
  g_autofree char *expected_text = g_strdup_printf ("for %s", id);
  int status = strlen (text) > 12 ? atoi (text + 9) : 0;

  if (status == 200 && strcmp (path, "stream") == 0)
    check_stream (id, text, complete, stream);
  else if (status == 200 && complete && strstr (text, expected_text) == NULL)
    report_violation ("MIXED", id, text);
  if (status == 200 && stream->resumes > 0)
    g_atomic_int_inc (&soak.resumed);
  if (status == 200)
    g_atomic_int_inc (&soak.answered);
  else if (complete && (status == 503 || status == 429))
    {
      g_atomic_int_inc (&soak.refused);
      g_mutex_lock (&soak.lock);
      g_ptr_array_add (soak.refusals, g_strdup (id));
      g_mutex_unlock (&soak.lock);
    }
  else
    g_atomic_int_inc (&soak.unknown);
  if (strcmp (path, "once") == 0 && fake_platform_run_count (soak.platform, id) > 1)
    report_violation ("TWICE", id, text);
}

/* Returns true if the caller has a part of the stream. */
static bool
is_unfinished (const struct caller_stream *stream)
{
  return stream->last > 0 && stream->last < FAKE_STREAM_EVENTS;
}

/* Sends requests until the test stops, and resumes streams that end early. Reuses each
 * connection until the VM closes it. */
static gpointer
run_caller (gpointer user)
{
  static const char *const paths[] = { "once", "again", "stream" };
  unsigned number = GPOINTER_TO_UINT (user);
  g_autoptr (GString) text = g_string_new (NULL);
  struct caller_stream stream = { 0 };
  int fd = -1;

  while (!g_atomic_int_get (&soak.stopping))
    {
      int count = g_atomic_int_add (&soak.next_id, 1);
      bool resumes = is_unfinished (&stream) && stream.resumes++ < RESUMES_MAX;
      const char *path
          = resumes ? "stream" : paths[(unsigned)count % G_N_ELEMENTS (paths)];
      g_autofree char *id = g_strdup_printf ("r%d", count);
      g_autofree char *resumed
          = resumes ? g_strdup_printf ("Resumes: %s\r\nLast-Event-Id: %d\r\n",
                                       stream.first_id, stream.last)
                    : g_strdup ("");
      g_autofree char *request
          = g_strdup_printf ("POST /%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
                             "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                             "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"
                             "%sContent-Length: %zu\r\n\r\n%s",
                             path, id, resumed, strlen (id), id);
      bool complete;

      if (!resumes)
        stream = (struct caller_stream){ 0 };
      if (fd < 0)
        {
          unsigned vm = (number + (unsigned)count) % soak.vm_count;

          fd = soak_connect (soak.vms[vm].port, RECEIVE_TIMEOUT_MS);
        }
      if (fd < 0)
        {
          g_usleep (20 * G_TIME_SPAN_MILLISECOND);
          continue;
        }
      complete = send (fd, request, strlen (request), MSG_NOSIGNAL)
                     == (ssize_t)strlen (request)
                 && read_answer (fd, text);
      check_answer (id, path, text->str, complete, &stream);
      if (!complete || strstr (text->str, "Connection: close") != NULL)
        {
          (void)close (fd);
          fd = -1;
        }
      g_usleep (5 * G_TIME_SPAN_MILLISECOND);
    }
  if (fd >= 0)
    (void)close (fd);
  return NULL;
}

/* Injects one random fault; earlier faults may still be active. */
static void
inject_fault (int64_t now_us)
{
  int64_t duration_us = g_rand_int_range (soak.random, 200, FAULT_DURATION_MAX_MS)
                        * G_TIME_SPAN_MILLISECOND;
  unsigned server = (unsigned)g_rand_int_range (soak.random, 0, SERVERS);
  unsigned vm = (unsigned)g_rand_int_range (soak.random, 0, (gint32)soak.vm_count);
  int variant = g_rand_int_range (soak.random, 0, 1000);
  g_autofree char *version = NULL;
  /* Limits that a server names; NULL: none. */
  static const char *const limits[] = { NULL, "0", NULL, "2.5", NULL, NULL, "few" };

  switch (g_rand_int_range (soak.random, 0, 7))
    {
    case 0:
    case 1:
      (void)soak_vm_inject (&soak.vms[vm],
                            (enum soak_vm_fault) (variant % SOAK_VM_FAULT_COUNT), now_us,
                            duration_us);
      break;
    case 2:
      for (unsigned i = 0; variant % 5 == 0 && i < soak.vm_count; i++)
        (void)soak_vm_inject (&soak.vms[i], SOAK_VM_KILL, now_us, duration_us);
      break;
    case 3:
      fake_platform_set_down (soak.platform, true);
      soak.store_restore_us = now_us + duration_us;
      break;
    case 4:
      fake_platform_server (soak.platform, server)->mode
          = (enum fake_mode) (variant % (FAKE_SLOW + 1));
      fake_platform_server (soak.platform, server)->limit
          = limits[variant % (int)G_N_ELEMENTS (limits)];
      soak.mode_restore_us[server] = now_us + duration_us;
      break;
    case 5:
      proxy_set_fault (soak.proxies[server],
                       (enum proxy_fault) (1 + variant % PROXY_ONE_WAY));
      soak.proxy_restore_us[server] = now_us + duration_us;
      break;
    default:
      version = g_strdup_printf ("{\"model\":\"m\",\"version\":%d}",
                                 2 + g_atomic_int_get (&soak.next_id));
      fake_platform_put_record (soak.platform, "version/m", version);
      break;
    }
}

/* Ends the faults that are due or, if all is true, every fault except a drain. */
static void
end_faults (int64_t now_us, bool all)
{
  for (unsigned i = 0; i < soak.vm_count; i++)
    soak_vm_end_faults (&soak.vms[i], now_us, all, &report);
  if (soak.store_restore_us != 0 && (all || now_us >= soak.store_restore_us))
    {
      fake_platform_set_down (soak.platform, false);
      soak.store_restore_us = 0;
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      if (soak.mode_restore_us[i] != 0 && (all || now_us >= soak.mode_restore_us[i]))
        {
          fake_platform_server (soak.platform, i)->mode = FAKE_ANSWER;
          fake_platform_server (soak.platform, i)->limit = NULL;
          soak.mode_restore_us[i] = 0;
        }
      if (soak.proxy_restore_us[i] != 0 && (all || now_us >= soak.proxy_restore_us[i]))
        {
          proxy_set_fault (soak.proxies[i], PROXY_NONE);
          soak.proxy_restore_us[i] = 0;
        }
    }
}

static bool
vm_serves (const struct soak_vm *vm)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *id = g_strdup_printf ("end%d", g_atomic_int_add (&soak.next_id, 1));
  g_autofree char *request
      = g_strdup_printf ("POST /again/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
                         "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                         "Content-Length: 1\r\n\r\nb",
                         id);
  int fd = soak_connect (vm->port, RECEIVE_TIMEOUT_MS);
  bool serving;

  if (fd < 0)
    return false;
  serving = send (fd, request, strlen (request), MSG_NOSIGNAL) > 0
            && read_answer (fd, text) && g_str_has_prefix (text->str, "HTTP/1.1 200");
  (void)close (fd);
  return serving;
}

/* Asks each VM in turn until it has served once; one that does not must not delay the
   others. */
static void
check_recovery (void)
{
  int64_t end_us
      = g_get_monotonic_time () + RECOVERY_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;
  bool served[VMS_MAX] = { false };
  unsigned remaining = soak.vm_count;

  while (remaining > 0 && g_get_monotonic_time () < end_us)
    {
      end_faults (g_get_monotonic_time (), true);
      for (unsigned i = 0; i < soak.vm_count; i++)
        if (!served[i] && vm_serves (&soak.vms[i]))
          {
            served[i] = true;
            remaining--;
          }
      g_usleep (50 * G_TIME_SPAN_MILLISECOND);
    }
  for (unsigned i = 0; i < soak.vm_count; i++)
    if (!served[i])
      report_violation ("RECOVER", "-", soak.vms[i].settings);
}

static void
check_refusals (void)
{
  for (guint i = 0; i < soak.refusals->len; i++)
    {
      const char *id = g_ptr_array_index (soak.refusals, i);

      if (fake_platform_run_count (soak.platform, id) > 0)
        report_violation ("REFUSED", id, "was answered as not run, but ran");
    }
}

static void
set_up (unsigned vms)
{
  static const char config[]
      = "{\"version\":3,\"routes\":["
        "{\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\","
        "\"route-type\":\"non_idempotent\",\"timeout-ms\":2000,\"max-attempts\":1,"
        "\"service\":\"s\"},"
        "{\"name\":\"again\",\"host\":\"h\",\"path-prefix\":\"/again/\","
        "\"route-type\":\"idempotent\",\"timeout-ms\":2000,\"max-attempts\":2,"
        "\"service\":\"s\"},"
        "{\"name\":\"stream\",\"host\":\"h\",\"path-prefix\":\"/stream/\","
        "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":2000,"
        "\"max-attempts\":2,\"service\":\"s\"}],"
        "\"services\":[{\"name\":\"s\",\"max-conns\":100}],\"limits\":{},"
        "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"key1\"]}]}";

  soak.vm_count = vms;
  soak.folder = g_dir_make_tmp ("kcp-soak-XXXXXX", NULL);
  soak.refusals = g_ptr_array_new_with_free_func (g_free);
  soak.platform = fake_platform_start (SERVERS);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct fake_server *server = fake_platform_server (soak.platform, i);

      soak.proxies[i] = proxy_start (server->port);
      server->advertised_port = proxy_port (soak.proxies[i]);
      server->software = i < SERVERS / 2 ? "v1" : "v2";
      server->event_gap_ms = EVENT_GAP_MS;
      fake_platform_put_server (soak.platform, i, "ready");
    }
  fake_platform_put_record (soak.platform, "config", config);
  for (unsigned i = 0; i < vms; i++)
    {
      soak_vm_init (&soak.vms[i], i, soak.folder, "z", fake_platform_port (soak.platform),
                    "");
      soak_vm_start (&soak.vms[i]);
    }
}

static void
tear_down (void)
{
  for (unsigned i = 0; i < soak.vm_count; i++)
    soak_vm_clear (&soak.vms[i], soak.violations > 0);
  for (unsigned i = 0; i < SERVERS; i++)
    proxy_stop (soak.proxies[i]);
  fake_platform_stop (soak.platform);
  if (soak.violations == 0)
    (void)g_rmdir (soak.folder);
  else
    (void)printf ("the VMs' logs are in %s\n", soak.folder);
  g_free (soak.folder);
  g_ptr_array_unref (soak.refusals);
  g_rand_free (soak.random);
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32)strtoul (argv[1], NULL, 10) : 1;
  int64_t seconds = argc > 2 ? strtol (argv[2], NULL, 10) : 20;
  unsigned vms = argc > 3 ? (unsigned)strtoul (argv[3], NULL, 10) : 3;
  GThread *callers[CALLERS];
  int64_t end_us;

  soak.random = g_rand_new_with_seed (seed);
  set_up (MIN (MAX (vms, 1u), VMS_MAX));
  g_usleep (G_USEC_PER_SEC);
  for (unsigned i = 0; i < CALLERS; i++)
    callers[i] = g_thread_new ("caller", run_caller, GUINT_TO_POINTER (i));
  end_us = g_get_monotonic_time () + seconds * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < end_us)
    {
      inject_fault (g_get_monotonic_time ());
      for (int i = g_rand_int_range (soak.random, 1, 10); i > 0; i--)
        {
          g_usleep (50 * G_TIME_SPAN_MILLISECOND);
          end_faults (g_get_monotonic_time (), false);
        }
    }
  check_recovery ();
  g_atomic_int_set (&soak.stopping, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    (void)g_thread_join (callers[i]);
  check_refusals ();
  (void)printf ("soak: seed %u, %d answered, %d of them resumed, %d refused, %d unknown, "
                "%d broken\n",
                seed, soak.answered, soak.resumed, soak.refused, soak.unknown,
                soak.violations);
  tear_down ();
  return soak.violations == 0 && soak.answered > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
