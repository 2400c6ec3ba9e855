/* The list of VMs in the platform's store, through which a starting VM finds others. */
#include <jansson.h>
#include <stdlib.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/mesh_private.h"

/* Delay after a failed call; a random delay of up to the same length is added. */
#define LIST_RETRY_MS     500
#define FIELD_DATA_CENTER "data_center" /* of a VM's entry */
#define ERA_MAX_DELAY_MS  1000          /* before this VM adds itself after a new era */

static void on_registered (void *user, const struct kcp_store_answer *answer);
static void read_list (struct kcp_mesh *mesh, const char *after);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void add_listed (struct kcp_mesh *mesh, const char *vm, struct kcp_str value);
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
  json_t *entry;
  char *value;

  if (mesh->registered)
    {
      read_list (mesh, NULL);
      return;
    }
  entry = json_pack ("{s:s}", FIELD_DATA_CENTER, mesh->gateway->settings->vm_data_center);
  value = json_dumps (entry, JSON_COMPACT);
  json_decref (entry);
  store->append (store->self, KCP_STORE_VMS, KCP_STORE_UNCONDITIONAL,
                 kcp_str_from_c (mesh->own), kcp_str_from_c (value), on_registered, mesh);
  free (value);
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
        add_listed (mesh, last, record->value);
    }
  if (answer->more && last != NULL)
    {
      read_list (mesh, last);
      return;
    }
  mesh->listed = true;
  KCP_LOG ("vms_listed", KCP_LOG_INT ("others", mesh->peers->len));
}

/* Adds a VM of the list. An entry that names no data center is one of an older version:
   the VM counts as remote until it is heard of. */
static void
add_listed (struct kcp_mesh *mesh, const char *vm, struct kcp_str value)
{
  struct kcp_mesh_peer *peer = kcp_mesh_add_peer (mesh, vm);
  json_t *entry = json_loadb (value.data, value.len, JSON_REJECT_DUPLICATES, NULL);
  const char *dc = json_string_value (json_object_get (entry, FIELD_DATA_CENTER));

  if (peer != NULL && dc != NULL)
    g_strlcpy (peer->data_center, dc, sizeof peer->data_center);
  json_decref (entry);
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
