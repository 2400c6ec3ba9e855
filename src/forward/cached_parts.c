#include "forward/cached_parts.h"

#include <string.h>
#include <xxhash.h>

/* A token that is fetched counts as an eighth of one that is read: less from another
   server, more from the store, whose link all share. */
#define FETCH_SHARE 8
/* What a server's events show lags behind what this VM has sent there. */
#define EVENTS_LAG_NS (1000 * KCP_NS_PER_MS)
/* What a server is told to save is in the store by then, if it was saved. */
#define SAVE_LAG_NS (3 * KCP_NS_PER_S)
/* Events that were read longer ago say nothing. */
#define HELD_STALE_NS (4 * KCP_NS_PER_S)

static bool
believed_at (struct kcp_gateway *gateway, const struct kcp_server *server, uint64_t part);
static const char *
find_holder (struct kcp_gateway *gateway, uint64_t part, const struct kcp_server *chosen);
static bool can_be_fetched (struct kcp_gateway *gateway, const struct kcp_server *server,
                            uint64_t part);
static bool is_elsewhere (struct kcp_gateway *gateway, uint64_t part);
static const struct kcp_server *find_store (const struct kcp_gateway *gateway);
static bool
store_has (struct kcp_gateway *gateway, const struct kcp_server *store, uint64_t part);

/* The last part belongs to one request or session. */
bool
kcp_cached_has_long_part (const struct kcp_inbound *inbound)
{
  return inbound->parts != NULL && inbound->parts->len > 1
         && g_array_index (inbound->parts, struct kcp_prompt_part, 0).tokens
                >= KCP_LONG_PART_TOKENS;
}

/* Requests share cache only under the same weights, and those of an isolated team only
   with each other. */
char *
kcp_cached_space (const struct kcp_choice *choice, int64_t version)
{
  const struct kcp_team_access *team = choice->team;
  bool isolated = team != NULL && team->isolated;

  return g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%s", choice->inbound->model, version,
                          isolated ? team->name : "");
}

/* Returns a hash of a part within a cache space, by which VMs speak of it. */
uint64_t
kcp_part_key (const char *cache_space, const char *part)
{
  return XXH3_64bits_withSeed (part, strlen (part),
                               XXH3_64bits (cache_space, strlen (cache_space)));
}

/* Counts the prompt's tokens that the server is believed to have to read, where one that
   it can fetch counts as a share of one. repeated receives those of them that another
   server has read or is about to, but that cannot be fetched yet. */
int64_t
kcp_cached_unread (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                   const struct kcp_server *server, int64_t *repeated)
{
  const GArray *parts = choice->inbound->parts;
  int64_t tokens = choice->inbound->prompt_tokens;
  g_autofree char *space = NULL;

  *repeated = 0;
  if (!kcp_cached_has_long_part (choice->inbound))
    return tokens;
  space = kcp_cached_space (choice, kcp_server_version (server, choice->inbound->model));
  for (guint i = 0; i + 1 < parts->len; i++)
    {
      const struct kcp_prompt_part *part
          = &g_array_index (parts, struct kcp_prompt_part, i);
      uint64_t key = kcp_part_key (space, part->id);

      if (believed_at (gateway, server, key))
        tokens -= part->tokens;
      else if (can_be_fetched (gateway, server, key))
        tokens -= part->tokens - part->tokens / FETCH_SHARE;
      else if (is_elsewhere (gateway, key))
        *repeated += part->tokens;
      else
        break;
    }
  return MAX (tokens, 0);
}

/* Tells whether some server is believed to keep the first part of the prompt. */
bool
kcp_cached_anywhere (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  const struct kcp_prompt_part *first
      = &g_array_index (choice->inbound->parts, struct kcp_prompt_part, 0);

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      g_autofree char *space = kcp_cached_space (
          choice, kcp_server_version (server, choice->inbound->model));

      if (believed_at (gateway, server, kcp_part_key (space, first->id)))
        return true;
    }
  return false;
}

