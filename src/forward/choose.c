#include "forward/choose.h"

#include <string.h>
#include <xxhash.h>

#include "base/id.h"
#include "policy/place.h"

/* A part that is fetched costs about a third of one that is read. */
#define FETCH_SHARE 3
/* Servers with old weights are left out this long before they must no longer begin work,
   since a request may wait there before it begins. */
#define REPLACE_MARGIN_NS (2500 * KCP_NS_PER_MS)
/* What a server's events show lags behind what this VM has sent there. */
#define EVENTS_LAG_NS (1000 * KCP_NS_PER_MS)
/* What a server is told to save is in the store by then, if it was saved. */
#define SAVE_LAG_NS (3 * KCP_NS_PER_S)
/* Events that were read longer ago say nothing. */
#define HELD_STALE_NS (4 * KCP_NS_PER_S)

static void gather (struct kcp_gateway *gateway, struct kcp_choice *choice,
                    struct kcp_server *server, struct kcp_place_candidate *candidate);
static bool is_usable (const struct kcp_choice *choice, const struct kcp_server *server);
static void
judge_weights (const struct kcp_gateway *gateway, const char *model,
               const struct kcp_server *server, struct kcp_place_candidate *candidate);
static int64_t uncached (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                         const struct kcp_server *server);
static void add_home_bonus (const struct kcp_choice *choice, const GPtrArray *servers,
                            struct kcp_place_candidate *candidates);
static void mark_home (const struct kcp_choice *choice, const GPtrArray *servers,
                       struct kcp_place_candidate *candidates);
static void plan_transfers (struct kcp_gateway *gateway, struct kcp_choice *choice);
static const struct kcp_server *find_store (const struct kcp_gateway *gateway);
static bool
store_has (struct kcp_gateway *gateway, const struct kcp_server *store, uint64_t part);
static const char *
find_holder (struct kcp_gateway *gateway, uint64_t part, const struct kcp_server *chosen);
static bool has_long_part (const struct kcp_ask *ask);
static char *make_cache_space (const struct kcp_choice *choice, int64_t version);
static bool
believed_at (struct kcp_gateway *gateway, const struct kcp_server *server, uint64_t part);
static bool held_anywhere (struct kcp_gateway *gateway, const struct kcp_choice *choice);
static bool is_near (const struct kcp_gateway *gateway, const struct kcp_server *server);

/* Chooses the server for the request's next attempt among those that its service has, and
   what goes with it. choice->server is NULL if none may be used now. */
void
kcp_choose (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  g_autofree struct kcp_place_candidate *candidates
      = g_new0 (struct kcp_place_candidate, servers->len + 1);
  const struct kcp_place_costs *costs
      = choice->ask->model != NULL ? &kcp_place_engine_costs : &kcp_place_plain_costs;
  int at;

  choice->server = NULL;
  choice->usable = 0;
  choice->soonest_free_ns = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      gather (gateway, choice, g_ptr_array_index (servers, i), &candidates[i]);
      choice->usable += candidates[i].usable;
    }
  if (has_long_part (choice->ask) && !held_anywhere (gateway, choice))
    add_home_bonus (choice, servers, candidates);
  if (!has_long_part (choice->ask) && choice->ask->parts != NULL
      && choice->ask->parts->len > 1)
    mark_home (choice, servers, candidates);
  at = servers->len == 0
           ? KCP_PLACE_NONE
           : kcp_place_choose (candidates, servers->len, costs, kcp_id_random_u64 ());
  if (at == KCP_PLACE_NONE)
    return;
  choice->server = g_ptr_array_index (servers, (guint)at);
  choice->cost_us = kcp_place_cost (&candidates[at], costs);
  choice->uncached_tokens = candidates[at].uncached_tokens;
  g_clear_pointer (&choice->cache_space, g_free);
  choice->weights = 0;
  choice->fetch_from = NULL;
  choice->save_to = NULL;
  if (choice->ask->model == NULL)
    return;
  choice->weights = kcp_server_version (choice->server, choice->ask->model);
  choice->cache_space = make_cache_space (choice, choice->weights);
  if (has_long_part (choice->ask))
    plan_transfers (gateway, choice);
}

/* Frees what the choice owns. */
void
kcp_choice_clear (struct kcp_choice *choice)
{
  g_clear_pointer (&choice->cache_space, g_free);
}

