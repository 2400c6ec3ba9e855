/* Summary messages: what the VMs of a data center know of the servers, added up, for the
   VMs of the other ones. In each data center the two VMs that are first in a rendezvous
   order send summaries, the second less often; nobody is elected, and two views of the
   order only cause more messages. A summary goes to one VM of each other data center,
   chosen at random, which forwards it to the other VMs there. So the bytes between data
   centers grow with the number of data centers, and a VM that is dead, frozen or cut off
   loses one summary in many.

   A fleet of few VMs sends none: each VM tells each other one of its own load. */
#include <string.h>
#include <xxhash.h>

#include "base/id.h"
#include "forward/mesh_private.h"
#include "policy/peer_load.h"

/* Up to this number of VMs, each sends its state to all others itself. */
#define DIRECT_VMS_MAX 24u
#define INTERVAL_MS    250
/* The second VM of the order sends a summary once in this many intervals, and cached
   parts, which change more slowly than load, are sent as seldom. */
#define SLOW_INTERVALS 4u
#define SENDERS        2u
#define ORDER_SEED     2u /* seed of the rendezvous order that determines the senders */

/* The VM of one data center to which a datagram is sent. */
struct choice
{
  const struct kcp_mesh_peer *peer;
  unsigned offered; /* VMs of the data center so far */
};

static void tick (void *user);
static void send_summary (struct kcp_mesh *mesh);
static unsigned own_rank (const struct kcp_mesh *mesh);
static void add_peer_rows (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                           GHashTable *positions, struct kcp_mesh_message *state);
static struct kcp_mesh_row *
find_sum (struct kcp_mesh_message *state, GHashTable *positions, uint64_t server);
static void add_position (GHashTable *positions, uint64_t server, guint row);
static void merge_row (const struct kcp_mesh_row *row, int64_t age_ms, bool with_parts,
                       struct kcp_mesh_row *sum);
static void drop_loading (struct kcp_mesh_message *state);
static void offer_peer (GArray *choices, const struct kcp_mesh_peer *peer);
static void store_summary (struct kcp_mesh *mesh, const struct kcp_mesh_message *state);
static void forward (struct kcp_mesh *mesh, const struct kcp_mesh_summary *summary);
static struct kcp_mesh_dc_state *ensure_dc_state (struct kcp_mesh *mesh, const char *dc);
static bool
is_newer (const struct kcp_mesh_message *state, const struct kcp_mesh_message *known);
static void copy_state (const struct kcp_mesh_message *from, struct kcp_mesh_message *to);
static void dc_state_free (gpointer data);

/* Starts to send summaries when this VM is one of the senders. */
void
kcp_mesh_start_summaries (struct kcp_mesh *mesh)
{
  mesh->summaries.dc_states = g_ptr_array_new_with_free_func (dc_state_free);
  tick (mesh);
}

/* Cancels the timer and forgets the summaries received. */
void
kcp_mesh_stop_summaries (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->summaries.timer);
  g_clear_pointer (&mesh->summaries.dc_states, g_ptr_array_unref);
}

/* Returns true if there are so many VMs that the load in other data centers is learned
   from summaries. */
bool
kcp_mesh_uses_summaries (const struct kcp_mesh *mesh)
{
  return mesh->peers->len + 1 > DIRECT_VMS_MAX;
}

static void
tick (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_loop *loop = mesh->gateway->loop;

  if (kcp_mesh_uses_summaries (mesh) && !mesh->leaving)
    {
      unsigned rank = own_rank (mesh);

      if (rank == 0 || (rank < SENDERS && mesh->summaries.ticks % SLOW_INTERVALS == 0))
        send_summary (mesh);
    }
  mesh->summaries.ticks++;
  kcp_loop_timer_set (loop, &mesh->summaries.timer,
                      kcp_loop_now (loop) + INTERVAL_MS * KCP_NS_PER_MS, tick, mesh);
}

/* Adds up the load that this VM and the other live ones of its data center have at each
   server, and sends it to one VM of each other data center. */
static void
send_summary (struct kcp_mesh *mesh)
{
  g_autoptr (GHashTable) positions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  struct kcp_mesh_summary summary;
  struct kcp_mesh_message *state = &summary.state;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  kcp_mesh_summary_init (&summary);
  g_strlcpy (state->vm, mesh->own, sizeof state->vm);
  g_strlcpy (state->data_center, mesh->gateway->settings->vm_data_center,
             sizeof state->data_center);
  state->start_ms = mesh->start_ms;
  state->sequence = ++mesh->summaries.sequence;
  kcp_mesh_add_own_rows (mesh, state);
  drop_loading (state);
  if (mesh->summaries.ticks % SLOW_INTERVALS != 0)
    kcp_mesh_message_drop_parts (state);
  for (guint i = 0; i < state->rows->len; i++)
    add_position (positions, g_array_index (state->rows, struct kcp_mesh_row, i).server,
                  i);
  for (guint i = 0; i < mesh->peers->len; i++)
    add_peer_rows (mesh, g_ptr_array_index (mesh->peers, i), positions, state);
  datagram.len = kcp_mesh_summary_encode (&summary, bytes, sizeof bytes);
  if (datagram.len == 0)
    {
      kcp_mesh_message_drop_parts (state);
      datagram.len = kcp_mesh_summary_encode (&summary, bytes, sizeof bytes);
    }
  if (datagram.len > 0)
    kcp_mesh_send_to_data_centers (mesh, datagram);
  kcp_mesh_summary_clear (&summary);
}

