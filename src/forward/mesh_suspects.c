/* Suspects messages: requests and parts of prompts that were in flight at servers that
   crashed, and those that were cleared since. A change is sent to all live VMs without
   waiting for a gossip round. Blocked requests and recent suspects are repeated to some
   VMs at a time, so that a VM that started, was cut off or lost a message learns of them.
   Parts go first: they are few, and one concerns many requests. The cost depends on the
   number of crashes, not of requests. */
#include "base/decision_log.h"
#include "forward/crash_suspects.h"
#include "forward/mesh_private.h"

#define FLUSH_DELAY_MS 2 /* changes within this time are sent in one message */
/* Bandwidth limit of one VM, independent of the number of VMs, and the number of bytes up
   to which unspent bandwidth accumulates. */
#define BYTES_PER_S        8000
#define BUDGET_MAX_BYTES   64000
#define REPEAT_INTERVAL_MS 500
#define REPEAT_VMS         3u
/* Facts of suspects that are not blocked are repeated for this long after their latest
   incident. */
#define REPEAT_SUSPECTS_MS 10000u

/* The kinds in the order in which they are sent. */
static const enum kcp_suspect_kind kinds[KCP_SUSPECT_KINDS]
    = { KCP_SUSPECT_PART, KCP_SUSPECT_REQUEST };

/* The facts to be repeated that follow a position in the table. */
struct selection
{
  guint skip;
  struct kcp_mesh_suspects *message;
};

static void add_suspect (struct kcp_mesh *mesh, struct kcp_suspect suspect);
static void flush (void *user);
static void send_changed (struct kcp_mesh *mesh, enum kcp_suspect_kind kind);
static void log_unsent (const struct kcp_mesh_suspects *message, guint vms, guint sent);
static guint send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_suspects *message,
                               guint max_vms);
static void repeat (void *user);
static void repeat_kind (struct kcp_mesh *mesh, enum kcp_suspect_kind kind);
static void select_fact (void *user, const struct kcp_quarantine_fact *fact);

/* Starts to repeat suspects to other VMs. */
void
kcp_mesh_start_suspects (struct kcp_mesh *mesh)
{
  mesh->suspects.changed = g_array_new (FALSE, FALSE, sizeof (struct kcp_suspect));
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
kcp_mesh_announce_suspect (struct kcp_mesh *mesh, struct kcp_suspect suspect)
{
  struct kcp_loop *loop;

  if (mesh == NULL)
    return;
  if (mesh->suspects.changed->len == KCP_MESH_SUSPECTS_MAX)
    flush (mesh);
  add_suspect (mesh, suspect);
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
        mesh->gateway, message->kind,
        &g_array_index (message->facts, struct kcp_quarantine_fact, i));
}

static void
add_suspect (struct kcp_mesh *mesh, struct kcp_suspect suspect)
{
  const GArray *changed = mesh->suspects.changed;

  for (guint i = 0; i < changed->len; i++)
    {
      const struct kcp_suspect *known = &g_array_index (changed, struct kcp_suspect, i);

      if (known->kind == suspect.kind && known->fingerprint == suspect.fingerprint)
        return;
    }
  g_array_append_val (mesh->suspects.changed, suspect);
}

/* Sends the current facts of the changed suspects to all live VMs. */
static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;

  kcp_loop_timer_cancel (&mesh->suspects.flush_timer);
  for (unsigned i = 0; i < KCP_SUSPECT_KINDS; i++)
    send_changed (mesh, kinds[i]);
  g_array_set_size (mesh->suspects.changed, 0);
}

static void
send_changed (struct kcp_mesh *mesh, enum kcp_suspect_kind kind)
{
  const GArray *changed = mesh->suspects.changed;
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  struct kcp_mesh_suspects message;

  kcp_mesh_suspects_init (&message, kind);
  for (guint i = 0; i < changed->len; i++)
    {
      const struct kcp_suspect *suspect = &g_array_index (changed, struct kcp_suspect, i);
      struct kcp_quarantine_fact fact;

      if (suspect->kind == kind
          && kcp_quarantine_get_fact (mesh->gateway->quarantines[kind],
                                      suspect->fingerprint, now, &fact))
        g_array_append_val (message.facts, fact);
    }
  log_unsent (&message, mesh->peers->len,
              send_round_robin (mesh, &message, mesh->peers->len));
  kcp_mesh_suspects_clear (&message);
}

/* Logs that a message went to fewer VMs than are known. */
static void
log_unsent (const struct kcp_mesh_suspects *message, guint vms, guint sent)
{
  if (message->facts->len > 0 && sent < vms)
    KCP_LOG ("suspects_unsent",
             KCP_LOG_TEXT ("kind", kcp_suspect_kind_name (message->kind)),
             KCP_LOG_INT ("facts", message->facts->len), KCP_LOG_INT ("vms", vms),
             KCP_LOG_INT ("sent", sent));
}

/* Sends a message to at most max_vms live VMs in round-robin order, as far as the budget
   allows. Returns the number of VMs. */
static guint
send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_suspects *message, guint max_vms)
{
  struct kcp_mesh_budget *budget = &mesh->suspects.budget;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  if (message->facts->len == 0)
    return 0;
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_suspects_encode (message, bytes, sizeof bytes);
  kcp_mesh_refill_budget (budget, kcp_loop_now (mesh->gateway->loop), BYTES_PER_S,
                          BUDGET_MAX_BYTES);
  return kcp_mesh_send_round_robin (mesh, budget, datagram, max_vms);
}

/* Repeats some of the facts to some of the VMs, and sets the timer for the next time. */
static void
repeat (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_loop *loop = mesh->gateway->loop;

  for (unsigned i = 0; i < KCP_SUSPECT_KINDS; i++)
    repeat_kind (mesh, kinds[i]);
  kcp_loop_timer_set (loop, &mesh->suspects.repeat_timer,
                      kcp_loop_now (loop) + REPEAT_INTERVAL_MS * KCP_NS_PER_MS, repeat,
                      mesh);
}

static void
repeat_kind (struct kcp_mesh *mesh, enum kcp_suspect_kind kind)
{
  guint *position = &mesh->suspects.repeat_positions[kind];
  struct kcp_mesh_suspects message;
  struct selection selection = { .skip = *position, .message = &message };

  kcp_mesh_suspects_init (&message, kind);
  kcp_quarantine_visit (mesh->gateway->quarantines[kind],
                        kcp_loop_now (mesh->gateway->loop), select_fact, &selection);
  *position = message.facts->len < KCP_MESH_SUSPECTS_MAX
                  ? 0
                  : *position + KCP_MESH_SUSPECTS_MAX;
  (void)send_round_robin (mesh, &message, REPEAT_VMS);
  kcp_mesh_suspects_clear (&message);
}

static void
select_fact (void *user, const struct kcp_quarantine_fact *fact)
{
  struct selection *selection = user;
  GArray *facts = selection->message->facts;

  if (kcp_quarantine_rank_state (fact->rank) != KCP_QUARANTINE_BLOCKED
      && fact->incident_age_ms > REPEAT_SUSPECTS_MS)
    return;
  if (selection->skip > 0)
    selection->skip--;
  else if (facts->len < KCP_MESH_SUSPECTS_MAX)
    g_array_append_val (facts, *fact);
}
