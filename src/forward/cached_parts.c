#include "forward/cached_parts.h"

#include <string.h>

#include "forward/cache_space.h"

/* Fetching a token is counted as an eighth of the cost of prefilling it. The real cost is
   lower from another server and higher from the store, whose link all servers share. */
#define FETCH_COST_DIVISOR 8
/* How far a server's cache events lag behind the requests that this VM has sent to it. */
#define EVENTS_LAG_NS (1000 * KCP_NS_PER_MS)
/* Within this time, a part that a server was asked to save appears in the store, if the
   server has saved it. */
#define SAVE_LAG_NS (3 * KCP_NS_PER_S)
/* A server's cached parts that were confirmed longer ago no longer show that a part is
   missing. Until they are confirmed again, any earlier prompt that this VM sent to the
   server counts as well. */
#define CACHED_PARTS_STALE_NS (4 * KCP_NS_PER_S)

static char *
server_space (const struct kcp_choice *choice, const struct kcp_server *server);
static uint64_t level_key (const GArray *levels, guint at, const char *space);
static guint count_cached (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                           const char *space, const struct kcp_server *server);
static guint count_stored (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                           const struct kcp_server *store);
static const char *find_longest (struct kcp_gateway *gateway,
                                 const struct kcp_choice *choice, guint *longest);
static bool is_cached_at (struct kcp_gateway *gateway, const struct kcp_server *server,
                          uint64_t part);
static const char *
find_holder (struct kcp_gateway *gateway, uint64_t part, const struct kcp_server *chosen);
static bool can_be_fetched (struct kcp_gateway *gateway, const struct kcp_server *server,
                            uint64_t part);
static bool is_cached_elsewhere (struct kcp_gateway *gateway, uint64_t part);
static const struct kcp_server *find_store (const struct kcp_gateway *gateway);
static bool
is_stored (struct kcp_gateway *gateway, const struct kcp_server *store, uint64_t part);

/* Returns the estimated prefill cost of the prompt at the server, in tokens; a token that
   the server can fetch counts as a fraction of one. Stores in repeated the tokens that
   another server has prefilled or will prefill soon, but that cannot be fetched yet. */
int64_t
kcp_cached_prefill_tokens (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                           const struct kcp_server *server, int64_t *repeated)
{
  const GArray *levels = choice->levels;
  g_autofree char *space = server_space (choice, server);
  guint cached = count_cached (gateway, choice, space, server);
  int64_t tokens
      = choice->inbound->prompt_tokens - kcp_prompt_level_tokens (levels, 0, cached);

  *repeated = 0;
  for (guint i = cached; i < levels->len; i++)
    {
      int64_t step = kcp_prompt_level_tokens (levels, i, i + 1);
      uint64_t key = level_key (levels, i, space);

      if (can_be_fetched (gateway, server, key))
        tokens -= step - step / FETCH_COST_DIVISOR;
      else if (is_cached_elsewhere (gateway, key))
        *repeated += step;
      else
        break;
    }
  return MAX (tokens, 0);
}

/* Returns the greatest number of levels of the prompt's prefix that a single server is
   estimated to have cached, from the first one without a gap. */
guint
kcp_cached_levels_max (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  guint max = 0;

  for (guint i = 0; i < servers->len && max < choice->levels->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      g_autofree char *space = server_space (choice, server);

      max = MAX (max, count_cached (gateway, choice, space, server));
    }
  return max;
}

/* Sets fetch_from and save_to of the choice. Levels that the chosen server lacks are
   fetched from the server with the most levels, or from the KV cache store if that has
   more. A long prefix of which the store lacks a level is saved to the store. */
void
kcp_cached_plan_transfers (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const struct kcp_server *store = find_store (gateway);
  guint cached = count_cached (gateway, choice, choice->cache_space, choice->server);
  guint stored = store != NULL ? count_stored (gateway, choice, store) : 0;
  guint longest = cached;

  if (store != NULL && stored < choice->levels->len
      && kcp_prompt_is_long (choice->levels))
    choice->save_to = store->entry.address;
  choice->fetch_from = find_longest (gateway, choice, &longest);
  if (stored > longest)
    choice->fetch_from = store->entry.address;
}

/* Returns the name of the cache space that the request would use at the server, for the
   caller to free. */
static char *
server_space (const struct kcp_choice *choice, const struct kcp_server *server)
{
  const char *model = choice->inbound->model;

  return kcp_cache_space_name (model, kcp_server_version (server, model),
                               choice->cache_scope);
}

