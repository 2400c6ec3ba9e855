#include "forward/cache_space.h"

#include <string.h>
#include <xxhash.h>

/* Returns the name of the scope in which a team's requests share cached parts, for the
   caller to free. All teams that are not isolated have one scope. Its name depends on
   which teams are isolated: after a change of these, parts that were cached before are
   not found, since a team that is isolated now may have made them. VMs with the same
   isolated teams use the same name. routes is the configuration in force; team is NULL
   for requests without a team. A team that the configuration no longer has counts as
   isolated. */
char *
kcp_cache_scope (const struct kcp_routes *routes, const char *team)
{
  if (routes == NULL)
    return g_strdup ("");
  if (team != NULL && kcp_routes_isolates (routes, team))
    return g_strdup_printf ("t%zu:%s", strlen (team), team);
  if (routes->isolated_digest == 0)
    return g_strdup ("");
  return g_strdup_printf ("s%016" G_GINT64_MODIFIER "x", routes->isolated_digest);
}

/* Returns the name of a scope's cache space at this version of the model's weights, for
   the caller to free. No two spaces have the same name: the version has no slash, the
   length of a scope follows from its beginning, and the model comes last. */
char *
kcp_cache_space_name (const char *model, int64_t version, const char *scope)
{
  return g_strdup_printf ("%" G_GINT64_FORMAT "/%s/%s", version, scope, model);
}

/* Returns a hash of a part within a cache space, which identifies the part in messages
   between VMs. */
uint64_t
kcp_part_key (const char *cache_space, const char *part)
{
  return XXH3_64bits_withSeed (part, strlen (part),
                               XXH3_64bits (cache_space, strlen (cache_space)));
}
