#include "peer/peer.h"

#include <ck_pr.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/id.h"
#include "base/logger.h"
#include "peer/peer_private.h"

#define STEP               "peers"
#define TICKS_PER_INTERVAL 5
#define TICK_MIN_MS        2
/* Longer than a round trip within a data center by far, and no burden for a caller. */
#define DELIVERY_TIMEOUT_MS 250
#define INCARNATION_SHIFT   20 /* the low bits are random and count refutations */
#define INCARNATION_RANDOM  ((1u << 16) - 1)

static bool open_peer (struct kcp_peer *peer, const struct kcp_settings *settings,
                       struct kcp_error *error);
static void *run (void *user);
static void run_once (struct kcp_peer *peer);
static void report_changes (struct kcp_peer *peer);
static void end_deliveries (struct kcp_peer *peer, int64_t now_ns);
static void log_unacknowledged (const struct kcp_delivery *delivery);
static void report_vm_state (struct kcp_peer *peer, const struct kcp_fact *fact);
static void receive (void *user, const struct kcp_wire_sealed *sealed);
static void handle_message (struct kcp_peer *peer, const struct kcp_message *message);
static void reject (void *user);
static void
send_message (void *user, const struct kcp_vm_endpoint *to, struct kcp_message *message);
static void record_change (void *user, const struct kcp_fact *fact);
static uint64_t random_number (void *user);
static void wake (struct kcp_peer *peer);

/* Opens the configured address and starts the peer thread. Returns NULL on error. All
   arguments except settings and error must outlive the peer. */
struct kcp_peer *
kcp_peer_start (const struct kcp_settings *settings, const struct kcp_clock *clock,
                struct kcp_timeline *timeline, struct kcp_config *config,
                struct kcp_error *error)
{
  struct kcp_peer *peer = g_new0 (struct kcp_peer, 1);

  peer->clock = clock;
  peer->timeline = timeline;
  peer->config = config;
  peer->tick_ms
      = (int)MAX (settings->peers_probe_interval_ms / TICKS_PER_INTERVAL, TICK_MIN_MS);
  peer->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  pthread_mutex_init (&peer->lock, NULL);
  peer->changes = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact));
  peer->reporting = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact));
  peer->deliveries = kcp_deliveries_new ();
  peer->source = kcp_config_source_new (kcp_peer_serialize_config, peer);
  if (!open_peer (peer, settings, error))
    {
      kcp_peer_stop (peer);
      return NULL;
    }
  peer->running = pthread_create (&peer->thread, NULL, run, peer) == 0;
  return peer;
}

/* Stops the thread, ends the deliveries, closes the socket and frees the peer; NULL is
   allowed. */
void
kcp_peer_stop (struct kcp_peer *peer)
{
  if (peer == NULL)
    return;
  ck_pr_store_int (&peer->stopping, 1);
  wake (peer);
  if (peer->running)
    pthread_join (peer->thread, NULL);
  end_deliveries (peer, INT64_MAX);
  kcp_deliveries_free (peer->deliveries);
  kcp_rpc_link_close (peer->link);
  kcp_membership_free (peer->membership);
  kcp_sessions_free (peer->sessions);
  kcp_config_pull_clear (&peer->pull);
  kcp_config_source_free (peer->source);
  g_array_unref (peer->changes);
  g_array_unref (peer->reporting);
  pthread_mutex_destroy (&peer->lock);
  if (peer->wake_fd >= 0)
    (void)close (peer->wake_fd);
  g_free (peer);
}

/* Returns the UDP port the peer listens on. */
int
kcp_peer_port (const struct kcp_peer *peer)
{
  return kcp_rpc_link_port (peer->link);
}

/* Replaces the seeds with the entry VMs of the platform's VM list; a kcp_list_observer.
   VMs learned from other VMs stay. */
void
kcp_peer_update_seeds (void *user, const struct kcp_vm_list *list)
{
  struct kcp_peer *peer = user;

  pthread_mutex_lock (&peer->lock);
  kcp_membership_clear_seeds (peer->membership);
  for (guint i = 0; i < list->members->len; i++)
    {
      const struct kcp_member *member = g_ptr_array_index (list->members, i);
      struct kcp_vm_endpoint endpoint = { .port = (uint16_t)member->port };

      if (member->kind != KCP_MEMBER_ENTRY || strlen (member->id) >= KCP_FACT_ID_MAX)
        continue;
      g_strlcpy (endpoint.address, member->address, sizeof endpoint.address);
      g_strlcpy (endpoint.data_center, g_quark_to_string (member->data_center),
                 sizeof endpoint.data_center);
      kcp_membership_add_seed (peer->membership, member->id, &endpoint);
    }
  pthread_mutex_unlock (&peer->lock);
}

