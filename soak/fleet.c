/* Runs VMs and backend servers as processes at the sizes of the deployments, kills, stops
   and restarts both, and checks these rules from both sides:

   - ORDER: a stream has each event once, in order, of one software version, and is whole
     only with its last event;
   - MIXED: a success has its server's whole body, and is of its request;
   - REFUSED: a request that must not be repeated and was refused has not run;
   - TWICE: it runs at most once; no two servers work on one stream;
   - UNASKED: a server gets the body that the caller sent;
   - EXIT, DRAIN, RECOVER: VMs end when told to, and serve after the faults.

   kcp-fleet SEED SECONDS VMS SERVERS [CALLERS [LINKS [PERCENT]]]: the same seed gives the
   same faults in the same order. CALLERS 0: as many as fit the VMs. With LINKS 1 there
   are proxies before servers and VMs, which delay, cut and break connections. PERCENT of
   the attempts are in HTTP/1.0. KCP_PROGRAM names the VMs' program. If KCP_PROGRAM_BEFORE
   names an older one, all VMs begin on that, and are stopped and started on the newer one
   in turn, with streams in progress.
 */
#include "soak/fleet.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/engine.h"
#include "tests/harness/cut_file.h"

/* The budget for retries of a large deployment. */
#define RETRY_SETTINGS      "[retry]\nratio = 0.1\nburst = 158\n"
#define HTTP_1_0_PERCENT    15 /* of the attempts; their streams end with the connection */
#define CALLERS_PER_VM      2u
#define CALLERS_MIN         40u /* without the argument */
#define CALLERS_MAX         96u
#define START_TIMEOUT_US    (20 * G_USEC_PER_SEC)
#define RECOVERY_TIMEOUT_US (20 * G_USEC_PER_SEC)
#define FAULT_MIN_MS        200
#define FAULT_MAX_MS        2500
#define CUT_MIN_MS          500
#define CUT_MAX_MS          4000
#define KINDS               23 /* of faults */
#define KINDS_WITH_LINKS    33
#define TICK_US             (20 * 1000)
#define TICKS_MAX           16 /* between two faults of a small fleet */
#define TOGETHER            4  /* one in so many VMs fails at once */

struct fleet fleet;
const char *const fleet_services[2] = { "lm", "app" };
static const struct soak_report report = { .broken = fleet_broken };

static void
note_disturbance (unsigned vm, int64_t now_us)
{
  struct fleet_disturbance disturbance = { .vm = vm, .at_us = now_us };

  g_array_append_val (fleet.disturbances, disturbance);
}

static void
inject_vm_fault (unsigned vm, enum soak_vm_fault fault, int64_t now_us)
{
  int64_t duration_us
      = g_rand_int_range (fleet.random, FAULT_MIN_MS, FAULT_MAX_MS) * (int64_t)1000;

  if (soak_vm_inject (&fleet.vms[vm], fault, now_us, duration_us))
    note_disturbance (vm, now_us);
}

/* Makes the store answer with 503, or never, or silences its connections. */
static void
disrupt_store (int64_t now_us)
{
  switch (g_rand_int_range (fleet.random, 0, 3))
    {
    case 0:
      fake_platform_set_down (fleet.platform, true);
      break;
    case 1:
      fake_platform_set_unresponsive (fleet.platform, true);
      break;
    default:
      fake_platform_silence_connections (fleet.platform);
      break;
    }
  fleet.store_restore_us
      = now_us
        + g_rand_int_range (fleet.random, FAULT_MIN_MS, FAULT_MAX_MS) * (int64_t)1000;
}

/* Has a VM lose its paths to all servers for a time, if it has them. */
static void
cut_paths (unsigned index, int64_t now_us)
{
  struct soak_vm *vm = &fleet.vms[index];
  int ports[FLEET_SERVERS_MAX];
  struct cut_file cut = { .live_on = g_rand_boolean (fleet.random),
                          .ports = ports,
                          .count = fleet.server_count };

  if (vm->heal_us != 0)
    return;
  for (unsigned i = 0; i < fleet.server_count; i++)
    ports[i] = fleet_link_server_port (i);
  vm->heal_us
      = now_us + g_rand_int_range (fleet.random, CUT_MIN_MS, CUT_MAX_MS) * (int64_t)1000;
  (void)cut_file_write (vm->cut, &cut);
  note_disturbance (index, now_us);
}

static void
end_cuts (int64_t now_us, bool all)
{
  for (unsigned i = 0; i < fleet.vm_count; i++)
    {
      struct soak_vm *vm = &fleet.vms[i];

      if (vm->heal_us == 0 || (!all && now_us < vm->heal_us))
        continue;
      vm->heal_us = 0;
      (void)cut_file_write (vm->cut, &(struct cut_file){ 0 });
      note_disturbance (i, now_us);
    }
}

/* Injects one random fault into the VMs, the servers, the store or the configuration;
   earlier faults may still last. */
