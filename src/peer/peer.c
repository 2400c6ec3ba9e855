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
#include "peer/codec.h"
#include "peer/config_pull.h"
#include "peer/config_source.h"
#include "peer/membership.h"
#include "peer/rpc_link.h"
#include "peer/session.h"

#define STEP               "peers"
#define TICKS_PER_INTERVAL 5
#define TICK_MIN_MS        2
#define PULL_GRACE_MS      1000 /* in which this VM may read the log itself */
#define INCARNATION_SHIFT  20   /* the lower bits are random and count refutations */
#define INCARNATION_RANDOM ((1u << 16) - 1)

struct observer
{
  kcp_fact_observer *call;
  void *user;
};

/* The lock guards the membership, the sessions, the client of the link and the changes.
   Sending does not block. Observers are set before any fact of theirs is published. */
struct kcp_peer
{
  const struct kcp_clock *clock;
  struct kcp_timeline *timeline;
  struct kcp_config *config;
  struct kcp_peer_key key;
  struct kcp_rpc_link *link;
  int wake_fd;
  int tick_ms;
  pthread_t thread;
  bool running;
  int stopping; /* atomic */

  pthread_mutex_t lock;
  struct kcp_membership *membership;
  struct kcp_sessions *sessions;
  GArray *changes; /* struct kcp_fact, to be told to the observers */
  struct observer observers[KCP_FACT_KINDS];

  /* Used by the thread alone. */
  GArray *telling; /* struct kcp_fact, changes being told */
  struct kcp_config_pull pull;
  struct kcp_config_source *source;
  uint64_t lacking_version; /* of the configuration that this VM lacks */
  uint64_t lacking_digest;
  int64_t lacking_ns; /* monotonic; since when; 0: it lacks none */
  bool pull_all;      /* what changed since this VM's version was not enough */
};

static bool open_peer (struct kcp_peer *peer, const struct kcp_settings *settings,
                       struct kcp_error *error);
static void *run (void *user);
static void run_once (struct kcp_peer *peer);
static void tell_config (struct kcp_peer *peer, struct kcp_peer_time now);
static void tell_changes (struct kcp_peer *peer);
static void note_vm (struct kcp_peer *peer, const struct kcp_fact *fact);
static void consider_pull (struct kcp_peer *peer, int64_t now_ns);
static void continue_pull (struct kcp_peer *peer, int64_t now_ns);
static void finish_pull (struct kcp_peer *peer);
static void receive (void *user, const struct kcp_wire_sealed *sealed);
static void handle (struct kcp_peer *peer, const struct kcp_message *message);
static void confirm_config (struct kcp_peer *peer, const struct kcp_message *message,
                            int64_t asked_ns);
static void answer_pull (struct kcp_peer *peer, const struct kcp_message *message);
static void reject (void *user);
static void send_to (struct kcp_peer *peer, const char *id, struct kcp_message *message);
static void
send_message (void *user, const struct kcp_vm_place *to, struct kcp_message *message);
static void note_change (void *user, const struct kcp_fact *fact);
static uint64_t random_number (void *user);
static char *config_text (void *user, uint64_t since);
static struct kcp_peer_time time_of (const struct kcp_peer *peer);
static void wake (struct kcp_peer *peer);

/* Opens the address of the settings and starts the thread. All pointers but settings must
   outlive it. */
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
  peer->telling = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact));
  peer->source = kcp_config_source_new (config_text, peer);
  if (!open_peer (peer, settings, error))
    {
      kcp_peer_stop (peer);
      return NULL;
    }
  peer->running = pthread_create (&peer->thread, NULL, run, peer) == 0;
  return peer;
}

/* Stops the thread, closes the sockets and frees the peer; NULL is allowed. */
void
kcp_peer_stop (struct kcp_peer *peer)
{
  if (peer == NULL)
    return;
  ck_pr_store_int (&peer->stopping, 1);
  wake (peer);
  if (peer->running)
    pthread_join (peer->thread, NULL);
  kcp_rpc_link_close (peer->link);
  kcp_membership_free (peer->membership);
  kcp_sessions_free (peer->sessions);
  kcp_config_pull_clear (&peer->pull);
  kcp_config_source_free (peer->source);
  g_array_unref (peer->changes);
  g_array_unref (peer->telling);
  pthread_mutex_destroy (&peer->lock);
  if (peer->wake_fd >= 0)
    (void)close (peer->wake_fd);
  g_free (peer);
}

