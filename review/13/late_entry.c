/* Engines leave, and a heartbeat that they sent before is carried out after that: it got
   no answer, and the store may carry out such a call seconds later. The entry is back for
   as long as the store waits for the next heartbeat.

   "together" (case 13): two of the three engines of a zone leave. "failed" (case 14): one
   engine leaves that has broken off a part of its answers just before. "alone": one
   engine leaves. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/standin-3/plat.h"

#define VMS             7u
#define ENGINES         9u
#define ZONES           3u
#define DRAIN_MS        2000 /* bounds.drain-ms */
#define LEAVES_AFTER_MS 3200 /* after the heartbeat; bounds.stable-window-ms is 3000 */
#define LATE_MS         5500 /* from the heartbeat until it is carried out; 6000 at most */
#define STABLE_MS       3000 /* bounds.stable-window-ms */
#define EXPIRES_MS      (3 * PLAT_HEARTBEAT_MS)
#define FAILS_PERCENT   45u /* of the requests, of an engine that fails */
#define CALL_EVERY_MS   20

static struct plat_engine *list[ENGINES];
static struct plat_vm *vm[VMS];
static unsigned leaving; /* engines 0, 3, ... of the first zone */
static bool fails;       /* the first engine breaks off a part of its answers */
static int64_t gone_ms;  /* when the store accepted that the engines are gone */
static int64_t
    written_ms; /* when the store carried out the late heartbeats; 0: not yet */
static unsigned late;
static unsigned late_in_calm; /* of them, STABLE_MS after that or later */
static unsigned failures;
static unsigned runs;
static volatile bool stopped;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool
is_leaving (const struct plat_engine *engine)
{
  for (unsigned i = 0; i < leaving; i++)
    if (list[i * ZONES] == engine)
      return true;
  return false;
}

static bool
work (struct plat_conn *conn, const struct plat_request *request, void *user)
{
  struct plat_engine *engine = user;
  const char *id = plat_header (request, "request-id");

  if (plat_engine_answer (engine, conn, request, NULL))
    return true;
  pthread_mutex_lock (&lock);
  runs++;
  if (is_leaving (engine) && gone_ms != 0 && plat_now_ms () - gone_ms > DRAIN_MS)
    {
      late++;
      late_in_calm += written_ms != 0 && plat_now_ms () - written_ms >= STABLE_MS;
      plat_record (
          "request %s reaches %s, %d ms after the store accepted that it is gone", id,
          engine->id, (int)(plat_now_ms () - gone_ms));
    }
  pthread_mutex_unlock (&lock);
  if (fails && engine == list[0] && gone_ms == 0
      && g_random_int_range (0, 100) < (int)FAILS_PERCENT)
    {
      pthread_mutex_lock (&lock);
      failures++;
      pthread_mutex_unlock (&lock);
      return false;
    }
  return plat_engine_answer (engine, conn, request, "done");
}

/* Sends requests through one VM. */
static void *
send_all (void *user)
{
  const struct plat_vm *own = user;

  for (unsigned i = 0; !stopped; i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s-%u\r\n"
          "Request-Deadline: 3000\r\nAuthorization: Bearer key1\r\nConnection: "
          "close\r\n\r\n",
          own->name, i);
      struct plat_answer answer = plat_call (own->front, text, 3000);

      plat_answer_clear (&answer);
      g_usleep (CALL_EVERY_MS * 1000);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  const char *mode = argc > 2 ? argv[2] : "together";
  char *entries[ENGINES];
  int64_t sent_ms;

  plat_record_open (argc > 1 ? argv[1] : "record.txt");
  leaving = strcmp (mode, "together") == 0 ? 2 : 1;
  plat_store_start (500);
  plat_store_put (
      "keyed.op", "config",
      "{\"version\":3,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\","
      "\"path-prefix\":\"/look/\",\"route-type\":\"idempotent\",\"timeout-ms\":3000,"
      "\"target-latency-ms\":300,\"priority\":1,\"max-attempts\":2,\"service\":\"app\"}],"
      "\"services\":[{\"name\":\"app\",\"health-path\":\"/health\",\"max-conns\":100}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":"
      "\"t1\",\"api-keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}");
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i % ZONES + 1);

      list[i] = plat_engine_new (id, "app", zone, work, NULL);
    }
  plat_beats_start ();
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm%u", i + 1);
      g_autofree char *zone = g_strdup_printf ("z%u", i % ZONES + 1);

      vm[i] = plat_vm_new (name, zone);
      plat_vm_start (vm[i]);
    }
  for (unsigned i = 0; i < VMS; i++)
    if (!plat_vm_wait_ready (vm[i], 8000))
      plat_end (2);
  g_usleep (3000000);
  for (unsigned i = 0; i < VMS; i++)
    {
      pthread_t thread;

      pthread_create (&thread, NULL, send_all, vm[i]);
    }
  g_usleep (7000000);
  sent_ms = plat_now_ms ();
  for (unsigned i = 0; i < leaving; i++)
    {
      list[i * ZONES]->seq_no++;
      entries[i] = plat_engine_entry (list[i * ZONES], true);
      if (plat_has_trouble ())
        plat_record ("the store does not answer a heartbeat of %s", list[i * ZONES]->id);
    }
  fails = plat_has_trouble () && strcmp (mode, "failed") == 0;
  plat_sleep_until (sent_ms + LEAVES_AFTER_MS);
  for (unsigned i = 0; i < leaving; i++)
    {
      plat_engine_leave_list (list[i * ZONES]);
      plat_record ("the entry of %s is removed, as it leaves; it serves on",
                   list[i * ZONES]->id);
    }
  pthread_mutex_lock (&lock);
  gone_ms = plat_now_ms ();
  pthread_mutex_unlock (&lock);
  plat_sleep_until (sent_ms + LATE_MS);
  for (unsigned i = 0; i < leaving && plat_has_trouble (); i++)
    {
      plat_store_put ("keyed.servers", list[i * ZONES]->id, entries[i]);
      plat_record ("the store carries out the heartbeat of %s", list[i * ZONES]->id);
    }
  pthread_mutex_lock (&lock);
  written_ms = plat_now_ms ();
  pthread_mutex_unlock (&lock);
  plat_sleep_until (sent_ms + LATE_MS + EXPIRES_MS);
  for (unsigned i = 0; i < leaving && plat_has_trouble (); i++)
    {
      plat_store_drop ("keyed.servers", list[i * ZONES]->id);
      plat_record ("the entry of %s expires", list[i * ZONES]->id);
    }
  plat_sleep_until (sent_ms + LATE_MS + EXPIRES_MS + 1500);
  stopped = true;
  plat_record (
      "%u requests ran, %u of them without an answer; %u reached engines later "
      "than drain-ms after these were gone, %u of them stable-window-ms after the "
      "late write or later",
      runs, failures, late, late_in_calm);
  plat_end (late > 0 ? 1 : 0);
}