static void
inject_fault (int64_t now_us)
{
  unsigned vm = (unsigned)g_rand_int_range (fleet.random, 0, (gint32)fleet.vm_count);
  enum soak_vm_fault fault
      = (enum soak_vm_fault)g_rand_int_range (fleet.random, 0, SOAK_VM_FAULT_COUNT);
  int kind
      = g_rand_int_range (fleet.random, 0, fleet.has_links ? KINDS_WITH_LINKS : KINDS);

  if (kind < 10)
    fleet_inject_server_fault (now_us);
  else if (kind < 15)
    inject_vm_fault (vm, fault, now_us);
  else if (kind == 15)
    {
      for (unsigned i = 0; i < fleet.vm_count; i++)
        if (g_rand_int_range (fleet.random, 0, TOGETHER) == 0)
          inject_vm_fault (i, fault, now_us);
    }
  else if (kind < 19)
    fleet_put_config ();
  else if (kind < 21)
    cut_paths (vm, now_us);
  else if (kind == 21)
    {
      for (unsigned i = 0; i < fleet.vm_count; i++)
        if (g_rand_boolean (fleet.random))
          cut_paths (i, now_us);
    }
  else if (kind >= KINDS)
    fleet_links_inject (now_us);
  else if (fleet.store_restore_us == 0)
    disrupt_store (now_us);
}

/* Stops the next VM that runs the older program, to start it on the newer one. One that
   has a fault is upgraded later. */
static void
upgrade_next (int64_t now_us)
{
  unsigned vm = fleet.upgraded;

  if (fleet.before == NULL || vm >= fleet.vm_count || now_us < fleet.next_upgrade_us
      || !soak_vm_inject (&fleet.vms[vm], SOAK_VM_TERM, now_us, 0))
    return;
  note_disturbance (vm, now_us);
  fleet.vms[vm].program = NULL;
  fleet.upgraded++;
  fleet.next_upgrade_us = now_us + fleet.upgrade_gap_us;
}

/* Ends the faults that are due, or all of them. */
static void
end_faults (int64_t now_us, bool all)
{
  for (unsigned i = 0; i < fleet.vm_count; i++)
    {
      int64_t before_us = fleet.vms[i].disturbed_us;

      soak_vm_end_faults (&fleet.vms[i], now_us, all, &report);
      if (fleet.vms[i].disturbed_us != before_us)
        note_disturbance (i, now_us);
    }
  end_cuts (now_us, all);
  fleet_links_end_faults (now_us, all);
  fleet_end_server_faults (now_us, all);
  if (fleet.store_restore_us != 0 && (all || now_us >= fleet.store_restore_us))
    {
      fake_platform_set_down (fleet.platform, false);
      fake_platform_set_unresponsive (fleet.platform, false);
      fleet.store_restore_us = 0;
    }
}

/* Waits until each VM has served a request, and no longer than limit_us. Faults are
   ended meanwhile. Returns the number of those that have not. */
static unsigned
wait_for_vms (int64_t limit_us)
{
  int64_t end_us = g_get_monotonic_time () + limit_us;
  bool served[FLEET_VMS_MAX] = { false };
  unsigned remaining = fleet.vm_count;

  while (remaining > 0 && g_get_monotonic_time () < end_us)
    {
      for (unsigned i = 0; i < fleet.vm_count; i++)
        {
          end_faults (g_get_monotonic_time (), true);
          if (served[i] || !fleet_vm_serves (i))
            continue;
          served[i] = true;
          remaining--;
        }
      g_usleep (TICK_US);
    }
  return remaining;
}

static void
set_up (void)
{
  static const char *const data_centers[FLEET_DATA_CENTERS] = { "z0", "z1", "z2" };

  fleet.folder = g_dir_make_tmp ("kcp-fleet-XXXXXX", NULL);
  fleet.attempts = g_array_new (FALSE, FALSE, sizeof (struct fleet_attempt));
  fleet.changes = g_array_new (FALSE, FALSE, sizeof (struct fleet_change));
  fleet.disturbances = g_array_new (FALSE, FALSE, sizeof (struct fleet_disturbance));
  cut_file_begin_preload ();
  fleet.platform = fake_platform_start (0);
  fleet_put_config ();
  fleet_servers_start ();
  for (unsigned i = 0; i < fleet.vm_count; i++)
    {
      soak_vm_init (&fleet.vms[i], i, fleet.folder, data_centers[i % FLEET_DATA_CENTERS],
                    fake_platform_port (fleet.platform), RETRY_SETTINGS);
      fleet.vms[i].program = fleet.before;
      soak_vm_start (&fleet.vms[i]);
    }
  if (fleet.has_links)
    fleet_links_start_vms ();
}

static void
remove_records (void)
{
  for (unsigned i = 0; i < fleet.server_count; i++)
    (void)g_unlink (fleet.servers[i].records);
}