/* Returns the other known VMs as a new JSON array of objects with the members "vm",
   "data_center", "state", "version" and "loaded" (of the configuration it announced
   last), "incarnation", "address" and "port". */
json_t *
kcp_peer_vms_to_json (void *user)
{
  struct kcp_peer *peer = user;
  json_t *vms;

  pthread_mutex_lock (&peer->lock);
  vms = kcp_membership_to_json (peer->membership);
  pthread_mutex_unlock (&peer->lock);
  return vms;
}

/* Returns true if this VM's view of the other VMs is current, as described at
   kcp_membership_has_current_view(). */
bool
kcp_peer_has_current_view (struct kcp_peer *peer)
{
  bool current;

  pthread_mutex_lock (&peer->lock);
  current = kcp_membership_has_current_view (peer->membership);
  pthread_mutex_unlock (&peer->lock);
  return current;
}

/* Sets the observer of changed facts of a kind, including this VM's own facts. The facts
   that already exist are reported to it too. */
void
kcp_peer_set_fact_observer (struct kcp_peer *peer, enum kcp_fact_kind kind,
                            kcp_fact_observer *observer, void *user)
{
  g_autoptr (GPtrArray) held = NULL;

  pthread_mutex_lock (&peer->lock);
  peer->observers[kind] = (struct observer){ observer, user };
  held = kcp_facts_list (kcp_membership_facts (peer->membership), kind);
  for (guint i = 0; i < held->len; i++)
    g_array_append_vals (peer->changes, g_ptr_array_index (held, i), 1);
  pthread_mutex_unlock (&peer->lock);
  wake (peer);
}

/* Publishes a fact to the other VMs. Returns true if it was greater than the existing
   one. */
bool
kcp_peer_publish_fact (struct kcp_peer *peer, const struct kcp_fact *fact)
{
  bool changed;

  pthread_mutex_lock (&peer->lock);
  changed = kcp_membership_publish (peer->membership, kcp_peer_now (peer), fact);
  pthread_mutex_unlock (&peer->lock);
  wake (peer);
  return changed;
}

/* Sends a fact, which is published if it has not been yet, to the other VMs of the data
   center, and calls done on the peer thread once it is in force at all of them, or after
   DELIVERY_TIMEOUT_MS. */
void
kcp_peer_deliver_fact (struct kcp_peer *peer, const struct kcp_fact *fact,
                       kcp_delivery_done *done, void *user)
{
  struct kcp_peer_time now = kcp_peer_now (peer);
  struct kcp_delivery delivery = {
    .due_ns = now.monotonic_ns + DELIVERY_TIMEOUT_MS * KCP_NS_PER_MS,
    .done = done,
    .user = user,
  };

  pthread_mutex_lock (&peer->lock);
  (void)kcp_membership_publish (peer->membership, now, fact);
  delivery.awaited
      = kcp_membership_probe_data_center (peer->membership, fact, &delivery.number);
  kcp_deliveries_add (peer->deliveries, &delivery);
  pthread_mutex_unlock (&peer->lock);
  wake (peer);
}

/* Announces to the other VMs that this VM is about to stop. */
void
kcp_peer_leave (struct kcp_peer *peer)
{
  pthread_mutex_lock (&peer->lock);
  kcp_membership_leave (peer->membership, kcp_peer_now (peer));
  pthread_mutex_unlock (&peer->lock);
}

static bool
open_peer (struct kcp_peer *peer, const struct kcp_settings *settings,
           struct kcp_error *error)
{
  const struct kcp_rpc_events events = { receive, reject, peer };
  struct kcp_peer_time now = kcp_peer_now (peer);
  uint64_t incarnation = ((uint64_t)now.realtime_ms << INCARNATION_SHIFT)
                         + (kcp_id_random_u64 () & INCARNATION_RANDOM) + 1;
  struct kcp_membership_spec spec = {
    .id = settings->vm_id,
    .incarnation = incarnation,
    .probe_interval_ns = settings->peers_probe_interval_ms * KCP_NS_PER_MS,
    .events = { send_message, record_change, random_number, peer },
  };

