#include "tests/harness/peer_net.h"

#include "base/clock.h"

#define STEP_NS            (5 * KCP_NS_PER_MS)
#define EPOCH_MS           1700000000000LL
#define DELAY_MIN_NS       (500 * KCP_NS_PER_US)
#define TICKS_PER_INTERVAL 5
#define INCARNATION_SHIFT  20 /* bits */
#define INBOX_MAX          64 /* messages that fit into the socket buffer of a frozen VM */

struct delivery
{
  int64_t at_ns;
  guint to;
  struct kcp_message message;
};

static void start_vm (struct peer_net *net, struct peer_vm *vm);
static void free_vm (gpointer data);
static void free_delivery (gpointer data);
static void
send_message (void *user, const struct kcp_vm_endpoint *to, struct kcp_message *message);
static bool is_broken (const struct peer_net *net, int from, int to);
static void enqueue (struct peer_net *net, guint to, const struct kcp_message *message);
static void deliver (struct peer_net *net, struct delivery *delivery);
static void accept_message (struct peer_vm *vm, const struct kcp_message *message);
static void run_vm (struct peer_net *net, struct peer_vm *vm);
static void ignore_change (void *user, const struct kcp_fact *fact);
static uint64_t random_number (void *user);
static gint compare_deliveries (gconstpointer a, gconstpointer b, gpointer user);

/* Creates a network of VMs that are spread evenly over the data centers. No VM knows
   another one yet. */
struct peer_net *
peer_net_new (guint32 seed, guint vms, guint data_centers)
{
  struct peer_net *net = g_new0 (struct peer_net, 1);

  net->random = g_rand_new_with_seed (seed);
  net->vms = g_ptr_array_new_with_free_func (free_vm);
  net->queue = g_sequence_new (free_delivery);
  net->probe_interval_ns = 500 * KCP_NS_PER_MS;
  net->delay_max_ns = 2 * KCP_NS_PER_MS;
  net->now_ns = KCP_NS_PER_S;
  for (guint i = 0; i < vms; i++)
    {
      struct peer_vm *vm = g_new0 (struct peer_vm, 1);

      vm->net = net;
      vm->index = i;
      vm->inbox = g_queue_new ();
      (void)g_snprintf (vm->id, sizeof vm->id, "vm%03u", i);
      (void)g_snprintf (vm->endpoint.data_center, sizeof vm->endpoint.data_center,
                        "dc%02u", i % data_centers);
      (void)g_snprintf (vm->endpoint.address, sizeof vm->endpoint.address, "10.0.%u.%u",
                        i / 250, i % 250);
      vm->endpoint.port = (uint16_t)i;
      start_vm (net, vm);
      g_ptr_array_add (net->vms, vm);
    }
  return net;
}

/* Frees the network. */
void
peer_net_free (struct peer_net *net)
{
  g_sequence_free (net->queue);
  g_ptr_array_unref (net->vms);
  g_rand_free (net->random);
  g_free (net);
}

/* Returns a VM by its index. */
struct peer_vm *
peer_net_vm (struct peer_net *net, guint index)
{
  return g_ptr_array_index (net->vms, index);
}

/* Restarts a VM; the new process starts without any state. */
void
peer_net_restart (struct peer_net *net, struct peer_vm *vm)
{
  kcp_membership_free (vm->membership);
  kcp_sessions_free (vm->sessions);
  g_queue_clear_full (vm->inbox, free_delivery);
  start_vm (net, vm);
}

/* Adds all VMs to the seeds of every VM, as the platform's list does. */
void
peer_net_seed_all (struct peer_net *net)
{
  for (guint i = 0; i < net->vms->len; i++)
    for (guint j = 0; j < net->vms->len; j++)
      kcp_membership_add_seed (peer_net_vm (net, i)->membership, peer_net_vm (net, j)->id,
                               &peer_net_vm (net, j)->endpoint);
}

/* Runs the network for a duration of virtual time. */
void
peer_net_run (struct peer_net *net, int64_t duration_ns)
{
  (void)peer_net_run_until (net, NULL, duration_ns);
}

/* Runs the network until done returns true, but for at most limit_ns of virtual time.
   Returns the elapsed virtual time in nanoseconds, or -1 if done did not return true. */