/* Notes that the request is sent to the chosen server, which will keep its prompt. */
void
kcp_choice_remember (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  const GArray *parts = choice->ask->parts;
  int64_t now = kcp_loop_now (gateway->loop);

  if (choice->cache_space == NULL || parts == NULL)
    return;
  for (guint i = 0; i + 1 < parts->len; i++)
    {
      const struct kcp_prompt_part *part
          = &g_array_index (parts, struct kcp_prompt_part, i);
      struct kcp_prefix_belief *belief;
      uint64_t key;

      if (part->tokens < KCP_LONG_PART_TOKENS)
        continue;
      key = kcp_part_key (choice->cache_space, part->id);
      kcp_server_note_sent_part (choice->server, key, now);
      belief = kcp_prefix_memory_make (gateway->prefixes, key);
      kcp_prefix_belief_add (belief, kcp_server_key (choice->server), now);
      if (choice->save_to != NULL)
        belief->saved_ns = now;
    }
}

static void
gather (struct kcp_gateway *gateway, struct kcp_choice *choice, struct kcp_server *server,
        struct kcp_place_candidate *candidate)
{
  int64_t now = kcp_loop_now (gateway->loop);
  const char *model = choice->ask->model;
  int64_t free_ns;

  candidate->usable = is_usable (choice, server);
  if (!candidate->usable)
    return;
  candidate->nearby = is_near (gateway, server);
  candidate->suspected = now < server->suspected_until_ns;
  candidate->loading = now < server->loading_until_ns;
  candidate->open = server->open + server->others_open;
  candidate->slots = (unsigned)server->entry.slots;
  candidate->unread_tokens = server->unread_tokens + server->others_unread_tokens;
  free_ns = MAX (server->suspected_until_ns, server->loading_until_ns);
  if (choice->soonest_free_ns == 0 || free_ns < choice->soonest_free_ns)
    choice->soonest_free_ns = MAX (free_ns, now);
  if (model == NULL)
    return;
  judge_weights (gateway, model, server, candidate);
  candidate->uncached_tokens = uncached (gateway, choice, server);
}

static bool
is_usable (const struct kcp_choice *choice, const struct kcp_server *server)
{
  if (server->entry.state != KCP_SERVER_READY
      || strcmp (server->entry.service, choice->service) != 0)
    return false;
  for (guint i = 0; i < choice->tried->len; i++)
    if (g_ptr_array_index (choice->tried, i) == server)
      return false;
  return choice->ask->model == NULL
         || kcp_server_version (server, choice->ask->model) > 0;
}

static void
judge_weights (const struct kcp_gateway *gateway, const char *model,
               const struct kcp_server *server, struct kcp_place_candidate *candidate)
{
  const struct kcp_named_weights *named = kcp_gateway_weights (gateway, model);
  int64_t version = kcp_server_version (server, model);
  int64_t limit_ns
      = gateway->settings->weights_replace_ms * KCP_NS_PER_MS - REPLACE_MARGIN_NS;

  candidate->weights = KCP_PLACE_WEIGHTS_CURRENT;
  if (named == NULL || version >= named->version)
    return;
  candidate->weights = KCP_PLACE_WEIGHTS_OLD;
  if (kcp_loop_now (gateway->loop) - kcp_named_weights_replaced (named, version)
      >= limit_ns)
    candidate->weights = KCP_PLACE_WEIGHTS_REFUSED;
}

/* Counts the prompt's tokens that the server is believed to have to read, where one that
   it can fetch counts as a share of one. */
static int64_t
uncached (struct kcp_gateway *gateway, const struct kcp_choice *choice,
          const struct kcp_server *server)
{
  const GArray *parts = choice->ask->parts;
  int64_t tokens = choice->ask->prompt_tokens;
  g_autofree char *space = NULL;

  if (!has_long_part (choice->ask))
    return tokens;
  space = make_cache_space (choice, kcp_server_version (server, choice->ask->model));
  for (guint i = 0; i + 1 < parts->len; i++)
    {
      const struct kcp_prompt_part *part
          = &g_array_index (parts, struct kcp_prompt_part, i);
      uint64_t key = kcp_part_key (space, part->id);

      if (believed_at (gateway, server, key))
        tokens -= part->tokens;
      else if (kcp_prefix_memory_find (gateway->prefixes, key) != NULL)
        tokens -= part->tokens - part->tokens / FETCH_SHARE;
      else
        break;
    }
  return MAX (tokens, 0);
}

/* All VMs of a data centre that know nothing of a prefix choose alike: the first server
   of a rendezvous order counts as if a part of the prefix were there. */