  if (!kcp_peer_key_parse (settings->peers_key, &peer->key))
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, NULL, "peers.key is not a key");
      return false;
    }
  peer->link = kcp_rpc_link_open (settings->peers_address, (uint16_t)settings->peers_port,
                                  &events, error);
  if (peer->link == NULL)
    return false;
  spec.endpoint.port = kcp_rpc_link_port (peer->link);
  g_strlcpy (spec.endpoint.address, settings->peers_address,
             sizeof spec.endpoint.address);
  g_strlcpy (spec.endpoint.data_center, settings->vm_data_center,
             sizeof spec.endpoint.data_center);
  peer->sessions = kcp_sessions_new (settings->vm_id, incarnation);
  peer->membership = kcp_membership_new (&spec, now);
  return true;
}

static void *
run (void *user)
{
  struct kcp_peer *peer = user;

  while (!ck_pr_load_int (&peer->stopping))
    run_once (peer);
  return NULL;
}

static void
run_once (struct kcp_peer *peer)
{
  struct pollfd fds[] = {
    { .fd = kcp_rpc_link_fd (peer->link), .events = POLLIN },
    { .fd = peer->wake_fd, .events = POLLIN },
  };
  struct kcp_peer_time now;
  uint64_t count;

  (void)poll (fds, G_N_ELEMENTS (fds), peer->tick_ms);
  if (read (peer->wake_fd, &count, sizeof count) < 0)
    count = 0;
  now = kcp_peer_now (peer);
  pthread_mutex_lock (&peer->lock);
  kcp_peer_announce_config (peer, now);
  kcp_membership_tick (peer->membership, now);
  pthread_mutex_unlock (&peer->lock);
  if (fds[0].revents != 0)
    kcp_rpc_link_serve (peer->link);
  kcp_peer_start_pull_if_outdated (peer, now.monotonic_ns);
  kcp_peer_continue_pull (peer, now.monotonic_ns);
  report_changes (peer);
  end_deliveries (peer, now.monotonic_ns);
}

/* Reports the changes to the observers, without the lock held. */
static void
report_changes (struct kcp_peer *peer)
{
  GArray *changes;

  pthread_mutex_lock (&peer->lock);
  changes = peer->changes;
  peer->changes = peer->reporting;
  peer->reporting = changes;
  pthread_mutex_unlock (&peer->lock);
  for (guint i = 0; i < changes->len; i++)
    {
      const struct kcp_fact *fact = &g_array_index (changes, struct kcp_fact, i);
      struct observer observer;

      pthread_mutex_lock (&peer->lock);
      observer = peer->observers[fact->kind];
      pthread_mutex_unlock (&peer->lock);
      if (fact->kind == KCP_FACT_VM)
        report_vm_state (peer, fact);
      if (observer.call != NULL)
        observer.call (observer.user, fact);
    }
  g_array_set_size (changes, 0);
}

/* Calls the functions of the deliveries that have ended, without the lock held. */
static void
end_deliveries (struct kcp_peer *peer, int64_t now_ns)
{
  g_autoptr (GArray) ended = NULL;

  pthread_mutex_lock (&peer->lock);
  ended = kcp_deliveries_take_ended (peer->deliveries, now_ns);
  pthread_mutex_unlock (&peer->lock);
  for (guint i = 0; i < ended->len; i++)
    {
      const struct kcp_delivery *delivery
          = &g_array_index (ended, struct kcp_delivery, i);

      if (delivery->awaited > 0)
        log_unacknowledged (delivery);
      delivery->done (delivery->user);
    }
}

/* Logs that VMs have not acknowledged a fact; gossip goes on to tell them. */
static void
log_unacknowledged (const struct kcp_delivery *delivery)
{
  g_autofree char *vms = g_strdup_printf ("%zu", delivery->awaited);

  kcp_logger_write (G_LOG_LEVEL_WARNING, "fact_not_acknowledged", "vms", vms, NULL);
}

/* Records the state of a VM in the timeline and the log. */
static void
report_vm_state (struct kcp_peer *peer, const struct kcp_fact *fact)
{
  enum kcp_event event = KCP_EVENT_PEER_ALIVE;

  if (fact->state == KCP_VM_SUSPECT)
    event = KCP_EVENT_PEER_SUSPECTED;
  if (fact->state == KCP_VM_DEAD)
    event = KCP_EVENT_PEER_DEAD;
  kcp_timeline_add (peer->timeline, event, NULL, fact->id, (int64_t)fact->number);
  kcp_logger_write (G_LOG_LEVEL_MESSAGE, "peer_state", "peer", fact->id, "state",
                    kcp_vm_state_name (fact->state), NULL);
}

