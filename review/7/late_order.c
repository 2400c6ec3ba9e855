/* Orders that engines left unanswered reach them seconds later, after they have started
   again under their ids. See claim.txt. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin-2/stand.h"

#define ENGINES    9
#define HIT        2 /* of them: their first order is late, and they crash */
#define VMS        3
#define CALLERS    6
#define LATE_MS    12000 /* the longest that the bench's list of troubles names */
#define FIRST_MS   2000  /* version 2 is named */
#define SECOND_MS  6500  /* version 3 is named */
#define CRASH_MS   11000
#define DOWN_MS    1000
#define LENGTH_MS  40000
#define VERSION_MS 10000 /* bound version-ms of the deployment */
#define STABLE_MS  3000  /* bound stable-window-ms */

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"ask\",\"host\":\"h.example\",\"path-prefix\":\"/ask/\","
      "\"route-type\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":400,"
      "\"priority\":0,\"service\":\"lm\",\"max-attempts\":1,\"public\":false,"
      "\"sticky\":true,\"resumable\":false,\"gap-target-ms\":400}],"
      "\"services\":[{\"name\":\"lm\",\"health-path\":\"/health\",\"max-conns\":360,"
      "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
      "\"kv-capacity-tokens\":146851,\"kv-token-bytes\":18432,\"link-mbps\":180000.0,"
      "\"moves\":true,\"backups\":true,\"stride\":7,\"max-in-flight\":12,"
      "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,"
      "\"models\":[{\"name\":\"m1\"}]}}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key1\"],\"priority\":1,"
      "\"isolated\":false}]}";

static const char *const zones[] = { "townsville", "cairns", "mackay" };
static struct engine engines[ENGINES];
static struct vm *vms[VMS];
static bool order_kept[ENGINES];
static int64_t begin_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int served, refused, failed;
static int runs_at_end[ENGINES]; /* in the last 10 s */

struct late_order
{
  struct engine *engine;
  struct message order;
};

static void *
deliver (void *user)
{
  struct late_order *late = user;

  sleep_ms (LATE_MS);
  if (late->engine->up)
    engine_take_order (late->engine, -1, &late->order);
  message_clear (&late->order);
  free (late);
  return NULL;
}

/* Leaves the first order to an engine that is hit unanswered. */
static bool
on_order (struct engine *engine, int fd, const struct message *order)
{
  int at = (int)(engine - engines);
  struct late_order *late;
  pthread_t thread;

  (void)fd;
  if (!trouble () || at >= HIT || order_kept[at])
    return false;
  order_kept[at] = true;
  record ("%s: an order gets no answer, is carried out %d ms later: %s", engine->id,
          LATE_MS, order->body);
  late = malloc (sizeof *late);
  late->engine = engine;
  late->order = *order;
  late->order.body = strdup (order->body);
  (void)pthread_create (&thread, NULL, deliver, late);
  (void)pthread_detach (thread);
  sleep_ms (5000);
  return true;
}

static void
work (struct engine *engine, int fd, const struct message *request)
{
  const char *id = http_header (request, "Request-Id");
  char headers[256];
  char body[128];

  sleep_ms (20);
  (void)pthread_mutex_lock (&lock);
  if (now_ms () > begin_ms + LENGTH_MS - 10000)
    runs_at_end[engine - engines]++;
  (void)pthread_mutex_unlock (&lock);
  (void)snprintf (body, sizeof body, "id: 1\ndata: ran %s\n\n", id);
  (void)snprintf (headers, sizeof headers,
                  "Request-Id: %s\r\nServer-Seal: s.%s\r\nWeight-Versions: %lld\r\n"
                  "Content-Type: text/event-stream\r\n",
                  id, id, (long long)engine->version);
  http_reply (fd, 200, headers, body, strlen (body));
}

