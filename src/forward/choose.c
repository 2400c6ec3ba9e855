#include "forward/choose.h"

#include <string.h>
#include <xxhash.h>

#include "base/id.h"
#include "forward/cached_parts.h"
#include "forward/mesh.h"
#include "policy/place.h"

/* Of the levels of a prompt that nobody keeps, what their home counts as having. */
#define HOME_SHARE(tokens) ((tokens)*2 / 3)
/* Servers with old weights are left out for the last third of the time in which they may
   begin work, since a request may wait there for seconds before it begins. */
#define REPLACE_SHARE(ms) ((ms)*2 / 3)

static void gather (struct kcp_gateway *gateway, struct kcp_choice *choice,
                    struct kcp_server *server, struct kcp_place_candidate *candidate);
static bool is_usable (const struct kcp_choice *choice, const struct kcp_server *server);
static void
judge_weights (const struct kcp_gateway *gateway, const char *model,
               const struct kcp_server *server, struct kcp_place_candidate *candidate);
static void
add_home_bonus (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                const GPtrArray *servers, struct kcp_place_candidate *candidates);
static struct kcp_place_candidate *find_home (const char *part, const GPtrArray *servers,
                                              struct kcp_place_candidate *candidates);
static void mark_home (const struct kcp_choice *choice, const GPtrArray *servers,
                       struct kcp_place_candidate *candidates);
static bool is_near (const struct kcp_gateway *gateway, const struct kcp_server *server);

/* Chooses the server for the request's next attempt among those that its service has, and
   what goes with it. choice->server is NULL if none may be used now. */
void
kcp_choose (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  g_autoptr (GArray) facts
      = g_array_new (FALSE, TRUE, sizeof (struct kcp_place_candidate));
  struct kcp_place_candidate *candidates;
  const struct kcp_place_costs *costs
      = choice->inbound->model != NULL ? &kcp_place_engine_costs : &kcp_place_plain_costs;
  int at;

  g_array_set_size (facts, servers->len);
  candidates = (struct kcp_place_candidate *)(void *)facts->data;
  kcp_mesh_sum (gateway->mesh);
  if (choice->levels == NULL)
    choice->levels = kcp_prompt_levels (choice->inbound);
  choice->server = NULL;
  choice->usable = 0;
  choice->soonest_free_ns = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      gather (gateway, choice, g_ptr_array_index (servers, i), &candidates[i]);
      choice->usable += candidates[i].usable;
    }
  if (kcp_prompt_is_long (choice->levels))
    add_home_bonus (gateway, choice, servers, candidates);
  else if (choice->inbound->parts != NULL && choice->inbound->parts->len > 1)
    mark_home (choice, servers, candidates);
  at = servers->len == 0
           ? KCP_PLACE_NONE
           : kcp_place_choose (candidates, servers->len, costs, kcp_id_random_u64 ());
  if (at == KCP_PLACE_NONE)
    return;
  choice->server = g_ptr_array_index (servers, (guint)at);
  choice->cost_us = kcp_place_cost (&candidates[at], costs);
  choice->wait_us = kcp_place_wait (&candidates[at], costs);
  choice->uncached_tokens = candidates[at].uncached_tokens;
  choice->prefill_us = costs->per_token * choice->uncached_tokens;
  g_clear_pointer (&choice->cache_space, g_free);
  choice->weights = 0;
  choice->fetch_from = NULL;
  choice->save_to = NULL;
  if (choice->inbound->model == NULL)
    return;
  choice->weights = kcp_server_version (choice->server, choice->inbound->model);
  choice->cache_space = kcp_cached_space (choice, choice->weights);
  if (choice->levels->len > 0)
    kcp_cached_plan (gateway, choice);
}

/* Frees what the choice owns. */
void
kcp_choice_clear (struct kcp_choice *choice)
{
  g_clear_pointer (&choice->cache_space, g_free);
  g_clear_pointer (&choice->levels, g_array_unref);
}

