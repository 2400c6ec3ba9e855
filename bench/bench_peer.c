/* Measures the gossip between VMs for several numbers of VMs: bytes, messages and
   processor time per VM and second, and the time until a fact has reached every VM. The
   membership code is the real one and runs in virtual time. Also measures a real RPC
   message on loopback. */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "peer/rpc_link.h"
#include "tests/harness/peer_net.h"

#define DEFAULT_SEED    1
#define DATA_CENTERS    3
#define SETTLE_NS       (15 * KCP_NS_PER_S)
#define IDLE_NS         (15 * KCP_NS_PER_S)
#define BUSY_CHANGES    2
#define SPREAD_RUNS     10
#define SPREAD_LIMIT_NS (60 * KCP_NS_PER_S)
#define CHANGES_PER_DAY 5100 /* configuration changes at the target size */
#define SECONDS_PER_DAY 86400
#define TARGET_VMS      370
#define BUDGET_BYTES    30000.0 /* per VM and second */
#define BUDGET_PERCENT  4.9     /* of a core */
#define MESSAGES        20000
#define MESSAGE_FACTS   8
#define US_PER_S        1e6

/* Results for one number of VMs. */
struct result
{
  guint vms;
  double idle_bytes;    /* per VM and second, without configuration changes */
  double busy_bytes;    /* per VM and second, with CHANGES_PER_DAY changes */
  double busy_messages; /* sent per VM and second */
  double busy_cpu_us;   /* per VM and second; includes sealing, but not sending */
  double spread_ms[2];  /* mean and maximum time until all VMs have a fact */
};

static const guint vm_counts[] = { 7, 20, 60, 180, TARGET_VMS };

static double
processor_s (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)kcp_timespec_ns (now) / (double)KCP_NS_PER_S;
}

static void
sum_traffic (struct peer_net *net, uint64_t *bytes, uint64_t *messages)
{
  *bytes = 0;
  *messages = 0;
  for (guint i = 0; i < net->vms->len; i++)
    {
      *bytes += peer_net_vm (net, i)->bytes_sent;
      *messages += peer_net_vm (net, i)->messages_sent;
    }
}

/* Sets a new configuration version on every VM. */
static void
change_config (struct peer_net *net, uint64_t version)
{
  struct kcp_config_summary summary
      = { .version = version, .digest = version, .loaded = true };

  for (guint i = 0; i < net->vms->len; i++)
    kcp_membership_set_config (peer_net_vm (net, i)->membership, peer_net_time (net),
                               &summary, 0);
}

static bool
all_have_fact (struct peer_net *net)
{
  return peer_net_count_holders (net, KCP_FACT_QUARANTINE, "spread") == net->vms->len;
}

static void
measure_spread (struct peer_net *net, struct result *result)
{
  for (int run = 0; run < SPREAD_RUNS; run++)
    {
      int64_t took_ns;
      guint source;

      for (guint i = 0; i < net->vms->len; i++)
        kcp_facts_remove (kcp_membership_facts (peer_net_vm (net, i)->membership),
                          KCP_FACT_QUARANTINE, "spread");
      source = (guint)g_rand_int_range (net->random, 0, (gint)net->vms->len);
      (void)peer_net_publish (peer_net_vm (net, source), KCP_FACT_QUARANTINE, "spread",
                              (uint64_t)run + 1, 1);
      took_ns = peer_net_run_until (net, all_have_fact, SPREAD_LIMIT_NS);
      if (took_ns < 0)
        took_ns = SPREAD_LIMIT_NS;
      result->spread_ms[0] += (double)took_ns / (double)KCP_NS_PER_MS / SPREAD_RUNS;
      result->spread_ms[1]
          = MAX (result->spread_ms[1], (double)took_ns / (double)KCP_NS_PER_MS);
    }
}

static struct result
measure (guint32 seed, guint vms)
{
  struct peer_net *net = peer_net_new (seed, vms, DATA_CENTERS);
  struct result result = { .vms = vms };
  double idle_s = (double)IDLE_NS / (double)KCP_NS_PER_S;
  double change_s = (double)SECONDS_PER_DAY / CHANGES_PER_DAY;
  double busy_s = change_s * BUSY_CHANGES;
  uint64_t bytes[2];
  uint64_t messages[2];
  double start_s;

  peer_net_seed_all (net);
  peer_net_run (net, SETTLE_NS);
  net->count_bytes = true;
  sum_traffic (net, &bytes[0], &messages[0]);
  peer_net_run (net, IDLE_NS);
  sum_traffic (net, &bytes[1], &messages[1]);
  result.idle_bytes = (double)(bytes[1] - bytes[0]) / vms / idle_s;

  start_s = processor_s ();
  for (int change = 1; change <= BUSY_CHANGES; change++)
    {
      change_config (net, (uint64_t)change);
      peer_net_run (net, (int64_t)(change_s * (double)KCP_NS_PER_S));
    }
  sum_traffic (net, &bytes[0], &messages[0]);
  result.busy_cpu_us = (processor_s () - start_s) * US_PER_S / vms / busy_s;
  result.busy_bytes = (double)(bytes[0] - bytes[1]) / vms / busy_s;
  result.busy_messages = (double)(messages[0] - messages[1]) / vms / busy_s;
  net->count_bytes = false;
  measure_spread (net, &result);
  peer_net_free (net);
  return result;
}

