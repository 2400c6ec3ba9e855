/* The VM that leads a data center passes on only the entries that change something for
   itself. One that only tells it again that an engine is draining it leaves out, and
   names its offset all the same. A VM that has started again meanwhile does not know it,
   as the store had an older entry of the engine when it listed them: a heartbeat from
   before the report, which got no answer and was carried out late. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/standin-3/plat.h"

#define VMS          7u
#define ENGINES      9u
#define CALLERS      2u    /* of each VM */
#define WORK_MS      60    /* that a booking takes */
#define DRAIN_MS     2000  /* bounds.drain-ms */
#define STABLE_MS    3000  /* bounds.stable-window-ms */
#define DRAINS_MS    3200  /* from the heartbeat without an answer to the report */
#define LATE_MS      5500  /* from that heartbeat until it is carried out; 6000 at most */
#define NEXT_BEAT_MS 1000  /* from then to the engine's next heartbeat */
#define SERVES_MS    11000 /* that the engine serves on after its report */

static struct plat_engine *list[ENGINES];
static struct plat_vm *vm[VMS];
static struct plat_vm *restarted;
static struct plat_engine *leaving;
static int64_t reported_ms;    /* when the store first accepted that it is draining */
static int64_t calm_report_ms; /* the same, STABLE_MS after the last disturbance */
static int64_t in_touch_ms;    /* when the VM that was killed is in touch again */
static unsigned late;
static unsigned late_in_calm;
static unsigned sent;
static unsigned served;
static unsigned cut;
static volatile bool stopped;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
note_arrival (const char *id, int64_t now_ms)
{
  bool own = restarted != NULL && g_str_has_prefix (id, restarted->name);

  if (reported_ms == 0 || now_ms - reported_ms <= DRAIN_MS
      || (own && (in_touch_ms == 0 || now_ms < in_touch_ms)))
    return;
  late++;
  late_in_calm += calm_report_ms != 0 && now_ms - calm_report_ms > DRAIN_MS;
  plat_record ("booking %s reaches %s, %d ms after its report", id, leaving->id,
               (int)(now_ms - reported_ms));
}

static bool
work (struct plat_conn *conn, const struct plat_request *request, void *user)
{
  struct plat_engine *engine = user;

  if (engine->gone)
    return false;
  if (plat_engine_answer (engine, conn, request, NULL))
    return true;
  pthread_mutex_lock (&lock);
  if (engine == leaving)
    note_arrival (plat_header (request, "request-id"), plat_now_ms ());
  pthread_mutex_unlock (&lock);
  g_usleep (WORK_MS * 1000);
  if (engine->gone)
    {
      pthread_mutex_lock (&lock);
      cut++;
      pthread_mutex_unlock (&lock);
      return false;
    }
  return plat_engine_answer (engine, conn, request, "done");
}

/* Sends bookings through one VM. */
static void *
send_bookings (void *user)
{
  const struct plat_vm *own = user;

  while (!stopped)
    {
      unsigned number = (unsigned)g_atomic_int_add ((gint *)&sent, 1);
      g_autofree char *text = g_strdup_printf (
          "POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s-%u\r\n"
          "Request-Deadline: 4000\r\nAuthorization: Bearer key1\r\nConnection: close\r\n"
          "Content-Length: 5\r\n\r\nhello",
          own->name, number);
      struct plat_answer answer = plat_call (own->front, text, 4000);

      if (answer.status == 200)
        g_atomic_int_inc ((gint *)&served);
      else
        g_usleep (50000);
      plat_answer_clear (&answer);
    }
  return NULL;
}

/* Returns a VM of the first zone that does not lead it. */
static struct plat_vm *
find_follower (void)
{
  for (unsigned i = 0; i < VMS; i++)
    if (strcmp (vm[i]->zone, "z1") == 0 && !plat_vm_leads (vm[i]))
      return vm[i];
  plat_end (2);
}

/* Has the engine say in a heartbeat that it is draining. */
static void
report (int64_t calm_from_ms)
{
  int64_t now;

  plat_engine_beat (leaving);
  now = plat_now_ms ();
  pthread_mutex_lock (&lock);
  if (reported_ms == 0)
    reported_ms = now;
  if (calm_report_ms == 0 && calm_from_ms != 0 && now >= calm_from_ms)
    {
      calm_report_ms = now;
      plat_record ("the store, calm for %d ms, accepts a heartbeat of %s, draining",
                   STABLE_MS, leaving->id);
    }
  pthread_mutex_unlock (&lock);
}

