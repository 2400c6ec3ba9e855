#include "backend/backend.h"

#include <string.h>
#include <xxhash.h>

static const char *const state_names[] = {
  [KCP_BACKEND_LIVE] = "live",
  [KCP_BACKEND_LEAVING] = "leaving",
  [KCP_BACKEND_DEAD] = "dead",
};

static void clear (gpointer data);

/* Creates a backend server from an entry of the platform's VM list. */
struct kcp_backend *
kcp_backend_new (const struct kcp_member *member)
{
  struct kcp_backend *backend = g_atomic_rc_box_new0 (struct kcp_backend);

  backend->kind = member->kind;
  backend->id = g_strdup (member->id);
  backend->url = g_strdup_printf ("http://%s:%d", member->address, member->port);
  backend->data_center = member->data_center;
  backend->model = g_strdup (member->model);
  backend->service = g_strdup (member->service);
  backend->checks_fencing = member->checks_fencing;
  backend->hash = XXH3_64bits (member->id, strlen (member->id));
  backend->state = member->leaving ? KCP_BACKEND_LEAVING : KCP_BACKEND_LIVE;
  return backend;
}

/* Acquires a reference. */
struct kcp_backend *
kcp_backend_ref (struct kcp_backend *backend)
{
  return g_atomic_rc_box_acquire (backend);
}

/* Releases a reference. NULL is allowed. */
void
kcp_backend_unref (struct kcp_backend *backend)
{
  if (backend != NULL)
    g_atomic_rc_box_release_full (backend, clear);
}

/* Returns the name of a state as it appears in the admin API. */
const char *
kcp_backend_state_name (enum kcp_backend_state state)
{
  return state_names[state];
}

static void
clear (gpointer data)
{
  struct kcp_backend *backend = data;

  g_free (backend->id);
  g_free (backend->url);
  g_free (backend->model);
  g_free (backend->service);
}
