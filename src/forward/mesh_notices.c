/* Notices messages: what servers say of the requests that they take. A change is sent to
   all live VMs without waiting for a gossip round. What holds is repeated to some VMs at
   a time, so that a VM that started, was cut off or lost a message learns of it. When no
   server says anything, nothing is sent. */
#include "forward/mesh_private.h"

#define FLUSH_DELAY_MS 2 /* changes within this time are sent in one message */
/* Bandwidth limit of one VM, independent of the number of VMs, and the number of bytes up
   to which unspent bandwidth accumulates. */
#define BYTES_PER_S        4000
#define BUDGET_MAX_BYTES   32000
#define REPEAT_INTERVAL_MS 250
#define REPEAT_VMS         2u

static void flush (void *user);
static void
send_notices (struct kcp_mesh *mesh, struct kcp_mesh_notices *message, guint max_vms);
static void refill_budget (struct kcp_mesh *mesh);
static void start_repeating (struct kcp_mesh *mesh);
static void set_repeat_timer (struct kcp_mesh *mesh);
static void repeat (void *user);
static void add_known (struct kcp_mesh *mesh, const struct kcp_server *server,
                       struct kcp_mesh_notices *message);

/* Initializes the state of the notices. */
void
kcp_mesh_start_notices (struct kcp_mesh *mesh)
{
  kcp_mesh_notices_init (&mesh->notices.changed);
  mesh->notices.budget.bytes = BUDGET_MAX_BYTES;
  mesh->notices.budget.refilled_ns = kcp_loop_now (mesh->gateway->loop);
}

/* Cancels the timers and frees the pending changes. */
void
kcp_mesh_stop_notices (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->notices.flush_timer);
  kcp_loop_timer_cancel (&mesh->notices.repeat_timer);
  kcp_loop_timer_cancel (&mesh->notices.exchange_timer);
  kcp_mesh_notices_clear (&mesh->notices.changed);
}

/* Announces that what is known of a server has changed. mesh may be NULL; then nothing is
   sent. */
void
kcp_mesh_announce_notice (struct kcp_mesh *mesh, const struct kcp_server *server,
                          enum kcp_notice_kind kind)
{
  struct kcp_server_notice notice;
  struct kcp_loop *loop;

  if (mesh == NULL || !kcp_server_notices_read (mesh->gateway, server, kind, &notice))
    return;
  if (mesh->notices.changed.notices->len == KCP_MESH_NOTICES_MAX)
    flush (mesh);
  g_array_append_val (mesh->notices.changed.notices, notice);
  loop = mesh->gateway->loop;
  if (mesh->notices.changed.notices->len == 1)
    kcp_loop_timer_set (loop, &mesh->notices.flush_timer,
                        kcp_loop_now (loop) + FLUSH_DELAY_MS * KCP_NS_PER_MS, flush,
                        mesh);
  start_repeating (mesh);
}

/* Applies the notices from another VM. Those from an unknown VM are dropped. */
void
kcp_mesh_apply_notices (struct kcp_mesh *mesh, const struct kcp_mesh_notices *message)
{
  const struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, message->vm);

  if (peer == NULL)
    return;
  for (guint i = 0; i < message->notices->len; i++)
    kcp_server_notices_apply (
        mesh->gateway, &g_array_index (message->notices, struct kcp_server_notice, i));
  start_repeating (mesh);
}

/* Has what is known repeated from now on. */
static void
start_repeating (struct kcp_mesh *mesh)
{
  if (mesh->notices.repeating)
    return;
  mesh->notices.repeating = true;
  set_repeat_timer (mesh);
}

static void
set_repeat_timer (struct kcp_mesh *mesh)
{
  struct kcp_loop *loop = mesh->gateway->loop;

  kcp_loop_timer_set (loop, &mesh->notices.repeat_timer,
                      kcp_loop_now (loop) + REPEAT_INTERVAL_MS * KCP_NS_PER_MS, repeat,
                      mesh);
}

static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;

  kcp_loop_timer_cancel (&mesh->notices.flush_timer);
  send_notices (mesh, &mesh->notices.changed, mesh->peers->len);
  g_array_set_size (mesh->notices.changed.notices, 0);
}

/* Sends a message to at most max_vms live VMs, as far as the budget allows. */
static void
send_notices (struct kcp_mesh *mesh, struct kcp_mesh_notices *message, guint max_vms)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  if (message->notices->len == 0)
    return;
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_notices_encode (message, bytes, sizeof bytes);
  refill_budget (mesh);
  (void)kcp_mesh_send_round_robin (mesh, &mesh->notices.budget, datagram, max_vms);
}

static void
refill_budget (struct kcp_mesh *mesh)
{
  kcp_mesh_refill_budget (&mesh->notices.budget, kcp_loop_now (mesh->gateway->loop),
                          BYTES_PER_S, BUDGET_MAX_BYTES);
}

/* Sends a datagram to one VM if the budget of the notices allows it, and returns whether
   it does. */
bool
kcp_mesh_send_notice (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                      struct kcp_str datagram)
{
  refill_budget (mesh);
  if (mesh->notices.budget.bytes < (int64_t)datagram.len)
    return false;
  kcp_mesh_send (mesh, peer, datagram);
  mesh->notices.budget.bytes -= (int64_t)datagram.len;
  return true;
}

/* Exchanges needs, repeats what holds to some of the VMs, and sets the timer for the next
   time unless nothing holds any more. */
static void
repeat (void *user)
{
  struct kcp_mesh *mesh = user;
  const GPtrArray *servers = kcp_servers_all (mesh->gateway->servers);
  struct kcp_mesh_notices message;

  kcp_mesh_exchange_needs (mesh);
  kcp_mesh_notices_init (&message);
  for (guint i = 0; i < servers->len; i++)
    add_known (
        mesh, g_ptr_array_index (servers, (i + mesh->notices.next_server) % servers->len),
        &message);
  mesh->notices.next_server += KCP_MESH_NOTICES_MAX;
  send_notices (mesh, &message, REPEAT_VMS);
  mesh->notices.repeating = message.notices->len > 0;
  if (mesh->notices.repeating)
    set_repeat_timer (mesh);
  kcp_mesh_notices_clear (&message);
}

/* Adds what this VM knows of a server, as far as there is room in the message. */
static void
add_known (struct kcp_mesh *mesh, const struct kcp_server *server,
           struct kcp_mesh_notices *message)
{
  struct kcp_server_notice notice;

  for (unsigned kind = 0; kind < KCP_NOTICE_KINDS; kind++)
    if (message->notices->len < KCP_MESH_NOTICES_MAX
        && kcp_server_notices_read (mesh->gateway, server, (enum kcp_notice_kind)kind,
                                    &notice))
      g_array_append_val (message->notices, notice);
}