static void
start_all (void)
{
  plat_store_start (500);
  plat_store_put (
      "keyed.op", "config",
      "{\"version\":3,\"routes\":[{\"name\":\"book\",\"host\":\"h.example\","
      "\"path-prefix\":\"/book/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":4000,"
      "\"target-latency-ms\":300,\"priority\":1,\"max-attempts\":1,\"service\":\"app\"}],"
      "\"services\":[{\"name\":\"app\",\"health-path\":\"/health\",\"max-conns\":100}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":"
      "\"t1\",\"api-keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}");
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i % 3 + 1);

      list[i] = plat_engine_new (id, "app", zone, work, NULL);
    }
  plat_beats_start ();
  /* Three VMs in the first zone, two in each other one. */
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm%u", i + 1);
      g_autofree char *zone = g_strdup_printf ("z%u", i % 3 + 1);

      vm[i] = plat_vm_new (name, zone);
      plat_vm_start (vm[i]);
    }
  for (unsigned i = 0; i < VMS; i++)
    if (!plat_vm_wait_ready (vm[i], 8000))
      plat_end (2);
  g_usleep (3000000);
  for (unsigned i = 0; i < VMS * CALLERS; i++)
    {
      pthread_t thread;

      pthread_create (&thread, NULL, send_bookings, vm[i % VMS]);
    }
  g_usleep (5000000);
}

int
main (int argc, char **argv)
{
  g_autofree char *entry = NULL;
  int64_t sent_ms;
  int64_t calm_ms;

  plat_record_open (argc > 1 ? argv[1] : "record.txt");
  start_all ();
  leaving = list[0];
  leaving->silent = true; /* its heartbeats are sent here from now on */
  sent_ms = plat_now_ms ();
  leaving->seq_no++;
  entry = plat_engine_entry (leaving, true);
  if (plat_has_trouble ())
    plat_record ("the store does not answer a heartbeat of %s, ready", leaving->id);
  plat_sleep_until (sent_ms + DRAINS_MS - PLAT_HEARTBEAT_MS);
  plat_engine_beat (leaving);
  plat_sleep_until (sent_ms + DRAINS_MS);
  leaving->state = "draining";
  report (0);
  plat_record ("%s reports that it is draining; the store accepts it", leaving->id);
  plat_sleep_until (sent_ms + LATE_MS - 300);
  if (plat_has_trouble ())
    {
      restarted = find_follower ();
      plat_vm_kill (restarted, SIGKILL);
      plat_record ("%s is killed", restarted->name);
    }
  plat_sleep_until (sent_ms + LATE_MS);
  calm_ms = sent_ms + LATE_MS + STABLE_MS;
  if (plat_has_trouble ())
    {
      plat_store_put ("keyed.servers", leaving->id, entry);
      g_clear_pointer (&leaving->stored, g_free);
      plat_record ("the store carries out the old heartbeat of %s", leaving->id);
      plat_vm_start (restarted);
      pthread_mutex_lock (&lock);
      in_touch_ms = plat_now_ms () + STABLE_MS + 100;
      pthread_mutex_unlock (&lock);
    }
  for (int64_t at = sent_ms + LATE_MS + NEXT_BEAT_MS; at < reported_ms + SERVES_MS;
       at += PLAT_HEARTBEAT_MS)
    {
      plat_sleep_until (at);
      report (calm_ms);
    }
  plat_sleep_until (reported_ms + SERVES_MS);
  plat_engine_leave_list (leaving);
  leaving->gone = true;
  plat_stop_listening (leaving->port);
  plat_record ("%s ends", leaving->id);
  g_usleep (500000);
  stopped = true;
  plat_record (
      "%u bookings sent, %u served; %u reached the engine later than drain-ms, %u "
      "of them also after a report in calm; %u were cut off as it ended",
      sent, served, late, late_in_calm, cut);
  plat_end (late_in_calm > 0 ? 1 : 0);
}