/* Notes that the request is sent to the chosen server, which will keep its prompt. */
void
kcp_choice_remember (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  int64_t unread_tokens = choice->uncached_tokens;
  int64_t now = kcp_loop_now (gateway->loop);

  if (choice->cache_space == NULL)
    return;
  for (guint i = 0; i < choice->levels->len; i++)
    {
      const struct kcp_prompt_level *level
          = &g_array_index (choice->levels, struct kcp_prompt_level, i);
      uint64_t key = kcp_part_key (choice->cache_space, level->part);
      struct kcp_prefix_belief *belief = kcp_prefix_memory_make (gateway->prefixes, key);

      if (level->prefix_tokens >= KCP_LONG_PREFIX_TOKENS)
        {
          kcp_mesh_announce_prompt (gateway->mesh, choice->server, key, unread_tokens);
          unread_tokens = 0;
        }
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
  const char *model = choice->inbound->model;
  int64_t free_ns;

  candidate->usable = is_usable (choice, server);
  if (!candidate->usable)
    return;
  candidate->local = is_near (gateway, server);
  candidate->suspected = now < server->suspected_until_ns;
  candidate->loading = now < server->loading_until_ns;
  candidate->in_flight = server->in_flight + server->others_open;
  candidate->slots = (unsigned)server->entry.slots;
  candidate->unread_tokens
      = server->unread_tokens + kcp_server_others_unread (server, now);
  free_ns = MAX (server->suspected_until_ns, server->loading_until_ns);
  if (choice->soonest_free_ns == 0 || free_ns < choice->soonest_free_ns)
    choice->soonest_free_ns = MAX (free_ns, now);
  if (model == NULL)
    return;
  judge_weights (gateway, model, server, candidate);
  if (choice->levels->len == 0)
    candidate->uncached_tokens = choice->inbound->prompt_tokens;
  else
    candidate->uncached_tokens
        = kcp_cached_unread (gateway, choice, server, &candidate->repeated_tokens);
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
  return choice->inbound->model == NULL
         || kcp_server_version (server, choice->inbound->model) > 0;
}

static void
judge_weights (const struct kcp_gateway *gateway, const char *model,
               const struct kcp_server *server, struct kcp_place_candidate *candidate)
{
  const struct kcp_named_weights *named = kcp_gateway_weights (gateway, model);
  int64_t version = kcp_server_version (server, model);
  int64_t limit_ns
      = REPLACE_SHARE (gateway->settings->weights_replace_ms) * KCP_NS_PER_MS;

  candidate->weights = KCP_PLACE_WEIGHTS_CURRENT;
  if (named == NULL || version >= named->version)
    return;
  candidate->weights = KCP_PLACE_WEIGHTS_OLD;
  if (kcp_loop_now (gateway->loop) - kcp_named_weights_replaced (named, version)
      >= limit_ns)
    candidate->weights = KCP_PLACE_WEIGHTS_REFUSED;
}

/* All VMs that know nothing of a level choose alike: the first server of the level's
   rendezvous order counts as if a part of what nobody keeps were there. */
static void
add_home_bonus (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                const GPtrArray *servers, struct kcp_place_candidate *candidates)
{
  const GArray *levels = choice->levels;
  guint kept = kcp_cached_anywhere (gateway, choice);
  int64_t tokens = kcp_prompt_level_tokens (levels, kept, levels->len);
  struct kcp_place_candidate *preferred;

  if (kept == levels->len)
    return;
  preferred = find_home (g_array_index (levels, struct kcp_prompt_level, kept).part,
                         servers, candidates);
  if (preferred != NULL)
    preferred->discount_tokens = MIN (preferred->uncached_tokens, HOME_SHARE (tokens));
}

/* A short prompt prefers the first server of its session's order. */
static void
mark_home (const struct kcp_choice *choice, const GPtrArray *servers,
           struct kcp_place_candidate *candidates)
{
  const struct kcp_prompt_part *part = &g_array_index (
      choice->inbound->parts, struct kcp_prompt_part, choice->inbound->parts->len - 2);
  struct kcp_place_candidate *preferred = find_home (part->id, servers, candidates);

  if (preferred != NULL)
    preferred->preferred = true;
}

/* Returns the usable candidate with current weights that is first in the part's
   rendezvous order, or NULL. */
static struct kcp_place_candidate *
find_home (const char *part, const GPtrArray *servers,
           struct kcp_place_candidate *candidates)
{
  uint64_t best_score = 0;
  struct kcp_place_candidate *preferred = NULL;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      uint64_t score;

      if (!candidates[i].usable || candidates[i].weights != KCP_PLACE_WEIGHTS_CURRENT)
        continue;
      score = XXH3_64bits_withSeed (part, strlen (part), kcp_server_key (server));
      if (preferred != NULL && score <= best_score)
        continue;
      preferred = &candidates[i];
      best_score = score;
    }
  return preferred;
}

static bool
is_near (const struct kcp_gateway *gateway, const struct kcp_server *server)
{
  return g_strcmp0 (server->entry.data_center, gateway->settings->vm_data_center) == 0;
}