static void
add_home_bonus (const struct kcp_choice *choice, const GPtrArray *servers,
                struct kcp_place_candidate *candidates)
{
  const struct kcp_prompt_part *first
      = &g_array_index (choice->ask->parts, struct kcp_prompt_part, 0);
  uint64_t best_score = 0;
  struct kcp_place_candidate *home = NULL;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      uint64_t score;

      if (!candidates[i].usable || candidates[i].weights != KCP_PLACE_WEIGHTS_CURRENT)
        continue;
      score
          = XXH3_64bits_withSeed (first->id, strlen (first->id), kcp_server_key (server));
      if (home != NULL && score <= best_score)
        continue;
      home = &candidates[i];
      best_score = score;
    }
  if (home != NULL)
    home->uncached_tokens
        = MAX (home->uncached_tokens - first->tokens * 2 / FETCH_SHARE, 0);
}

static void
mark_home (const struct kcp_choice *choice, const GPtrArray *servers,
           struct kcp_place_candidate *candidates)
{
  const struct kcp_prompt_part *part = &g_array_index (
      choice->ask->parts, struct kcp_prompt_part, choice->ask->parts->len - 2);
  uint64_t best_score = 0;
  struct kcp_place_candidate *home = NULL;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      uint64_t score;

      if (!candidates[i].usable || candidates[i].weights != KCP_PLACE_WEIGHTS_CURRENT)
        continue;
      score = XXH3_64bits_withSeed (part->id, strlen (part->id), kcp_server_key (server));
      if (home != NULL && score <= best_score)
        continue;
      home = &candidates[i];
      best_score = score;
    }
  if (home != NULL)
    home->home = true;
}

/* A part that is not believed to be at the chosen server is fetched from one that has it,
   or else from the store of kept cache; a part that the store lacks is saved there. */
static void
plan_transfers (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const struct kcp_server *store = find_store (gateway);
  const struct kcp_prompt_part *part
      = &g_array_index (choice->ask->parts, struct kcp_prompt_part, 0);
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

      if (found == NULL || is_near (gateway, store))
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

/* The last part belongs to one request or session. */
static bool
has_long_part (const struct kcp_ask *ask)
{
  return ask->parts != NULL && ask->parts->len > 1
         && g_array_index (ask->parts, struct kcp_prompt_part, 0).tokens
                >= KCP_LONG_PART_TOKENS;
}

/* Requests share cache only under the same weights, and those of an isolated team only
   with each other. */
static char *
make_cache_space (const struct kcp_choice *choice, int64_t version)
{
  const struct kcp_team_access *team = choice->team;
  bool isolated = team != NULL && team->isolated;

  return g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%s", choice->ask->model, version,
                          isolated ? team->name : "");
}

/* Returns a hash of a part within a cache space, by which VMs speak of it. */
uint64_t
kcp_part_key (const char *cache_space, const char *part)
{
  return XXH3_64bits_withSeed (part, strlen (part),
                               XXH3_64bits (cache_space, strlen (cache_space)));
}

/* What this VM sent lately goes before what was read of the server's cache, which lags.
 */
static bool
believed_at (struct kcp_gateway *gateway, const struct kcp_server *server, uint64_t part)
{
  const struct kcp_prefix_belief *belief;
  int64_t now = kcp_loop_now (gateway->loop);

  if (kcp_server_holds (server, part) || kcp_server_is_sent_part (server, part))
    return true;
  belief = kcp_prefix_memory_find (gateway->prefixes, part);
  if (belief == NULL)
    return false;
  if (server->held == NULL || now - server->held_ns > HELD_STALE_NS)
    return kcp_prefix_belief_has (belief, kcp_server_key (server), 0);
  return kcp_prefix_belief_has (belief, kcp_server_key (server), now - EVENTS_LAG_NS);
}

static bool
held_anywhere (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  const struct kcp_prompt_part *first
      = &g_array_index (choice->ask->parts, struct kcp_prompt_part, 0);

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      g_autofree char *space
          = make_cache_space (choice, kcp_server_version (server, choice->ask->model));

      if (believed_at (gateway, server, kcp_part_key (space, first->id)))
        return true;
    }
  return false;
}

static bool
is_near (const struct kcp_gateway *gateway, const struct kcp_server *server)
{
  return g_strcmp0 (server->entry.data_center, gateway->settings->vm_data_center) == 0;
}