static void *
call (void *user)
{
  int caller = (int)(intptr_t)user;

  for (int i = 0; now_ms () < begin_ms + LENGTH_MS; i++)
    {
      char id[32];
      char lines[160];
      struct message answer;
      bool begun;

      (void)snprintf (id, sizeof id, "a%d-%d", caller, i);
      (void)snprintf (lines, sizeof lines,
                      "Model: m1\r\nToken-Usage: 383,6\r\n"
                      "Prompt-Prefix: 5c1e07a2:92,%x%04x:291\r\n",
                      caller + 16, i);
      begun = client_send (vms[(caller + i) % VMS], "POST", "/ask/x", id, 4000, lines,
                           "q", &answer);
      (void)pthread_mutex_lock (&lock);
      if (begun && answer.status == 200 && answer.complete)
        served++;
      else if (begun && answer.status == 503)
        refused++;
      else
        failed++;
      (void)pthread_mutex_unlock (&lock);
      message_clear (&answer);
      sleep_ms (60);
    }
  return NULL;
}

static void
name_version (int version)
{
  char text[64];

  (void)snprintf (text, sizeof text, "{\"model\":\"m1\",\"version\":%d}", version);
  (void)store_append ("keyed.op", "version/m1", text);
  record ("version %d is named and acknowledged", version);
}

int
main (int argc, char **argv)
{
  pthread_t callers[CALLERS];
  int older = 0;

  stand_open (argc > 1 ? argv[1] : ".");
  store_start ();
  (void)store_append ("keyed.op", "config", config);
  name_version (1);
  for (int i = 0; i < ENGINES; i++)
    {
      (void)snprintf (engines[i].id, sizeof engines[i].id, "i-%d", i + 1);
      (void)snprintf (engines[i].service, sizeof engines[i].service, "lm");
      (void)snprintf (engines[i].model, sizeof engines[i].model, "m1");
      (void)snprintf (engines[i].zone, sizeof engines[i].zone, "%s", zones[i % 3]);
      engines[i].version = 1;
      engines[i].work = work;
      engines[i].on_order = on_order;
      engine_start (&engines[i]);
    }
  for (int i = 0; i < VMS; i++)
    vms[i] = vm_start (zones[i]);
  for (int i = 0; i < VMS; i++)
    if (!vm_wait_ready (vms[i], 8000))
      return stand_close (2);
  sleep_ms (3000);
  begin_ms = now_ms ();
  for (int i = 0; i < CALLERS; i++)
    (void)pthread_create (&callers[i], NULL, call, (void *)(intptr_t)i);
  sleep_until (begin_ms + FIRST_MS);
  name_version (2);
  sleep_until (begin_ms + SECOND_MS);
  name_version (3);
  sleep_until (begin_ms + CRASH_MS);
  for (int i = 0; i < HIT; i++)
    if (engines[i].version != 3 || (trouble () && !order_kept[i]))
      {
        record ("%s has version %lld before the crash", engines[i].id,
                (long long)engines[i].version);
        return stand_close (2);
      }
  for (int i = 0; trouble () && i < HIT; i++)
    {
      record ("%s crashes, with version %lld", engines[i].id,
              (long long)engines[i].version);
      engine_stop (&engines[i]);
    }
  sleep_ms (DOWN_MS);
  for (int i = 0; trouble () && i < HIT; i++)
    {
      engine_start (&engines[i]);
      record ("%s is back under its id, with version %lld", engines[i].id,
              (long long)engines[i].version);
    }
  for (int i = 0; i < CALLERS; i++)
    (void)pthread_join (callers[i], NULL);
  for (int i = 0; i < ENGINES; i++)
    {
      older += engines[i].version < 3;
      record ("%s has version %lld at the end, ran %d requests in the last 10 s",
              engines[i].id, (long long)engines[i].version, runs_at_end[i]);
    }
  record ("served %d, refused %d, failed %d", served, refused, failed);
  record ("VERSION: %d of %d engines have an older version, %d ms after the last start "
          "of an engine; 1.5 x version-ms are %d ms",
          older, ENGINES, LENGTH_MS - CRASH_MS - DOWN_MS, VERSION_MS * 3 / 2);
  if (served == 0)
    return stand_close (2);
  return stand_close (older > 1 && older * 10 > ENGINES ? 1 : 0);
}
