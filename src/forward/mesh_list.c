/* The list of VMs in the platform's store, through which a starting VM finds others. */
#include "base/decision_log.h"
#include "base/id.h"
#include "forward/mesh_private.h"

/* Delay after a failed call; a random delay of up to the same length is added. */
#define LIST_RETRY_MS    500
#define ERA_MAX_DELAY_MS 1000 /* before this VM adds itself after a new era */

static void on_registered (void *user, const struct kcp_store_answer *answer);
static void read_list (struct kcp_mesh *mesh, const char *after);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void retry_list (struct kcp_mesh *mesh);
static void schedule_list (struct kcp_mesh *mesh, int64_t wait_ms);

/* Adds this VM to the list in the store, unless it has already been added, and then reads
   the list. In this order, at least one of two VMs that start at the same time finds the
   other in the list; the other learns of it from its messages. */
void
kcp_mesh_register (void *user)
{
  struct kcp_mesh *mesh = user;
  const struct kcp_store *store = mesh->store;

  if (mesh->registered)
    {
      read_list (mesh, NULL);
      return;
    }
  store->append (store->self, KCP_STORE_VMS, KCP_STORE_UNCONDITIONAL,
                 kcp_str_from_c (mesh->own), KCP_STR ("{}"), on_registered, mesh);
}

static void
on_registered (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_mesh *mesh = user;

  if (answer->end != KCP_STORE_DONE)
    {
      retry_list (mesh);
      return;
    }
  mesh->registered = true;
  read_list (mesh, NULL);
}

static void
read_list (struct kcp_mesh *mesh, const char *after)
{
  mesh->store->list (mesh->store->self, KCP_STORE_VMS, after, on_listed, mesh);
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_mesh *mesh = user;
  g_autofree char *last = NULL;

  if (answer->end != KCP_STORE_DONE)
    {
      retry_list (mesh);
      return;
    }
  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct kcp_store_record *record
          = &g_array_index (answer->records, struct kcp_store_record, i);

      g_free (last);
      last = kcp_str_dup (record->key);
      if (record->value.len > 0 && kcp_mesh_find_peer (mesh, last) == NULL)
        (void)kcp_mesh_add_peer (mesh, last);
    }
  if (answer->more && last != NULL)
    {
      read_list (mesh, last);
      return;
    }
  KCP_LOG ("vms_listed", KCP_LOG_INT ("others", mesh->peers->len));
}

static void
retry_list (struct kcp_mesh *mesh)
{
  schedule_list (mesh, LIST_RETRY_MS + (int64_t)(kcp_id_random_u64 () % LIST_RETRY_MS));
}

/* Adds this VM to the list again, which may have lost it. All VMs do so, each after a
   random delay. */
void
kcp_mesh_on_new_era (void *user, int64_t era)
{
  struct kcp_mesh *mesh = user;

  (void)era;
  mesh->registered = false;
  schedule_list (mesh, (int64_t)(kcp_id_random_u64 () % ERA_MAX_DELAY_MS));
}

static void
schedule_list (struct kcp_mesh *mesh, int64_t wait_ms)
{
  struct kcp_loop *loop = mesh->gateway->loop;

  kcp_loop_timer_set (loop, &mesh->list_timer,
                      kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS, kcp_mesh_register,
                      mesh);
}
