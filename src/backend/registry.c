#include "backend/registry.h"

#include <pthread.h>
#include <string.h>

struct kcp_registry
{
  pthread_mutex_t lock;
  const struct kcp_clock *clock;
  GHashTable *by_id; /* id -> struct kcp_backend */
  kcp_registry_observer *observer;
  void *user;
};

static void backend_release (gpointer data);
static void view_clear (gpointer data);
static void notify_observer (struct kcp_registry *registry);
static bool
matches_member (const struct kcp_backend *backend, const struct kcp_member *member);

/* Creates an empty registry. The clock must outlive it. */
struct kcp_registry *
kcp_registry_new (const struct kcp_clock *clock)
{
  struct kcp_registry *registry = g_new0 (struct kcp_registry, 1);

  pthread_mutex_init (&registry->lock, NULL);
  registry->clock = clock;
  registry->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, backend_release);
  return registry;
}

/* Frees the registry. NULL is allowed. */
void
kcp_registry_free (struct kcp_registry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_unref (registry->by_id);
  pthread_mutex_destroy (&registry->lock);
  g_free (registry);
}

/* Sets the observer. Must be called before other threads use the registry. */
void
kcp_registry_set_observer (struct kcp_registry *registry, kcp_registry_observer *observer,
                           void *user)
{
  registry->observer = observer;
  registry->user = user;
}

/* Replaces the table with the servers on the platform's VM list. Servers whose attributes
   have not changed keep their state and report. A leaving server becomes live again only
   when the list no longer marks it as leaving. */
void
kcp_registry_apply_list (struct kcp_registry *registry, const struct kcp_vm_list *list)
{
  GHashTable *updated
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, backend_release);
  GHashTable *old;

  pthread_mutex_lock (&registry->lock);
  for (guint i = 0; i < list->members->len; i++)
    {
      const struct kcp_member *member = g_ptr_array_index (list->members, i);
      struct kcp_backend *backend = g_hash_table_lookup (registry->by_id, member->id);

      if (member->kind == KCP_MEMBER_ENTRY)
        continue;
      if (backend != NULL && matches_member (backend, member))
        kcp_backend_ref (backend);
      else
        backend = kcp_backend_new (member);
      if (member->leaving)
        backend->state = KCP_BACKEND_LEAVING;
      else if (backend->state == KCP_BACKEND_LEAVING)
        backend->state = KCP_BACKEND_LIVE;
      g_hash_table_replace (updated, backend->id, backend);
    }
  old = registry->by_id;
  registry->by_id = updated;
  pthread_mutex_unlock (&registry->lock);
  g_hash_table_unref (old);
}

/* Records a load report. A server that was presumed dead becomes live. */
void
kcp_registry_record_report (struct kcp_registry *registry, struct kcp_backend *backend,
                            const struct kcp_backend_report *report)
{
  pthread_mutex_lock (&registry->lock);
  backend->report = *report;
  backend->report.arrived_ns = kcp_clock_monotonic_ns (registry->clock);
  backend->sent_tokens = 0;
  backend->net_attempts_since_report = 0;
  if (backend->state == KCP_BACKEND_DEAD)
    backend->state = KCP_BACKEND_LIVE;
  pthread_mutex_unlock (&registry->lock);
  notify_observer (registry);
}

/* Copies the last load report of a server. All members are 0 before the first report. */
void
kcp_registry_copy_report (struct kcp_registry *registry,
                          const struct kcp_backend *backend,
                          struct kcp_backend_report *report)
{
  pthread_mutex_lock (&registry->lock);
  *report = backend->report;
  pthread_mutex_unlock (&registry->lock);
}

/* Sets the state of a server, unless the server is leaving. */
void
kcp_registry_set_state (struct kcp_registry *registry, struct kcp_backend *backend,
                        enum kcp_backend_state state)
{
  pthread_mutex_lock (&registry->lock);
  if (backend->state != KCP_BACKEND_LEAVING)
    backend->state = state;
  pthread_mutex_unlock (&registry->lock);
}