/* Handles one datagram. Called on the peer thread without the lock held. */
static void
receive (void *user, const struct kcp_wire_sealed *sealed)
{
  struct kcp_peer *peer = user;
  struct kcp_message message;
  bool accepted;

  if (!kcp_codec_open (&peer->key, sealed, &message))
    {
      reject (peer);
      return;
    }
  pthread_mutex_lock (&peer->lock);
  accepted = kcp_sessions_accept (peer->sessions, &message);
  pthread_mutex_unlock (&peer->lock);
  if (accepted)
    handle_message (peer, &message);
  else
    reject (peer);
  kcp_message_clear (&message);
}

/* Merges the facts of a message, reports them and then responds, so that an
   acknowledgement is sent when the facts are in force. */
static void
handle_message (struct kcp_peer *peer, const struct kcp_message *message)
{
  struct kcp_peer_time now = kcp_peer_now (peer);
  int64_t probe_sent_ns = -1;

  kcp_counter_add (KCP_COUNT_RPC_RECEIVED, 1);
  kcp_timeline_observe (peer->timeline, message->stamp);
  pthread_mutex_lock (&peer->lock);
  if (message->kind == KCP_MESSAGE_ACK)
    {
      uint64_t number = message->content.probe.number;

      probe_sent_ns = kcp_membership_probe_sent_ns (peer->membership, number);
      kcp_deliveries_acknowledge (peer->deliveries, number);
    }
  kcp_membership_merge_facts (peer->membership, now, message);
  pthread_mutex_unlock (&peer->lock);
  if (message->kind == KCP_MESSAGE_PROBE)
    report_changes (peer);
  pthread_mutex_lock (&peer->lock);
  kcp_membership_respond (peer->membership, now, message);
  pthread_mutex_unlock (&peer->lock);
  if (probe_sent_ns >= 0)
    kcp_peer_confirm_config (peer, message, probe_sent_ns);
  if (message->kind == KCP_MESSAGE_PULL)
    kcp_peer_answer_pull (peer, message);
  if (message->kind == KCP_MESSAGE_CHUNK)
    kcp_config_pull_accept (&peer->pull, message->from, &message->content.chunk);
}

static void
reject (void *user)
{
  (void)user;
  kcp_counter_add (KCP_COUNT_RPC_REJECTED, 1);
}

/* Called with the lock held. */
static void
send_message (void *user, const struct kcp_vm_endpoint *to, struct kcp_message *message)
{
  struct kcp_peer *peer = user;
  char box[KCP_WIRE_BOX_MAX];
  struct kcp_wire_sealed sealed = { .box.box_val = box };

  kcp_sessions_fill_header (peer->sessions, message);
  message->stamp = kcp_timeline_stamp (peer->timeline);
  if (kcp_codec_seal (&peer->key, message, &sealed)
      && kcp_rpc_link_send (peer->link, to, &sealed))
    kcp_counter_add (KCP_COUNT_RPC_SENT, 1);
}

/* Called with the lock held. */
static void
record_change (void *user, const struct kcp_fact *fact)
{
  struct kcp_peer *peer = user;

  g_array_append_vals (peer->changes, fact, 1);
}

static uint64_t
random_number (void *user)
{
  (void)user;
  return kcp_id_random_u64 ();
}

/* Sends a message that does not belong to the membership protocol. */
void
kcp_peer_send (struct kcp_peer *peer, const char *id, struct kcp_message *message)
{
  pthread_mutex_lock (&peer->lock);
  kcp_membership_send_external (peer->membership, id, message);
  pthread_mutex_unlock (&peer->lock);
}

/* Reads both clocks. */
struct kcp_peer_time
kcp_peer_now (const struct kcp_peer *peer)
{
  return (struct kcp_peer_time){
    .monotonic_ns = kcp_clock_monotonic_ns (peer->clock),
    .realtime_ms = kcp_clock_realtime_ms (peer->clock),
  };
}

static void
wake (struct kcp_peer *peer)
{
  uint64_t one = 1;

  if (write (peer->wake_fd, &one, sizeof one) < 0)
    return; /* the counter is saturated, so the thread wakes up anyway */
}