int64_t
peer_net_run_until (struct peer_net *net, bool (*done) (struct peer_net *net),
                    int64_t limit_ns)
{
  int64_t start_ns = net->now_ns;

  while (net->now_ns < start_ns + limit_ns)
    {
      GSequenceIter *first;

      net->now_ns += STEP_NS;
      while (!g_sequence_iter_is_end (first = g_sequence_get_begin_iter (net->queue))
             && ((struct delivery *)g_sequence_get (first))->at_ns <= net->now_ns)
        {
          deliver (net, g_sequence_get (first));
          g_sequence_remove (first);
        }
      for (guint i = 0; i < net->vms->len; i++)
        run_vm (net, peer_net_vm (net, i));
      if (done != NULL && done (net))
        return net->now_ns - start_ns;
    }
  return -1;
}

/* Returns the current virtual time, which is the same for all VMs. */
struct kcp_peer_time
peer_net_time (const struct peer_net *net)
{
  return (struct kcp_peer_time){
    .monotonic_ns = net->now_ns,
    .realtime_ms = EPOCH_MS + net->now_ns / KCP_NS_PER_MS,
  };
}

/* Returns true if all VMs that are not dead hold the same facts, apart from facts that
   are local to a data center. */
bool
peer_net_is_converged (struct peer_net *net)
{
  struct kcp_facts_digest first;
  bool has_first = false;

  for (guint i = 0; i < net->vms->len; i++)
    {
      struct peer_vm *vm = peer_net_vm (net, i);
      struct kcp_facts_digest digest;

      if (vm->dead)
        continue;
      kcp_facts_digest (kcp_membership_facts (vm->membership), false, &digest);
      if (has_first && memcmp (&digest, &first, sizeof digest) != 0)
        return false;
      first = digest;
      has_first = true;
    }
  return true;
}

/* Publishes a fact at a VM. Returns the result of kcp_membership_publish(). */
bool
peer_net_publish (struct peer_vm *vm, enum kcp_fact_kind kind, const char *id,
                  uint64_t number, uint64_t state)
{
  struct kcp_fact fact = { .kind = kind, .number = number, .state = state };

  g_strlcpy (fact.id, id, sizeof fact.id);
  return kcp_membership_publish (vm->membership, peer_net_time (vm->net), &fact);
}

/* Returns the number of VMs that hold a fact. */
guint
peer_net_count_holders (struct peer_net *net, enum kcp_fact_kind kind, const char *id)
{
  guint holders = 0;

  for (guint i = 0; i < net->vms->len; i++)
    if (kcp_facts_get (kcp_membership_facts (peer_net_vm (net, i)->membership), kind, id)
        != NULL)
      holders++;
  return holders;
}

/* Returns the state of subject in viewer's facts, or -1 if viewer does not know it. */
int
peer_net_observed_state (const struct peer_vm *viewer, const struct peer_vm *subject)
{
  const struct kcp_fact *fact = kcp_facts_get (kcp_membership_facts (viewer->membership),
                                               KCP_FACT_VM, subject->id);

  return fact != NULL ? (int)fact->state : -1;
}

static void
start_vm (struct peer_net *net, struct peer_vm *vm)
{
  struct kcp_peer_time now = peer_net_time (net);
  uint64_t incarnation = ((uint64_t)now.realtime_ms << INCARNATION_SHIFT)
                         + (g_rand_int (net->random) >> 16) + 1;

  vm->incarnations++;
  vm->dead = false;
  vm->frozen = false;
  vm->next_tick_ns
      = net->now_ns
        + (int64_t)(g_rand_double (net->random) * (double)net->probe_interval_ns);
  vm->sessions = kcp_sessions_new (vm->id, incarnation);
  vm->membership = kcp_membership_new (
      &(struct kcp_membership_spec){
          .id = vm->id,
          .endpoint = vm->endpoint,
          .incarnation = incarnation,
          .probe_interval_ns = net->probe_interval_ns,
          .events = { send_message, ignore_change, random_number, vm },
      },
      now);
}