/* Prints the increase per additional VM between the two largest numbers of VMs. */
static void
print_slope (const char *label, double before, double last)
{
  const guint *largest = &vm_counts[G_N_ELEMENTS (vm_counts) - 1];

  (void)printf ("  %s: %.2f more per additional VM\n", label,
                (last - before) / (largest[0] - largest[-1]));
}

struct sink
{
  const struct kcp_peer_key *key;
  uint64_t received;
};

static void
on_message (void *user, const struct kcp_wire_sealed *sealed)
{
  struct sink *sink = user;
  struct kcp_message message;

  if (kcp_codec_open (sink->key, sealed, &message))
    sink->received++;
  kcp_message_clear (&message);
}

static void
on_reject (void *user)
{
  (void)user;
}

/* Sends messages to a socket of this process, one at a time. Prints and returns the
   processor time in microseconds to seal, send, receive and open one message. */
static double
measure_rpc (void)
{
  const struct kcp_peer_key key = { { 1 } };
  struct sink sink = { .key = &key };
  const struct kcp_rpc_events events = { on_message, on_reject, &sink };
  struct kcp_error error;
  struct kcp_rpc_link *link = kcp_rpc_link_open ("127.0.0.1", 0, &events, &error);
  struct kcp_vm_endpoint endpoint = { .address = "127.0.0.1" };
  struct kcp_message message = { .from = "vm1", .to = "vm2", .kind = KCP_MESSAGE_ACK };
  double start_s;
  double each_us;

  if (link == NULL)
    {
      (void)fprintf (stderr, "%s\n", error.detail);
      exit (EXIT_FAILURE);
    }
  endpoint.port = kcp_rpc_link_port (link);
  message.facts = g_array_new (FALSE, TRUE, sizeof (struct kcp_fact));
  for (int i = 0; i < MESSAGE_FACTS; i++)
    {
      struct kcp_fact fact = { .kind = KCP_FACT_CONFIG, .id = "vm000", .number = 1 };

      g_array_append_val (message.facts, fact);
    }
  start_s = processor_s ();
  for (int i = 0; i < MESSAGES; i++)
    {
      char box[KCP_WIRE_BOX_MAX];
      struct kcp_wire_sealed sealed = { .box.box_val = box };
      struct pollfd waiting = { .fd = kcp_rpc_link_fd (link), .events = POLLIN };

      if (!kcp_codec_seal (&key, &message, &sealed)
          || !kcp_rpc_link_send (link, &endpoint, &sealed))
        exit (EXIT_FAILURE);
      (void)poll (&waiting, 1, -1);
      kcp_rpc_link_serve (link);
    }
  each_us = (processor_s () - start_s) * US_PER_S / MESSAGES;
  (void)printf ("RPC message with %d facts, sealed, sent, received and opened: "
                "%.1f us of a core (%" G_GUINT64_FORMAT " of %d arrived)\n",
                MESSAGE_FACTS, each_us, sink.received, MESSAGES);
  kcp_message_clear (&message);
  kcp_rpc_link_close (link);
  return each_us;
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32)strtoul (argv[1], NULL, 10) : DEFAULT_SEED;
  struct result results[G_N_ELEMENTS (vm_counts)];
  const struct result *last = &results[G_N_ELEMENTS (vm_counts) - 1];
  double rpc_us;
  double percent;

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  (void)printf (
      "peers: probe interval 500 ms, %d data centers, seed %u; busy: %d configuration "
      "changes a day\n",
      DATA_CENTERS, seed, CHANGES_PER_DAY);
  (void)printf (
      "  VMs   idle B/s  busy B/s  messages/s  core us/s  spread ms mean   max\n");
  for (size_t i = 0; i < G_N_ELEMENTS (vm_counts); i++)
    {
      results[i] = measure (seed, vm_counts[i]);
      (void)printf ("%5u  %9.0f  %8.0f  %10.1f  %9.0f  %14.0f  %4.0f\n", results[i].vms,
                    results[i].idle_bytes, results[i].busy_bytes,
                    results[i].busy_messages, results[i].busy_cpu_us,
                    results[i].spread_ms[0], results[i].spread_ms[1]);
    }
  print_slope ("idle B/s", last[-1].idle_bytes, last->idle_bytes);
  print_slope ("busy B/s", last[-1].busy_bytes, last->busy_bytes);
  print_slope ("core us/s", last[-1].busy_cpu_us, last->busy_cpu_us);
  rpc_us = measure_rpc ();
  percent = (last->busy_cpu_us + last->busy_messages * rpc_us) * 100 / US_PER_S;
  (void)printf ("at %d VMs, busy: %.1f of %.1f KB/s sent, %.2f of %.1f%% of a core\n",
                TARGET_VMS, last->busy_bytes / 1000, BUDGET_BYTES / 1000, percent,
                BUDGET_PERCENT);
  return EXIT_SUCCESS;
}
