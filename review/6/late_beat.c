/* An engine leaves, and a heartbeat of it whose answer the store lost is carried out
   seconds later. See claim.txt. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin-2/stand.h"

#define ENGINES   3
#define VMS       3
#define CALLERS   6
#define WORK_MS   60
#define DRAIN_MS  2000 /* bound drain-ms of the deployment */
#define STABLE_MS 3000 /* bound stable-window-ms */
#define LOST_FROM 3000 /* platform_lost: for 4.5 s */
#define LOST_TO   7500
#define LATE_MS   6000  /* carried out so long after it was sent */
#define LEAVES_MS 10700 /* STABLE_MS after the disruption, and a bit */
#define SERVES_MS 6500  /* after it has left: "at times many seconds" */
#define EXPIRE_MS 3600  /* three heartbeats */
#define LENGTH_MS 24000

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"book\",\"host\":\"h.example\",\"path-prefix\":\"/book/\","
      "\"route-type\":\"non_idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
      "\"priority\":2,\"service\":\"app\",\"max-attempts\":1,\"public\":false,"
      "\"sticky\":false},"
      "{\"name\":\"look\",\"host\":\"h.example\",\"path-prefix\":\"/look/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
      "\"priority\":2,\"service\":\"app\",\"max-attempts\":2,\"public\":false,"
      "\"sticky\":false}],"
      "\"services\":[{\"name\":\"app\",\"health-path\":\"/health\",\"max-conns\":100,"
      "\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key1\"],\"priority\":1,"
      "\"isolated\":false}]}";

static const char *const zones[] = { "townsville", "cairns", "mackay" };
static struct engine engines[ENGINES];
static struct vm *vms[VMS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t gone_ms;  /* when the store acknowledged that the engine is gone */
static int64_t ended_ms; /* when its process ended */
static int64_t begin_ms;
static int late_runs;
static int served, refused, failed, cut;

static void
work (struct engine *engine, int fd, const struct message *request)
{
  int64_t at = now_ms ();

  if (engine == &engines[0] && gone_ms != 0)
    {
      (void)pthread_mutex_lock (&lock);
      if (at > gone_ms + DRAIN_MS)
        late_runs++;
      (void)pthread_mutex_unlock (&lock);
      record ("%s runs %s %s, %lld ms after the store acknowledged that it is gone",
              engine->id, request->method, http_header (request, "Request-Id"),
              (long long)(at - gone_ms));
    }
  engine_run (engine, fd, request);
}

static void *
call (void *user)
{
  int caller = (int)(intptr_t)user;

  for (int i = 0; now_ms () < begin_ms + LENGTH_MS; i++)
    {
      char id[32];
      struct message answer;
      bool book = (caller + i) % 3 != 0;
      bool begun;

      (void)snprintf (id, sizeof id, "%s%d-%d", book ? "b" : "l", caller, i);
      begun = client_send (vms[(caller + i) % VMS], book ? "POST" : "GET",
                           book ? "/book/x" : "/look/x", id, 4000, "", book ? "1" : "",
                           &answer);
      (void)pthread_mutex_lock (&lock);
      if (begun && answer.status == 200 && answer.complete)
        served++;
      else if (begun && answer.status == 503)
        refused++;
      else
        failed++;
      if (ended_ms != 0 && (!begun || answer.status == 502) && answer.sent_ms <= ended_ms
          && answer.done_ms >= ended_ms)
        {
          cut++;
          record ("%s ends with %d as the process of the engine that is gone ends", id,
                  begun ? answer.status : 0);
        }
      (void)pthread_mutex_unlock (&lock);
      message_clear (&answer);
      sleep_ms (40);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t callers[CALLERS];
  char *late;
  int64_t lands_ms;

  stand_open (argc > 1 ? argv[1] : ".");
  store_start ();
  (void)store_append ("keyed.op", "config", config);
  for (int i = 0; i < ENGINES; i++)
    {
      (void)snprintf (engines[i].id, sizeof engines[i].id, "i-%d", i + 1);
      (void)snprintf (engines[i].service, sizeof engines[i].service, "app");
      (void)snprintf (engines[i].zone, sizeof engines[i].zone, "%s", zones[i]);
      engines[i].work_ms = WORK_MS;
      engines[i].work = work;
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

  /* One heartbeat is sent as the disruption ends. Its answer is lost. */
  sleep_until (begin_ms + LOST_TO - 50);
  lands_ms = now_ms () + LATE_MS;
  late = engine_make_entry (&engines[0], "ready");
  if (trouble ())
    record ("the store loses the answer of a heartbeat of i-1: %s", late);
  else
    (void)store_append ("keyed.servers", "i-1", late);

  /* The engine goes on, and leaves after the store has been stable. */
  sleep_until (begin_ms + LEAVES_MS);
  engines[0].beating = false;
  engine_remove_entry (&engines[0]);
  gone_ms = now_ms ();
  record ("the store acknowledges that i-1 is gone; it serves for %d ms more", SERVES_MS);
  sleep_until (lands_ms);
  if (trouble ())
    {
      record ("the store carries the heartbeat out, %d ms late", LATE_MS);
      (void)store_append ("keyed.servers", "i-1", late);
    }
  sleep_until (gone_ms + SERVES_MS);
  ended_ms = now_ms ();
  record ("the process of i-1 ends");
  engine_stop (&engines[0]);
  sleep_until (lands_ms + EXPIRE_MS);
  if (trouble ())
    {
      record ("the store removes the entry after three heartbeats of silence");
      engine_remove_entry (&engines[0]);
    }
  for (int i = 0; i < CALLERS; i++)
    (void)pthread_join (callers[i], NULL);
  free (late);
  record ("served %d, refused %d, failed %d", served, refused, failed);
  record ("DRAIN: %d requests reached i-1 more than %d ms after it was gone; %d of them "
          "were cut off by its end",
          late_runs, DRAIN_MS, cut);
  if (served == 0)
    return stand_close (2);
  return stand_close (late_runs > 0 ? 1 : 0);
}