/* Returns the UDP port. */
int
kcp_peer_port (const struct kcp_peer *peer)
{
  return kcp_rpc_link_port (peer->link);
}

/* Takes the entry VMs of the platform's list; a kcp_list_observer. Without a list, VMs
   learned from other VMs stay. */
void
kcp_peer_observe_list (void *user, const struct kcp_vm_list *list)
{
  struct kcp_peer *peer = user;

  pthread_mutex_lock (&peer->lock);
  kcp_membership_clear_seeds (peer->membership);
  for (guint i = 0; i < list->members->len; i++)
    {
      const struct kcp_member *member = g_ptr_array_index (list->members, i);
      struct kcp_vm_place place = { .port = (uint16_t)member->port };

      if (member->kind != KCP_MEMBER_ENTRY || strlen (member->id) >= KCP_FACT_ID_MAX)
        continue;
      g_strlcpy (place.address, member->address, sizeof place.address);
      g_strlcpy (place.data_center, g_quark_to_string (member->data_center),
                 sizeof place.data_center);
      kcp_membership_add_seed (peer->membership, member->id, &place);
    }
  pthread_mutex_unlock (&peer->lock);
}

/* Returns what is known of the other VMs as a new JSON array of objects: "vm",
   "data_center", "state", "version" and "loaded" of the configuration it told last,
   "incarnation", "address" and "port". */
json_t *
kcp_peer_config_view (void *user)
{
  struct kcp_peer *peer = user;
  json_t *vms;

  pthread_mutex_lock (&peer->lock);
  vms = kcp_membership_to_json (peer->membership);
  pthread_mutex_unlock (&peer->lock);
  return vms;
}

/* Tells whether the view of the other VMs is current; see kcp_membership_is_trusted(). */
bool
kcp_peer_is_trusted (struct kcp_peer *peer)
{
  bool trusted;

  pthread_mutex_lock (&peer->lock);
  trusted = kcp_membership_is_trusted (peer->membership);
  pthread_mutex_unlock (&peer->lock);
  return trusted;
}

/* Sets who is told of changed facts of a kind, this VM's own ones included, and tells it
   of those already held. */