/* Returns how many live VMs of this data center come before this one in the order of the
   senders. */
static unsigned
own_rank (const struct kcp_mesh *mesh)
{
  uint64_t own_score = XXH3_64bits_withSeed (mesh->own, strlen (mesh->own), ORDER_SEED);
  unsigned rank = 0;

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && !peer->last_message.leaving && kcp_mesh_is_local (mesh, peer))
        rank
            += XXH3_64bits_withSeed (peer->vm, strlen (peer->vm), ORDER_SEED) > own_score;
    }
  return rank;
}

/* Adds the rows of a live VM of this data center to the sums. positions maps the servers
   of the sums to their rows. */
static void
add_peer_rows (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
               GHashTable *positions, struct kcp_mesh_message *state)
{
  int64_t age_ns = kcp_loop_now (mesh->gateway->loop) - peer->received_ns;
  bool with_parts = mesh->summaries.ticks % SLOW_INTERVALS == 0;

  if (!peer->alive || !kcp_mesh_is_local (mesh, peer))
    return;
  for (guint i = 0; i < peer->last_message.rows->len; i++)
    {
      const struct kcp_mesh_row *row
          = &g_array_index (peer->last_message.rows, struct kcp_mesh_row, i);
      struct kcp_mesh_row *sum = find_sum (state, positions, row->server);

      if (sum != NULL)
        merge_row (row, age_ns / KCP_NS_PER_MS, with_parts, sum);
    }
}

/* Returns the server's row of the sums, which is added if there is none, or NULL if the
   message has no room for it. */
static struct kcp_mesh_row *
find_sum (struct kcp_mesh_message *state, GHashTable *positions, uint64_t server)
{
  gpointer row;

  if (g_hash_table_lookup_extended (positions, &server, NULL, &row))
    return &g_array_index (state->rows, struct kcp_mesh_row, GPOINTER_TO_UINT (row));
  if (state->rows->len == KCP_MESH_ROWS_MAX)
    return NULL;
  add_position (positions, server, state->rows->len);
  kcp_mesh_message_add_row (state)->server = server;
  return &g_array_index (state->rows, struct kcp_mesh_row, state->rows->len - 1);
}

static void
add_position (GHashTable *positions, uint64_t server, guint row)
{
  g_hash_table_insert (positions, g_memdup2 (&server, sizeof server),
                       GUINT_TO_POINTER (row));
}

static void
merge_row (const struct kcp_mesh_row *row, int64_t age_ms, bool with_parts,
           struct kcp_mesh_row *sum)
{
  sum->in_flight += (uint32_t)kcp_peer_load_weigh (row->in_flight, age_ms);
  sum->prefill_tokens_pending
      += (uint32_t)kcp_peer_load_weigh (row->prefill_tokens_pending, age_ms);
  sum->version = MAX (sum->version, row->version);
  if (!with_parts || !row->has_parts || sum->has_parts)
    return;
  sum->has_parts = true;
  g_array_append_vals (sum->parts, row->parts->data, row->parts->len);
}

/* Removes what the rows say of the loading of weights, which updates announce. It may
   have ended when the summary arrives, and the server would count as loading again. */
static void
drop_loading (struct kcp_mesh_message *state)
{
  for (guint i = 0; i < state->rows->len; i++)
    g_array_index (state->rows, struct kcp_mesh_row, i).loading_ms = 0;
}

/* Sends the datagram to one live VM of each other data center, chosen at random. */
void
kcp_mesh_send_to_data_centers (struct kcp_mesh *mesh, struct kcp_str datagram)
{
  g_autoptr (GArray) choices = g_array_new (FALSE, FALSE, sizeof (struct choice));

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && !kcp_mesh_is_local (mesh, peer))
        offer_peer (choices, peer);
    }
  for (guint i = 0; i < choices->len; i++)
    kcp_mesh_send (mesh, g_array_index (choices, struct choice, i).peer, datagram);
}

/* Makes the peer the choice of its data center with the probability that gives each of
   its VMs the same chance (reservoir sampling). */