static uint64_t
level_key (const GArray *levels, guint at, const char *space)
{
  return kcp_part_key (space, g_array_index (levels, struct kcp_prompt_level, at).part);
}

/* Returns the number of levels that the server is estimated to have cached, up to the
   first that it lacks. */
static guint
count_cached (struct kcp_gateway *gateway, const struct kcp_choice *choice,
              const char *space, const struct kcp_server *server)
{
  guint count = 0;

  while (count < choice->levels->len
         && is_cached_at (gateway, server, level_key (choice->levels, count, space)))
    count++;
  return count;
}

static guint
count_stored (struct kcp_gateway *gateway, const struct kcp_choice *choice,
              const struct kcp_server *store)
{
  guint count = 0;

  while (count < choice->levels->len
         && is_stored (gateway, store,
                       level_key (choice->levels, count, choice->cache_space)))
    count++;
  return count;
}

/* Returns the address of the server known to have the most levels cached and raises
   longest to their number, or returns NULL if no server has more than longest. Among
   equals, a server in the chosen server's data center is preferred. */
static const char *
find_longest (struct kcp_gateway *gateway, const struct kcp_choice *choice,
              guint *longest)
{
  const char *found = NULL;

  for (guint count = *longest + 1; count <= choice->levels->len; count++)
    {
      uint64_t key = level_key (choice->levels, count - 1, choice->cache_space);
      const char *holder = find_holder (gateway, key, choice->server);

      if (holder == NULL)
        continue;
      found = holder;
      *longest = count;
    }
  return found;
}

/* Returns true if the server can fetch the part from another server or from the store. */
static bool
can_be_fetched (struct kcp_gateway *gateway, const struct kcp_server *server,
                uint64_t part)
{
  const struct kcp_server *store = find_store (gateway);

  return find_holder (gateway, part, server) != NULL
         || (store != NULL && kcp_server_has_cached_part (store, part));
}

/* Returns true if any server is estimated to have the part cached, or was sent it
   recently. */
static bool
is_cached_elsewhere (struct kcp_gateway *gateway, uint64_t part)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);

  for (guint i = 0; i < servers->len; i++)
    if (is_cached_at (gateway, g_ptr_array_index (servers, i), part))
      return true;
  return false;
}

/* Returns true if the server is estimated to have the part cached. The prompts that this
   VM sent within EVENTS_LAG_NS take precedence over the server's cache events, which lag
   behind. If its cached parts are unknown or stale, earlier prompts count too. */
static bool
is_cached_at (struct kcp_gateway *gateway, const struct kcp_server *server, uint64_t part)
{
  const struct kcp_prefix_entry *entry;
  int64_t now = kcp_loop_now (gateway->loop);

  if (kcp_server_has_cached_part (server, part)
      || kcp_server_was_sent_part (server, part, now))
    return true;
  entry = kcp_prefix_index_find (gateway->prefixes, part);
  if (entry == NULL)
    return false;
  if (server->cached_parts == NULL
      || now - server->cached_parts_ns > CACHED_PARTS_STALE_NS)
    return kcp_prefix_entry_has_holder (entry, kcp_server_key (server), 0);
  return kcp_prefix_entry_has_holder (entry, kcp_server_key (server),
                                      now - EVENTS_LAG_NS);
}

/* Returns the address of another server known to have the part cached, preferably one in
   the chosen server's data center, or NULL. */
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
          || kcp_server_is_leaving (server) || !kcp_server_has_cached_part (server, part))
        continue;
      if (found == NULL
          || strcmp (server->entry.data_center, chosen->entry.data_center) == 0)
        found = server;
    }
  return found != NULL ? found->entry.address : NULL;
}

/* Returns a KV cache store, preferably one in this VM's data center, or NULL. */
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

/* Returns true if the store is estimated to have the part. A part that a server was asked
   to save appears in the store's events only after the server has prefilled it. */
static bool
is_stored (struct kcp_gateway *gateway, const struct kcp_server *store, uint64_t part)
{
  const struct kcp_prefix_entry *entry;
  int64_t now = kcp_loop_now (gateway->loop);

  if (kcp_server_has_cached_part (store, part))
    return true;
  entry = kcp_prefix_index_find (gateway->prefixes, part);
  if (entry == NULL || entry->save_requested_ns == 0)
    return false;
  return store->cached_parts == NULL || now - entry->save_requested_ns < SAVE_LAG_NS;
}