static void
free_vm (gpointer data)
{
  struct peer_vm *vm = data;

  kcp_membership_free (vm->membership);
  kcp_sessions_free (vm->sessions);
  g_queue_free_full (vm->inbox, free_delivery);
  g_free (vm);
}

static void
free_delivery (gpointer data)
{
  struct delivery *delivery = data;

  kcp_message_clear (&delivery->message);
  g_free (delivery);
}

static void
send_message (void *user, const struct kcp_vm_endpoint *to, struct kcp_message *message)
{
  struct peer_vm *vm = user;
  struct peer_net *net = vm->net;

  kcp_sessions_fill_header (vm->sessions, message);
  vm->messages_sent++;
  if (net->count_bytes)
    {
      char box[KCP_WIRE_BOX_MAX];
      struct kcp_wire_sealed sealed = { .box.box_val = box };

      if (!kcp_codec_seal (&net->key, message, &sealed))
        g_error ("a message exceeds the maximum size");
      vm->bytes_sent += kcp_codec_bytes (&sealed);
    }
  if (to->port >= net->vms->len || peer_net_vm (net, to->port)->partition != vm->partition
      || is_broken (net, (int)vm->index, to->port)
      || g_rand_int_range (net->random, 0, 100) < net->loss_percent)
    return;
  enqueue (net, to->port, message);
  if (g_rand_int_range (net->random, 0, 100) < net->duplicate_percent)
    enqueue (net, to->port, message);
}

static bool
is_broken (const struct peer_net *net, int from, int to)
{
  const int *link = net->broken_link;

  return link[0] != link[1]
         && ((from == link[0] && to == link[1]) || (from == link[1] && to == link[0]));
}

static void
enqueue (struct peer_net *net, guint to, const struct kcp_message *message)
{
  struct delivery *delivery = g_new0 (struct delivery, 1);

  delivery->at_ns = net->now_ns + DELAY_MIN_NS
                    + (int64_t)(g_rand_double (net->random) * (double)net->delay_max_ns);
  delivery->to = to;
  delivery->message = *message;
  delivery->message.facts = g_array_ref (message->facts);
  (void)g_sequence_insert_sorted (net->queue, delivery, compare_deliveries, NULL);
}

static void
deliver (struct peer_net *net, struct delivery *delivery)
{
  struct peer_vm *vm = peer_net_vm (net, delivery->to);

  if (vm->dead)
    return;
  if (!vm->frozen)
    accept_message (vm, &delivery->message);
  else if (g_queue_get_length (vm->inbox) < INBOX_MAX)
    {
      struct delivery *copy = g_new0 (struct delivery, 1);

      *copy = *delivery;
      copy->message.facts = g_array_ref (delivery->message.facts);
      g_queue_push_tail (vm->inbox, copy);
    }
}

static void
accept_message (struct peer_vm *vm, const struct kcp_message *message)
{
  if (kcp_sessions_accept (vm->sessions, message))
    kcp_membership_receive (vm->membership, peer_net_time (vm->net), message);
  else
    vm->rejected++;
}

static void
run_vm (struct peer_net *net, struct peer_vm *vm)
{
  struct delivery *delivery;

  if (vm->dead || vm->frozen || net->now_ns < vm->next_tick_ns)
    return;
  vm->next_tick_ns = net->now_ns + net->probe_interval_ns / TICKS_PER_INTERVAL;
  kcp_membership_tick (vm->membership, peer_net_time (net));
  while ((delivery = g_queue_pop_head (vm->inbox)) != NULL)
    {
      accept_message (vm, &delivery->message);
      free_delivery (delivery);
    }
}

static void
ignore_change (void *user, const struct kcp_fact *fact)
{
  (void)user;
  (void)fact;
}

static uint64_t
random_number (void *user)
{
  struct peer_vm *vm = user;

  return ((uint64_t)g_rand_int (vm->net->random) << 32) | g_rand_int (vm->net->random);
}

static gint
compare_deliveries (gconstpointer a, gconstpointer b, gpointer user)
{
  int64_t at_a = ((const struct delivery *)a)->at_ns;
  int64_t at_b = ((const struct delivery *)b)->at_ns;

  (void)user;
  return (at_a > at_b) - (at_a < at_b);
}
