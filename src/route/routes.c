#include "route/routes.h"

#include <string.h>
#include <xxhash.h>

#include "base/ref.h"

static void routes_clear (void *object);
static void route_free (gpointer data);
static void team_free (gpointer data);
static void service_free (gpointer data);
static void target_clear (gpointer data);
static struct kcp_str host_without_port (struct kcp_str host);

/* Creates an empty document of the given version with one reference. */
struct kcp_routes *
kcp_routes_new (int64_t version)
{
  struct kcp_routes *routes = kcp_ref_new (sizeof *routes);

  routes->version = version;
  routes->routes = g_ptr_array_new_with_free_func (route_free);
  routes->teams = g_ptr_array_new_with_free_func (team_free);
  routes->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  routes->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  routes->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  return routes;
}

/* Acquires a reference. */
struct kcp_routes *
kcp_routes_ref (struct kcp_routes *routes)
{
  return kcp_ref_acquire (routes);
}

/* Releases a reference. NULL is allowed. */
void
kcp_routes_unref (struct kcp_routes *routes)
{
  if (routes != NULL)
    kcp_ref_release (routes, routes_clear);
}

/* Adds a route and returns it. The caller sets its strings, which the document owns. */
struct kcp_route *
kcp_routes_add_route (struct kcp_routes *routes)
{
  struct kcp_route *route = g_new0 (struct kcp_route, 1);

  route->targets = g_array_new (FALSE, TRUE, sizeof (struct kcp_target));
  g_array_set_clear_func (route->targets, target_clear);
  g_ptr_array_add (routes->routes, route);
  return route;
}

/* Adds a service that receives a share of the route's requests in proportion to its
   weight. */
void
kcp_routes_add_target (struct kcp_route *route, const char *service, int64_t weight)
{
  struct kcp_target target = { .service = g_strdup (service), .weight = weight };

  g_array_append_val (route->targets, target);
}

/* Adds a team without keys and returns it. */
struct kcp_team_access *
kcp_routes_add_team (struct kcp_routes *routes, const char *name)
{
  struct kcp_team_access *team = g_new0 (struct kcp_team_access, 1);

  team->name = g_strdup (name);
  team->priority = KCP_PRIORITY_NONE;
  g_ptr_array_add (routes->teams, team);
  g_hash_table_insert (routes->by_name, team->name, team);
  return team;
}

/* Makes a team of the document isolated: it shares no cached parts with others. */
void
kcp_routes_isolate (struct kcp_routes *routes, struct kcp_team_access *team)
{
  team->isolated = true;
  routes->isolated_digest += XXH3_64bits (team->name, strlen (team->name));
}

/* Returns true if the team of this name must not share cached parts with others: it is
   isolated, or the document does not have it. */
bool
kcp_routes_isolates (const struct kcp_routes *routes, const char *team)
{
  const struct kcp_team_access *found = g_hash_table_lookup (routes->by_name, team);

  return found == NULL || found->isolated;
}

/* Returns the team of this name, or NULL. */
const struct kcp_team_access *
kcp_routes_team_named (const struct kcp_routes *routes, const char *name)
{
  return g_hash_table_lookup (routes->by_name, name);
}

/* Associates a key with a team of the same document. */
void
kcp_routes_add_key (struct kcp_routes *routes, struct kcp_team_access *team,
                    const char *key)
{
  g_hash_table_insert (routes->keys, g_strdup (key), team);
}

/* Adds a service and returns it. The caller sets its other members. */
struct kcp_service_info *
kcp_routes_add_service (struct kcp_routes *routes, const char *name)
{
  struct kcp_service_info *service = g_new0 (struct kcp_service_info, 1);

  service->name = g_strdup (name);
  g_hash_table_insert (routes->services, service->name, service);
  return service;
}

/* Returns the route of the host with the longest path prefix that matches the path, or
   NULL. A port in host is ignored. */
const struct kcp_route *
kcp_routes_find (const struct kcp_routes *routes, struct kcp_str host,
                 struct kcp_str path)
{
  const struct kcp_route *best = NULL;
  size_t best_len = 0;

  host = host_without_port (host);
  for (guint i = 0; i < routes->routes->len; i++)
    {
      const struct kcp_route *route = g_ptr_array_index (routes->routes, i);
      struct kcp_str prefix = kcp_str_from_c (route->path_prefix);

      if (prefix.len < best_len || !kcp_str_has_prefix (path, prefix))
        continue;
      if (strlen (route->host) != host.len
          || g_ascii_strncasecmp (route->host, host.data, host.len) != 0)
        continue;
      best = route;
      best_len = prefix.len;
    }
  return best;
}

/* Returns the team to which the key belongs, or NULL. */
const struct kcp_team_access *
kcp_routes_team (const struct kcp_routes *routes, struct kcp_str key)
{
  g_autofree char *text = kcp_str_dup (key);

  return g_hash_table_lookup (routes->keys, text);
}

/* Returns the route's own text of the service's name, or NULL if the route has no such
   service. name may be NULL. */
const char *
kcp_route_service_named (const struct kcp_route *route, const char *name)
{
  for (guint i = 0; name != NULL && i < route->targets->len; i++)
    {
      const char *service = g_array_index (route->targets, struct kcp_target, i).service;

      if (strcmp (service, name) == 0)
        return service;
    }
  return NULL;
}

/* Returns one of the route's services, selected by weight. random_value is a uniform
   random number. */
const char *
kcp_route_target (const struct kcp_route *route, uint64_t random_value)
{
  int64_t total = 0;
  int64_t at;

  for (guint i = 0; i < route->targets->len; i++)
    total += g_array_index (route->targets, struct kcp_target, i).weight;
  at = total > 0 ? (int64_t)(random_value % (uint64_t)total) : 0;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const struct kcp_target *target
          = &g_array_index (route->targets, struct kcp_target, i);

      if (at < target->weight || i + 1 == route->targets->len)
        return target->service;
      at -= target->weight;
    }
  return NULL;
}

static struct kcp_str
host_without_port (struct kcp_str host)
{
  for (size_t i = host.len; i > 0; i--)
    if (host.data[i - 1] == ':')
      return (struct kcp_str){ .data = host.data, .len = i - 1 };
  return host;
}

static void
routes_clear (void *object)
{
  struct kcp_routes *routes = object;

  g_ptr_array_unref (routes->routes);
  g_hash_table_unref (routes->keys);
  g_hash_table_unref (routes->by_name);
  g_ptr_array_unref (routes->teams);
  g_hash_table_unref (routes->services);
}

static void
route_free (gpointer data)
{
  struct kcp_route *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->path_prefix);
  g_array_unref (route->targets);
  g_free (route);
}

static void
team_free (gpointer data)
{
  struct kcp_team_access *team = data;

  g_free (team->name);
  g_free (team);
}

static void
service_free (gpointer data)
{
  struct kcp_service_info *service = data;

  g_free (service->name);
  g_free (service->cache_store);
  g_free (service->cache_store_dc);
  g_free (service);
}

static void
target_clear (gpointer data)
{
  struct kcp_target *target = data;

  g_free (target->service);
}