void
kcp_peer_on_fact (struct kcp_peer *peer, enum kcp_fact_kind kind,
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

/* Tells a fact to the other VMs. Returns whether it was greater than the one held. */
bool
kcp_peer_publish_fact (struct kcp_peer *peer, const struct kcp_fact *fact)
{
  bool changed;

  pthread_mutex_lock (&peer->lock);
  changed = kcp_membership_publish (peer->membership, time_of (peer), fact);
  pthread_mutex_unlock (&peer->lock);
  wake (peer);
  return changed;
}

/* Tells the other VMs that this one is about to stop. */
void
kcp_peer_leave (struct kcp_peer *peer)
{
  pthread_mutex_lock (&peer->lock);
  kcp_membership_leave (peer->membership, time_of (peer));
  pthread_mutex_unlock (&peer->lock);
}

static bool
open_peer (struct kcp_peer *peer, const struct kcp_settings *settings,
           struct kcp_error *error)
{
  const struct kcp_rpc_events events = { receive, reject, peer };
  struct kcp_peer_time now = time_of (peer);
  uint64_t incarnation = ((uint64_t)now.realtime_ms << INCARNATION_SHIFT)
                         + (kcp_id_random_u64 () & INCARNATION_RANDOM) + 1;
  struct kcp_membership_spec spec = {
    .id = settings->vm_id,
    .incarnation = incarnation,
    .probe_interval_ns = settings->peers_probe_interval_ms * KCP_NS_PER_MS,
    .events = { send_message, note_change, random_number, peer },
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
  spec.place.port = kcp_rpc_link_port (peer->link);
  g_strlcpy (spec.place.address, settings->peers_address, sizeof spec.place.address);
  g_strlcpy (spec.place.data_center, settings->vm_data_center,
             sizeof spec.place.data_center);
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
  now = time_of (peer);
  pthread_mutex_lock (&peer->lock);
  tell_config (peer, now);
  kcp_membership_tick (peer->membership, now);
  pthread_mutex_unlock (&peer->lock);
  if (fds[0].revents != 0)
    kcp_rpc_link_serve (peer->link);
  consider_pull (peer, now.monotonic_ns);
  continue_pull (peer, now.monotonic_ns);
  tell_changes (peer);
}

static void
tell_config (struct kcp_peer *peer, struct kcp_peer_time now)
{
  struct kcp_config_position position;

  kcp_config_position (peer->config, &position);
  kcp_membership_set_config (peer->membership, now,
                             &(struct kcp_config_told){
                                 .version = position.version,
                                 .digest = position.digest,
                                 .loaded = position.loaded,
                             },
                             position.age_ns);
}

/* Tells the observers of the changes, without the lock. */
static void
tell_changes (struct kcp_peer *peer)
{
  GArray *changes;

  pthread_mutex_lock (&peer->lock);
  changes = peer->changes;
  peer->changes = peer->telling;
  peer->telling = changes;
  pthread_mutex_unlock (&peer->lock);
  for (guint i = 0; i < changes->len; i++)
    {
      const struct kcp_fact *fact = &g_array_index (changes, struct kcp_fact, i);
      struct observer observer;

      pthread_mutex_lock (&peer->lock);
      observer = peer->observers[fact->kind];
      pthread_mutex_unlock (&peer->lock);
      if (fact->kind == KCP_FACT_VM)
        note_vm (peer, fact);
      if (observer.call != NULL)
        observer.call (observer.user, fact);
    }
  g_array_set_size (changes, 0);
}

static void
note_vm (struct kcp_peer *peer, const struct kcp_fact *fact)
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

/* Starts to fetch what this VM lacks, if it did not get it from the log meanwhile. */
static void
consider_pull (struct kcp_peer *peer, int64_t now_ns)
{
  struct kcp_config_position own;
  struct kcp_fact newest;
  int64_t grace_ns;
  bool lacking;

  if (peer->pull.state != KCP_PULL_IDLE)
    return;
  kcp_config_position (peer->config, &own);
  pthread_mutex_lock (&peer->lock);
  lacking = kcp_membership_newer_config (peer->membership, kcp_id_random_u64 (), &newest);
  pthread_mutex_unlock (&peer->lock);
  if (!lacking)
    {
      peer->lacking_ns = 0;
      peer->pull_all = false;
      return;
    }
  if (peer->lacking_ns == 0)
    peer->lacking_ns = now_ns;
  grace_ns = own.loaded ? PULL_GRACE_MS * KCP_NS_PER_MS : 0;
  if (now_ns - peer->lacking_ns < grace_ns)
    return;
  peer->lacking_version = newest.of.config.version;
  peer->lacking_digest = newest.of.config.digest;
  if (newest.of.config.version == own.version)
    peer->pull_all = true;
  kcp_config_pull_start (&peer->pull, newest.id, kcp_id_random_u64 (),
                         peer->pull_all ? 0 : own.version);
}

static void
continue_pull (struct kcp_peer *peer, int64_t now_ns)
{
  struct kcp_message message = { .kind = KCP_MESSAGE_PULL };

  if (kcp_config_pull_request (&peer->pull, now_ns, &message.of.pull))
    send_to (peer, peer->pull.from, &message);
  if (peer->pull.state == KCP_PULL_DONE)
    finish_pull (peer);
  if (peer->pull.state == KCP_PULL_FAILED)
    {
      kcp_logger_write (G_LOG_LEVEL_WARNING, "config_pull_failed", "peer",
                        peer->pull.from, NULL);
      kcp_config_pull_clear (&peer->pull);
    }
}

/* Adopts what was fetched. If this VM then still differs from what the other one told,
   everything is fetched the next time. */
static void
finish_pull (struct kcp_peer *peer)
{
  struct kcp_str text = kcp_config_pull_text (&peer->pull);
  json_t *snapshot = json_loadb (text.data, text.len, 0, NULL);
  struct kcp_config_position own;
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_PEER, STEP, peer->pull.from, "not JSON");
  if (snapshot != NULL && kcp_config_adopt (peer->config, snapshot, &error))
    {
      kcp_config_position (peer->config, &own);
      kcp_timeline_add (peer->timeline, KCP_EVENT_CONFIG_IN_FORCE, NULL, peer->pull.from,
                        (int64_t)own.version);
      kcp_logger_write (G_LOG_LEVEL_MESSAGE, "config_adopted", "peer", peer->pull.from,
                        NULL);
      peer->pull_all
          = own.version <= peer->lacking_version && own.digest != peer->lacking_digest;
    }
  else
    kcp_logger_error ("config_adopt_failed", NULL, &error);
  json_decref (snapshot);
  peer->lacking_ns = 0;
  kcp_config_pull_clear (&peer->pull);
}

/* Takes one datagram, on the thread, without the lock. */
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
    handle (peer, &message);
  else
    reject (peer);
  kcp_message_clear (&message);
}