static void
offer_peer (GArray *choices, const struct kcp_mesh_peer *peer)
{
  struct choice first = { .peer = peer, .offered = 1 };

  for (guint i = 0; i < choices->len; i++)
    {
      struct choice *choice = &g_array_index (choices, struct choice, i);

      if (strcmp (choice->peer->data_center, peer->data_center) != 0)
        continue;
      choice->offered++;
      if (kcp_id_random_u64 () % choice->offered == 0)
        choice->peer = peer;
      return;
    }
  g_array_append_val (choices, first);
}

/* Stores a summary of another data center unless a newer one of its sender is known, or
   the sender is unknown. Forwards it to the VMs of this data center if the sender has
   sent it to this VM. */
void
kcp_mesh_apply_summary (struct kcp_mesh *mesh, const struct kcp_mesh_summary *summary)
{
  const struct kcp_mesh_message *state = &summary->state;

  if (strcmp (state->data_center, mesh->gateway->settings->vm_data_center) == 0)
    return;
  if (!summary->forwarded)
    forward (mesh, summary);
  if (kcp_mesh_find_peer (mesh, state->vm) != NULL)
    store_summary (mesh, state);
}

static void
store_summary (struct kcp_mesh *mesh, const struct kcp_mesh_message *state)
{
  struct kcp_mesh_dc_state *dc_state = ensure_dc_state (mesh, state->data_center);

  if (!is_newer (state, &dc_state->newest))
    return;
  copy_state (state, &dc_state->newest);
  dc_state->received_ns = kcp_loop_now (mesh->gateway->loop);
  mesh->peer_load_stale = true;
  for (guint i = 0; i < state->rows->len; i++)
    kcp_mesh_apply_row (mesh, &g_array_index (state->rows, struct kcp_mesh_row, i));
}

static void
forward (struct kcp_mesh *mesh, const struct kcp_mesh_summary *summary)
{
  struct kcp_mesh_summary forwarded = { .state = summary->state, .forwarded = true };
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  datagram.len = kcp_mesh_summary_encode (&forwarded, bytes, sizeof bytes);
  for (guint i = 0; datagram.len > 0 && i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && kcp_mesh_is_local (mesh, peer))
        kcp_mesh_send (mesh, peer, datagram);
    }
}

/* Returns the state of the data center if a summary of it counts still, else NULL. */
const struct kcp_mesh_dc_state *
kcp_mesh_find_dc_state (const struct kcp_mesh *mesh, const char *data_center)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  for (guint i = 0; i < mesh->summaries.dc_states->len; i++)
    {
      const struct kcp_mesh_dc_state *dc_state
          = g_ptr_array_index (mesh->summaries.dc_states, i);

      if (strcmp (dc_state->newest.data_center, data_center) == 0)
        return now - dc_state->received_ns < KCP_PEER_LOAD_MAX_AGE_MS * KCP_NS_PER_MS
                   ? dc_state
                   : NULL;
    }
  return NULL;
}

static struct kcp_mesh_dc_state *
ensure_dc_state (struct kcp_mesh *mesh, const char *dc)
{
  struct kcp_mesh_dc_state *dc_state;

  for (guint i = 0; i < mesh->summaries.dc_states->len; i++)
    {
      dc_state = g_ptr_array_index (mesh->summaries.dc_states, i);
      if (strcmp (dc_state->newest.data_center, dc) == 0)
        return dc_state;
    }
  dc_state = g_new0 (struct kcp_mesh_dc_state, 1);
  kcp_mesh_message_init (&dc_state->newest);
  g_strlcpy (dc_state->newest.data_center, dc, sizeof dc_state->newest.data_center);
  g_ptr_array_add (mesh->summaries.dc_states, dc_state);
  return dc_state;
}

/* Returns true unless the same sender has sent known later. */
static bool
is_newer (const struct kcp_mesh_message *state, const struct kcp_mesh_message *known)
{
  if (strcmp (state->vm, known->vm) != 0 || state->start_ms > known->start_ms)
    return true;
  return state->start_ms == known->start_ms && state->sequence > known->sequence;
}

static void
copy_state (const struct kcp_mesh_message *from, struct kcp_mesh_message *to)
{
  g_strlcpy (to->vm, from->vm, sizeof to->vm);
  to->start_ms = from->start_ms;
  to->sequence = from->sequence;
  g_array_set_size (to->rows, 0);
  for (guint i = 0; i < from->rows->len; i++)
    {
      const struct kcp_mesh_row *row
          = &g_array_index (from->rows, struct kcp_mesh_row, i);
      struct kcp_mesh_row *copy = kcp_mesh_message_add_row (to);

      copy->server = row->server;
      copy->in_flight = row->in_flight;
      copy->prefill_tokens_pending = row->prefill_tokens_pending;
    }
}

static void
dc_state_free (gpointer data)
{
  struct kcp_mesh_dc_state *dc_state = data;

  kcp_mesh_message_clear (&dc_state->newest);
  g_free (dc_state);
}
