/* Suspects messages: requests that were in flight at servers that crashed, and those that
   were cleared since. A change is sent to all live VMs without waiting for a gossip
   round. Blocked requests and recent suspects are repeated to some VMs at a time, so that
   a VM that started, was cut off or lost a message learns of them. The cost depends on
   the number of crashes, not of requests. */
#include "forward/crash_suspects.h"
#include "forward/mesh_private.h"

#define FLUSH_DELAY_MS 2 /* changes within this time are sent in one message */
/* Bandwidth limit of one VM, independent of the number of VMs, and the number of bytes up
   to which unspent bandwidth accumulates. */
#define BYTES_PER_S        8000
#define BUDGET_MAX_BYTES   64000
#define REPEAT_INTERVAL_MS 500
#define REPEAT_VMS         3u
/* Facts of requests that are not blocked are repeated for this long. */
#define REPEAT_SUSPECTS_MS 10000u

/* The facts to be repeated that follow a position in the table. */
struct selection
{
  guint skip;
  struct kcp_mesh_suspects *message;
};

static void add_fact (struct kcp_mesh *mesh, uint64_t fingerprint);
static void flush (void *user);
static guint send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_suspects *message,
                               guint max_vms);
static void repeat (void *user);
static void select_fact (void *user, const struct kcp_quarantine_fact *fact);

/* Starts to repeat suspects to other VMs. */
void
kcp_mesh_start_suspects (struct kcp_mesh *mesh)
{
  mesh->suspects.changed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  mesh->suspects.budget.bytes = BUDGET_MAX_BYTES;
  mesh->suspects.budget.refilled_ns = kcp_loop_now (mesh->gateway->loop);
  repeat (mesh);
}

/* Cancels the timers and frees the pending changes. */
void
kcp_mesh_stop_suspects (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->suspects.flush_timer);
  kcp_loop_timer_cancel (&mesh->suspects.repeat_timer);
  g_clear_pointer (&mesh->suspects.changed, g_array_unref);
}

/* Announces that the state of a suspect has changed. mesh may be NULL; then nothing is
   sent. */
void
kcp_mesh_announce_suspect (struct kcp_mesh *mesh, uint64_t fingerprint)
{
  struct kcp_loop *loop;

  if (mesh == NULL)
    return;
  if (mesh->suspects.changed->len == KCP_MESH_SUSPECTS_MAX)
    flush (mesh);
  add_fact (mesh, fingerprint);
  loop = mesh->gateway->loop;
  if (mesh->suspects.changed->len == 1)
    kcp_loop_timer_set (loop, &mesh->suspects.flush_timer,
                        kcp_loop_now (loop) + FLUSH_DELAY_MS * KCP_NS_PER_MS, flush,
                        mesh);
}

/* Applies the facts from another VM. Facts from an unknown VM are dropped. */
void
kcp_mesh_apply_suspects (struct kcp_mesh *mesh, const struct kcp_mesh_suspects *message)
{
  if (kcp_mesh_find_peer (mesh, message->vm) == NULL)
    return;
  for (guint i = 0; i < message->facts->len; i++)
    kcp_crash_suspects_merge (
        mesh->gateway, &g_array_index (message->facts, struct kcp_quarantine_fact, i));
}

static void
add_fact (struct kcp_mesh *mesh, uint64_t fingerprint)
{
  const GArray *changed = mesh->suspects.changed;

  for (guint i = 0; i < changed->len; i++)
    if (g_array_index (changed, uint64_t, i) == fingerprint)
      return;
  g_array_append_val (mesh->suspects.changed, fingerprint);
}

/* Sends the current facts of the changed suspects to all live VMs. */
static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;
  GArray *changed = mesh->suspects.changed;
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  struct kcp_mesh_suspects message;

  kcp_loop_timer_cancel (&mesh->suspects.flush_timer);
  kcp_mesh_suspects_init (&message);
  for (guint i = 0; i < changed->len; i++)
    {
      struct kcp_quarantine_fact fact;

      if (kcp_quarantine_get_fact (mesh->gateway->quarantine,
                                   g_array_index (changed, uint64_t, i), now, &fact))
        g_array_append_val (message.facts, fact);
    }
  g_array_set_size (changed, 0);
  (void)send_round_robin (mesh, &message, mesh->peers->len);
  kcp_mesh_suspects_clear (&message);
}

/* Sends a message to at most max_vms live VMs in round-robin order, as far as the budget
   allows. Returns the number of VMs. */
static guint
send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_suspects *message, guint max_vms)
{
  struct kcp_mesh_budget *budget = &mesh->suspects.budget;
  guint count = mesh->peers->len;
  guint sent = 0;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  if (message->facts->len == 0)
    return 0;
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_suspects_encode (message, bytes, sizeof bytes);
  kcp_mesh_refill_budget (budget, kcp_loop_now (mesh->gateway->loop), BYTES_PER_S,
                          BUDGET_MAX_BYTES);
  for (guint i = 0; i < count && sent < max_vms && datagram.len > 0
                    && budget->bytes >= (int64_t)datagram.len;
       i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, budget->next_peer % count);

      budget->next_peer = (budget->next_peer + 1) % count;
      if (!peer->alive)
        continue;
      kcp_mesh_send (mesh, peer, datagram);
      budget->bytes -= (int64_t)datagram.len;
      sent++;
    }
  return sent;
}

/* Repeats some of the facts to some of the VMs, and sets the timer for the next time. */
static void
repeat (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_loop *loop = mesh->gateway->loop;
  struct kcp_mesh_suspects message;
  struct selection selection
      = { .skip = mesh->suspects.repeat_position, .message = &message };

  kcp_mesh_suspects_init (&message);
  kcp_quarantine_visit (mesh->gateway->quarantine, kcp_loop_now (loop), select_fact,
                        &selection);
  mesh->suspects.repeat_position
      = message.facts->len < KCP_MESH_SUSPECTS_MAX
            ? 0
            : mesh->suspects.repeat_position + KCP_MESH_SUSPECTS_MAX;
  (void)send_round_robin (mesh, &message, REPEAT_VMS);
  kcp_mesh_suspects_clear (&message);
  kcp_loop_timer_set (loop, &mesh->suspects.repeat_timer,
                      kcp_loop_now (loop) + REPEAT_INTERVAL_MS * KCP_NS_PER_MS, repeat,
                      mesh);
}

static void
select_fact (void *user, const struct kcp_quarantine_fact *fact)
{
  struct selection *selection = user;
  GArray *facts = selection->message->facts;

  if (kcp_quarantine_rank_state (fact->rank) != KCP_QUARANTINE_BLOCKED
      && fact->first_age_ms > REPEAT_SUSPECTS_MS)
    return;
  if (selection->skip > 0)
    selection->skip--;
  else if (facts->len < KCP_MESH_SUSPECTS_MAX)
    g_array_append_val (facts, *fact);
}