/* Records that an attempt is about to be sent, with uncached_tokens prompt tokens that
   the server is not expected to have cached. */
void
kcp_registry_begin_attempt (struct kcp_registry *registry, struct kcp_backend *backend,
                            int64_t uncached_tokens)
{
  pthread_mutex_lock (&registry->lock);
  backend->in_flight++;
  backend->net_attempts_since_report++;
  backend->sent_tokens += uncached_tokens;
  pthread_mutex_unlock (&registry->lock);
}

/* Records the end of an attempt. */
void
kcp_registry_end_attempt (struct kcp_registry *registry, struct kcp_backend *backend)
{
  pthread_mutex_lock (&registry->lock);
  backend->in_flight--;
  backend->net_attempts_since_report--;
  pthread_mutex_unlock (&registry->lock);
  notify_observer (registry);
}

/* Returns an array of struct kcp_backend_view for all servers of one kind, to be freed
   with g_array_unref(). */
GArray *
kcp_registry_view (struct kcp_registry *registry, enum kcp_member_kind kind)
{
  GArray *views = g_array_new (FALSE, TRUE, sizeof (struct kcp_backend_view));
  GHashTableIter iter;
  gpointer value;

  g_array_set_clear_func (views, view_clear);
  pthread_mutex_lock (&registry->lock);
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct kcp_backend *backend = value;
      struct kcp_backend_view view = {
        .backend = backend,
        .state = backend->state,
        .report = backend->report,
        .in_flight = backend->in_flight,
        .sent_tokens = backend->sent_tokens,
        .net_attempts_since_report = backend->net_attempts_since_report,
      };

      if (backend->kind != kind)
        continue;
      kcp_backend_ref (backend);
      g_array_append_val (views, view);
    }
  pthread_mutex_unlock (&registry->lock);
  return views;
}

/* Returns all servers as a new JSON array, for the admin API. */
json_t *
kcp_registry_to_json (struct kcp_registry *registry)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&registry->lock);
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct kcp_backend *backend = value;

      json_array_append_new (
          list,
          json_pack ("{ssssssssssssss*sIsI}", "id", backend->id, "url", backend->url,
                     "data_center", g_quark_to_string (backend->data_center), "state",
                     kcp_backend_state_name (backend->state), "incarnation",
                     backend->report.incarnation, "weights", backend->report.weights,
                     "model", backend->model, "in_flight", (json_int_t)backend->in_flight,
                     "waiting", (json_int_t)backend->report.waiting));
    }
  pthread_mutex_unlock (&registry->lock);
  return list;
}

/* Returns the names of the models that live engines serve, as a new JSON array. */
json_t *
kcp_registry_models (struct kcp_registry *registry)
{
  json_t *names = json_object ();
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  const char *name;
  json_t *member;

  pthread_mutex_lock (&registry->lock);
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct kcp_backend *backend = value;

      if (backend->kind == KCP_MEMBER_ENGINE && backend->model != NULL
          && backend->state == KCP_BACKEND_LIVE)
        json_object_set_new (names, backend->model, json_true ());
    }
  pthread_mutex_unlock (&registry->lock);
  json_object_foreach (names, name, member)
      json_array_append_new (list, json_string (name));
  json_decref (names);
  return list;
}

static void
notify_observer (struct kcp_registry *registry)
{
  if (registry->observer != NULL)
    registry->observer (registry->user);
}

static void
backend_release (gpointer data)
{
  kcp_backend_unref (data);
}

static void
view_clear (gpointer data)
{
  struct kcp_backend_view *view = data;

  kcp_backend_unref (view->backend);
}

static bool
matches_member (const struct kcp_backend *backend, const struct kcp_member *member)
{
  g_autofree char *url = g_strdup_printf ("http://%s:%d", member->address, member->port);

  return backend->kind == member->kind && strcmp (backend->url, url) == 0
         && backend->data_center == member->data_center
         && g_strcmp0 (backend->model, member->model) == 0
         && g_strcmp0 (backend->service, member->service) == 0;
}