/* A part that is not believed to be at the chosen server is fetched from one that has it,
   or else from the store of kept cache; a part that the store lacks is saved there. */
void
kcp_cached_plan (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const struct kcp_server *store = find_store (gateway);
  const struct kcp_prompt_part *part
      = &g_array_index (choice->inbound->parts, struct kcp_prompt_part, 0);
  uint64_t key = kcp_part_key (choice->cache_space, part->id);
  bool stored = store != NULL && store_has (gateway, store, key);

  if (store != NULL && !stored)
    choice->save_to = store->entry.address;
  if (believed_at (gateway, choice->server, key))
    return;
  choice->fetch_from = find_holder (gateway, key, choice->server);
  if (choice->fetch_from == NULL && stored)
    choice->fetch_from = store->entry.address;
}

static bool
can_be_fetched (struct kcp_gateway *gateway, const struct kcp_server *server,
                uint64_t part)
{
  const struct kcp_server *store = find_store (gateway);

  return find_holder (gateway, part, server) != NULL
         || (store != NULL && kcp_server_holds (store, part));
}

/* Tells whether some server has read the part lately or was sent it. */
static bool
is_elsewhere (struct kcp_gateway *gateway, uint64_t part)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);

  for (guint i = 0; i < servers->len; i++)
    if (believed_at (gateway, g_ptr_array_index (servers, i), part))
      return true;
  return false;
}

/* What this VM sent lately goes before what was read of the server's cache, which lags.
 */
static bool
believed_at (struct kcp_gateway *gateway, const struct kcp_server *server, uint64_t part)
{
  const struct kcp_prefix_belief *belief;
  int64_t now = kcp_loop_now (gateway->loop);

  if (kcp_server_holds (server, part) || kcp_server_is_sent_part (server, part, now))
    return true;
  belief = kcp_prefix_memory_find (gateway->prefixes, part);
  if (belief == NULL)
    return false;
  if (server->held == NULL || now - server->held_ns > HELD_STALE_NS)
    return kcp_prefix_belief_has (belief, kcp_server_key (server), 0);
  return kcp_prefix_belief_has (belief, kcp_server_key (server), now - EVENTS_LAG_NS);
}

/* Returns the address of another server that is known to keep the part, one in the chosen
   server's data centre if there is one, or NULL. */
static const char *
find_holder (struct kcp_gateway *gateway, uint64_t part, const struct kcp_server *chosen)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  int64_t now = kcp_loop_now (gateway->loop);
  const struct kcp_server *found = NULL;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      if (server == chosen || now < server->suspected_until_ns
          || server->entry.state != KCP_SERVER_READY || !kcp_server_holds (server, part))
        continue;
      if (found == NULL
          || strcmp (server->entry.data_center, chosen->entry.data_center) == 0)
        found = server;
    }
  return found != NULL ? found->entry.address : NULL;
}

/* Returns a store of kept cache, one in this VM's data centre if there is one, or NULL.
 */
static const struct kcp_server *
find_store (const struct kcp_gateway *gateway)
{
  const GPtrArray *stores = kcp_servers_stores (gateway->servers);
  const struct kcp_server *found = NULL;

  for (guint i = 0; i < stores->len; i++)
    {
      const struct kcp_server *store = g_ptr_array_index (stores, i);

      if (found == NULL
          || g_strcmp0 (store->entry.data_center, gateway->settings->vm_data_center) == 0)
        found = store;
    }
  return found;
}

/* What a server was told to save shows in the store's events only after it was read. */
static bool
store_has (struct kcp_gateway *gateway, const struct kcp_server *store, uint64_t part)
{
  const struct kcp_prefix_belief *belief;
  int64_t now = kcp_loop_now (gateway->loop);

  if (kcp_server_holds (store, part))
    return true;
  belief = kcp_prefix_memory_find (gateway->prefixes, part);
  if (belief == NULL || belief->saved_ns == 0)
    return false;
  return store->held == NULL || now - belief->saved_ns < SAVE_LAG_NS;
}