static void
handle (struct kcp_peer *peer, const struct kcp_message *message)
{
  struct kcp_peer_time now = time_of (peer);
  int64_t asked_ns = -1;

  kcp_counter_add (KCP_COUNT_RPC_RECEIVED, 1);
  kcp_timeline_observe (peer->timeline, message->stamp);
  pthread_mutex_lock (&peer->lock);
  if (message->kind == KCP_MESSAGE_ACK)
    asked_ns = kcp_membership_asked_ns (peer->membership, message->of.probe.number);
  kcp_membership_receive (peer->membership, now, message);
  pthread_mutex_unlock (&peer->lock);
  if (asked_ns >= 0)
    confirm_config (peer, message, asked_ns);
  if (message->kind == KCP_MESSAGE_PULL)
    answer_pull (peer, message);
  if (message->kind == KCP_MESSAGE_CHUNK)
    kcp_config_pull_accept (&peer->pull, message->from, &message->of.chunk);
}

/* Takes over how recently the configuration was seen to be the newest, if the sender
   holds the same one. */
static void
confirm_config (struct kcp_peer *peer, const struct kcp_message *message,
                int64_t asked_ns)
{
  for (guint i = 0; i < message->facts->len; i++)
    {
      const struct kcp_fact *fact = &g_array_index (message->facts, struct kcp_fact, i);
      struct kcp_config_position position = {
        .version = fact->of.config.version,
        .digest = fact->of.config.digest,
        .loaded = fact->of.config.loaded,
        .age_ns = message->of.probe.config_age_ns,
      };

      if (fact->kind == KCP_FACT_CONFIG && strcmp (fact->id, message->from) == 0
          && strcmp (message->of.probe.target, message->from) == 0)
        kcp_config_adopt_confirmation (peer->config, &position, asked_ns);
    }
}

static void
answer_pull (struct kcp_peer *peer, const struct kcp_message *message)
{
  int64_t now_ns = time_of (peer).monotonic_ns;

  for (uint32_t i = 0;; i++)
    {
      struct kcp_message answer = { .kind = KCP_MESSAGE_CHUNK };

      if (!kcp_config_source_chunk (peer->source, now_ns, &message->of.pull, i,
                                    &answer.of.chunk))
        return;
      send_to (peer, message->from, &answer);
    }
}

static void
reject (void *user)
{
  (void)user;
  kcp_counter_add (KCP_COUNT_RPC_REJECTED, 1);
}

/* Sends a message that is not the membership's own. */
static void
send_to (struct kcp_peer *peer, const char *id, struct kcp_message *message)
{
  pthread_mutex_lock (&peer->lock);
  kcp_membership_send_other (peer->membership, id, message);
  pthread_mutex_unlock (&peer->lock);
}

/* Called with the lock held. */
static void
send_message (void *user, const struct kcp_vm_place *to, struct kcp_message *message)
{
  struct kcp_peer *peer = user;
  char box[KCP_WIRE_BOX_MAX];
  struct kcp_wire_sealed sealed = { .box.box_val = box };

  kcp_sessions_stamp (peer->sessions, message);
  message->stamp = kcp_timeline_stamp (peer->timeline);
  if (kcp_codec_seal (&peer->key, message, &sealed)
      && kcp_rpc_link_send (peer->link, to, &sealed))
    kcp_counter_add (KCP_COUNT_RPC_SENT, 1);
}

/* Called with the lock held. */
static void
note_change (void *user, const struct kcp_fact *fact)
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

static char *
config_text (void *user, uint64_t since)
{
  struct kcp_peer *peer = user;
  json_t *snapshot = kcp_config_snapshot_since (peer->config, since);
  char *text = json_dumps (snapshot, JSON_COMPACT);

  json_decref (snapshot);
  return text;
}

static struct kcp_peer_time
time_of (const struct kcp_peer *peer)
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
    return; /* the counter is full, so the thread wakes anyway */
}