static void
tear_down (void)
{
  bool keeps = fleet.violations > 0;

  for (unsigned i = 0; i < fleet.vm_count; i++)
    soak_vm_clear (&fleet.vms[i], keeps);
  if (!keeps)
    remove_records ();
  fleet_servers_stop ();
  fleet_links_stop ();
  fake_platform_stop (fleet.platform);
  if (keeps)
    (void)printf ("the logs of the VMs and the records of the servers are in %s\n",
                  fleet.folder);
  else
    (void)g_rmdir (fleet.folder);
  g_free (fleet.folder);
  g_array_unref (fleet.attempts);
  g_array_unref (fleet.changes);
  g_array_unref (fleet.disturbances);
  g_rand_free (fleet.random);
}

static void
run_faults (int64_t seconds)
{
  int64_t begin_us = g_get_monotonic_time ();
  int64_t end_us = begin_us + seconds * G_USEC_PER_SEC;
  int ticks_max = MAX (TICKS_MAX * 7 / (int)fleet.vm_count, 4);

  fleet.upgrade_gap_us = (end_us - begin_us) / (fleet.vm_count + 2);
  fleet.next_upgrade_us = begin_us + fleet.upgrade_gap_us;
  while (g_get_monotonic_time () < end_us)
    {
      upgrade_next (g_get_monotonic_time ());
      inject_fault (g_get_monotonic_time ());
      for (int i = g_rand_int_range (fleet.random, 1, ticks_max); i > 0; i--)
        {
          g_usleep (TICK_US);
          end_faults (g_get_monotonic_time (), false);
        }
    }
}

static void
run (int64_t seconds)
{
  g_autoptr (GPtrArray) callers = g_ptr_array_new ();
  unsigned missing = wait_for_vms (START_TIMEOUT_US);

  (void)printf ("fleet: seed %u, %u VMs (%u not serving at the start), %u servers, %u "
                "callers%s%s\n",
                fleet.seed, fleet.vm_count, missing, fleet.server_count,
                fleet.caller_count, fleet.has_links ? ", links" : "",
                fleet.before != NULL ? ", upgrade" : "");
  (void)fflush (stdout);
  for (unsigned i = 0; i < fleet.caller_count; i++)
    g_ptr_array_add (callers,
                     g_thread_new ("caller", fleet_run_caller, GUINT_TO_POINTER (i)));
  run_faults (seconds);
  missing = wait_for_vms (RECOVERY_TIMEOUT_US);
  g_atomic_int_set (&fleet.stopping, 1);
  for (guint i = 0; i < callers->len; i++)
    (void)g_thread_join (g_ptr_array_index (callers, i));
  if (missing > 0)
    fleet_broken ("RECOVER", "-", "VMs do not serve after the faults");
}

static unsigned
read_number (int argc, char **argv, int index, unsigned otherwise)
{
  return argc > index ? (unsigned)strtoul (argv[index], NULL, 10) : otherwise;
}

int
main (int argc, char **argv)
{
  int64_t seconds;

  if (argc > 2 && strcmp (argv[1], "engine") == 0)
    return engine_main (argc - 2, argv + 2);
  fleet.program = argv[0];
  fleet.seed = read_number (argc, argv, 1, 1);
  seconds = read_number (argc, argv, 2, 20);
  fleet.vm_count = CLAMP (read_number (argc, argv, 3, 7), 1, FLEET_VMS_MAX);
  fleet.server_count = CLAMP (read_number (argc, argv, 4, 13), 2, FLEET_SERVERS_MAX);
  fleet.caller_count = read_number (argc, argv, 5, 0);
  if (fleet.caller_count == 0)
    fleet.caller_count
        = CLAMP (fleet.vm_count * CALLERS_PER_VM, CALLERS_MIN, CALLERS_MAX);
  fleet.caller_count = MIN (fleet.caller_count, FLEET_CALLERS_MAX);
  fleet.has_links = read_number (argc, argv, 6, 0) != 0;
  fleet.http_1_0_percent = (int)read_number (argc, argv, 7, HTTP_1_0_PERCENT);
  fleet.before = g_getenv ("KCP_PROGRAM_BEFORE");
  fleet.random = g_rand_new_with_seed (fleet.seed);
  set_up ();
  run (seconds);
  fleet_check ();
  (void)printf (
      "fleet: seed %u, %d answered, %d of them resumed, %d refused, %d failed, %d "
      "broken off, %d left; unanswered and once at most: %u reset, %u of them "
      "run, %u closed, %u of them run; %d broken\n",
      fleet.seed, fleet.answered, fleet.resumed, fleet.refused, fleet.failed,
      fleet.broken, fleet.left, fleet.resets, fleet.reset_runs, fleet.closes,
      fleet.close_runs, fleet.violations);
  tear_down ();
  return fleet.violations == 0 && fleet.answered > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
