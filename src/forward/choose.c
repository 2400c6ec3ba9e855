#include "forward/choose.h"

#include <string.h>
#include <xxhash.h>

#include "base/id.h"
#include "forward/cache_space.h"
#include "forward/cached_parts.h"
#include "forward/mesh.h"
#include "forward/server_notices.h"
#include "forward/server_speeds.h"
#include "forward/software_versions.h"
#include "policy/backoff.h"
#include "policy/place.h"

/* The share of the tokens of uncached levels that is not counted as a cost of the
   preferred server. */
#define DISCOUNT_SHARE(tokens) ((tokens)*2 / 3)
/* Old weights are not used during the last third of the time for which they may still
   start requests, since a request can wait at a server for seconds before it starts. */
#define OLD_WEIGHTS_SHARE(ns) ((ns)*2 / 3)

/* Servers that are held together in a data center are not taken to have left from so many
   on. */
#define HELD_TOGETHER 2u

/* Servers whose entries returned lately, and the others. */
struct held_count
{
  guint held;
  guint others;
};

static bool is_idle (const struct kcp_place_candidate *candidate);
static void
set_cache_scope (const struct kcp_gateway *gateway, struct kcp_choice *choice);
static void
fill_candidate (struct kcp_gateway *gateway, struct kcp_choice *choice,
                struct kcp_server *server, struct kcp_place_candidate *candidate);
static bool
is_eligible (const struct kcp_choice *choice, const struct kcp_server *server);
static bool has_left (const struct kcp_gateway *gateway, const struct kcp_server *server);
static bool is_held (const struct kcp_gateway *gateway, const struct kcp_choice *choice,
                     const struct kcp_server *server, int64_t now_ns);
static struct held_count
count_held (const struct kcp_gateway *gateway, const char *service,
            const char *data_center, int64_t now_ns);
static bool was_tried (const struct kcp_choice *choice, const struct kcp_server *server);
static void note_availability (struct kcp_choice *choice, struct kcp_server *server,
                               bool held, int64_t now_ns);
static struct kcp_outcome_counts
sum_health (const struct kcp_choice *choice, const GPtrArray *servers, int64_t now_ns);
static void
classify_weights (const struct kcp_gateway *gateway, const char *model,
                  const struct kcp_server *server, struct kcp_place_candidate *candidate);
static int64_t
replaced_ns (const struct kcp_gateway *gateway, const char *model, int64_t version);
static void
set_preferred_discount (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                        const GPtrArray *servers, struct kcp_place_candidate *candidates);
static struct kcp_place_candidate *
find_preferred (const char *part, const GPtrArray *servers,
                struct kcp_place_candidate *candidates);
static void mark_preferred (const struct kcp_choice *choice, const GPtrArray *servers,
                            struct kcp_place_candidate *candidates);
static bool is_local (const struct kcp_gateway *gateway, const struct kcp_server *server);

/* Chooses a server of the request's service for its next attempt and fills in the rest of
   the choice. Sets choice->server to NULL if no server can be used now. */
void
kcp_choose (struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  g_autoptr (GArray) table
      = g_array_new (FALSE, TRUE, sizeof (struct kcp_place_candidate));
  struct kcp_place_candidate *candidates;
  struct kcp_place_costs costs = kcp_place_plain_costs;
  int at;

  if (choice->inbound->model != NULL)
    {
      costs = kcp_place_engine_costs;
      costs.spread = kcp_place_spread (kcp_mesh_count (gateway->mesh));
    }

  g_array_set_size (table, servers->len);
  candidates = (struct kcp_place_candidate *)(void *)table->data;
  kcp_mesh_refresh_peer_load (gateway->mesh);
  kcp_server_speeds_refresh (gateway);
  if (choice->levels == NULL)
    choice->levels = kcp_prompt_levels (choice->inbound);
  set_cache_scope (gateway, choice);
  choice->server = NULL;
  choice->usable = 0;
  choice->earliest_available_ns = 0;
  choice->earliest_server = NULL;
  choice->service_health = sum_health (choice, servers, kcp_loop_now (gateway->loop));
  for (guint i = 0; i < servers->len; i++)
    {
      fill_candidate (gateway, choice, g_ptr_array_index (servers, i), &candidates[i]);
      choice->usable += candidates[i].usable;
    }
  if (kcp_prompt_is_long (choice->levels))
    set_preferred_discount (gateway, choice, servers, candidates);
  else if (choice->inbound->parts != NULL && choice->inbound->parts->len > 1)
    mark_preferred (choice, servers, candidates);
  at = servers->len == 0
           ? KCP_PLACE_NONE
           : kcp_place_choose (candidates, servers->len, &costs, kcp_id_random_u64 ());
  if (at == KCP_PLACE_NONE)
    return;
  choice->server = g_ptr_array_index (servers, (guint)at);
  choice->cost_us = kcp_place_cost (&candidates[at], &costs);
  choice->load_age_ns = kcp_mesh_load_age_ns (gateway->mesh);
  choice->failing_us = candidates[at].failing_us;
  choice->wait_us = kcp_place_wait (&candidates[at], &costs);
  choice->uncached_tokens = candidates[at].uncached_tokens;
  choice->prefill_us = kcp_place_prefill (&candidates[at], &costs);
  choice->slowness = candidates[at].slowness;
  choice->idle = is_idle (&candidates[at]);
  g_clear_pointer (&choice->cache_space, g_free);
  choice->weights = 0;
  choice->replaced_ns = 0;
  choice->fetch_from = NULL;
  choice->save_to = NULL;
  if (choice->inbound->model == NULL)
    return;
  choice->weights = kcp_server_version (choice->server, choice->inbound->model);
  choice->replaced_ns = replaced_ns (gateway, choice->inbound->model, choice->weights);
  choice->cache_space = kcp_cache_space_name (choice->inbound->model, choice->weights,
                                              choice->cache_scope);
  if (choice->levels->len > 0)
    kcp_cached_plan_transfers (gateway, choice);
}

/* Returns true if the server seems to have nothing to do before the request. */
static bool
is_idle (const struct kcp_place_candidate *candidate)
{
  return candidate->in_flight == 0 && candidate->prefill_tokens_pending == 0
         && candidate->repeated_tokens == 0 && !candidate->loading;
}

/* Frees what the choice owns, but not the choice itself. */
void
kcp_choice_clear (struct kcp_choice *choice)
{
  g_clear_pointer (&choice->cache_scope, g_free);
  g_clear_pointer (&choice->cache_space, g_free);
  g_clear_pointer (&choice->levels, g_array_unref);
}

/* Records that the request is sent to the chosen server, which will cache its prompt, and
   announces a long prompt to the other VMs. */
void
kcp_choice_record (struct kcp_gateway *gateway, const struct kcp_choice *choice)
{
  int64_t prefill_tokens_pending = choice->uncached_tokens;
  int64_t now = kcp_loop_now (gateway->loop);

  if (choice->cache_space == NULL)
    return;
  for (guint i = 0; i < choice->levels->len; i++)
    {
      const struct kcp_prompt_level *level
          = &g_array_index (choice->levels, struct kcp_prompt_level, i);
      uint64_t key = kcp_part_key (choice->cache_space, level->part);
      struct kcp_prefix_entry *entry = kcp_prefix_index_ensure (gateway->prefixes, key);

      if (level->prefix_tokens >= KCP_LONG_PREFIX_TOKENS_MIN)
        {
          kcp_mesh_announce_prompt (gateway->mesh, choice->server, key,
                                    prefill_tokens_pending);
          prefill_tokens_pending = 0;
        }
      kcp_prefix_entry_add_holder (entry, kcp_server_key (choice->server), now);
      if (choice->save_to != NULL)
        entry->save_requested_ns = now;
    }
}

/* Sets the scope of the request's cached parts by the configuration in force, which may
   be newer than the one that the request was accepted under. */
static void
set_cache_scope (const struct kcp_gateway *gateway, struct kcp_choice *choice)
{
  g_free (choice->cache_scope);
  choice->cache_scope = kcp_cache_scope (
      gateway->routes, choice->team != NULL ? choice->team->name : NULL);
}

static void
fill_candidate (struct kcp_gateway *gateway, struct kcp_choice *choice,
                struct kcp_server *server, struct kcp_place_candidate *candidate)
{
  int64_t now = kcp_loop_now (gateway->loop);
  const char *model = choice->inbound->model;
  struct kcp_outcome_counts health;
  bool held;

  if (!is_eligible (choice, server) || has_left (gateway, server))
    return;
  kcp_server_notices_share_limit (gateway, server);
  held = is_held (gateway, choice, server, now);
  note_availability (choice, server, held, now);
  candidate->usable = !was_tried (choice, server) && now >= server->backoff_until_ns
                      && !held && kcp_server_limit_has_room (&server->limit, now);
  if (!candidate->usable)
    return;
  candidate->limited = kcp_server_limit_is_in_force (&server->limit, now);
  candidate->local = is_local (gateway, server);
  candidate->suspected = now < server->suspected_until_ns
                         || kcp_reach_has_failed (&server->reach)
                         || (model != NULL && server->version_doubted);
  candidate->loading = now < server->loading_until_ns;
  candidate->leaving = kcp_server_is_leaving (server);
  health = kcp_server_health_counts (&server->health, now);
  candidate->failing_us = kcp_server_health_cost_us (&health, &choice->service_health);
  candidate->in_flight = server->in_flight + server->peers_in_flight;
  candidate->slowness = model != NULL ? server->slowness : 0;
  candidate->slots = (unsigned)server->entry.slots;
  candidate->prefill_tokens_pending
      = server->prefill_tokens_pending + kcp_server_peers_prefill_tokens (server, now);
  if (model == NULL)
    return;
  classify_weights (gateway, model, server, candidate);
  if (choice->levels->len == 0)
    candidate->uncached_tokens = choice->inbound->prompt_tokens;
  else
    candidate->uncached_tokens = kcp_cached_prefill_tokens (gateway, choice, server,
                                                            &candidate->repeated_tokens);
}

/* Returns the sum of what attempts at the servers of the request's service came to. */
static struct kcp_outcome_counts
sum_health (const struct kcp_choice *choice, const GPtrArray *servers, int64_t now_ns)
{
  struct kcp_outcome_counts sum = { 0 };

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      struct kcp_outcome_counts counts;

      if (strcmp (server->entry.service, choice->service) != 0)
        continue;
      counts = kcp_server_health_counts (&server->health, now_ns);
      sum.successes += counts.successes;
      sum.failures += counts.failures;
    }
  return sum;
}

/* Returns true if the server can run the request, apart from its present state. */
static bool
is_eligible (const struct kcp_choice *choice, const struct kcp_server *server)
{
  const char *model = choice->inbound->model;

  return server->entry.state == KCP_SERVER_READY
         && strcmp (server->entry.service, choice->service) == 0
         && (!choice->bound
             || kcp_software_key (server->entry.software) == choice->software)
         && (model == NULL || kcp_server_version (server, model) > 0);
}

/* Returns true if the server said so long ago that it is leaving that it may be gone when
   a request arrives. */
static bool
has_left (const struct kcp_gateway *gateway, const struct kcp_server *server)
{
  return server->leaving_since_ns != 0
         && !kcp_backoff_allows_leaving (server->leaving_since_ns,
                                         gateway->settings->servers_leaving_ms,
                                         kcp_loop_now (gateway->loop));
}

/* Returns true if the server is kept from requests because its entry returned. If the
   greater part of the service's servers is, or several and the greater part in their data
   center, they have lost and found the store rather than left, and callers would be
   refused in vain. */
static bool
is_held (const struct kcp_gateway *gateway, const struct kcp_choice *choice,
         const struct kcp_server *server, int64_t now_ns)
{
  struct held_count all;
  struct held_count near;

  if (now_ns >= server->held_until_ns)
    return false;
  all = count_held (gateway, choice->service, NULL, now_ns);
  near = count_held (gateway, choice->service, server->entry.data_center, now_ns);
  return all.held <= all.others
         && (near.held < HELD_TOGETHER || near.held <= near.others);
}

/* Counts the ready servers of a service, all of them or those of a data center. */
static struct held_count
count_held (const struct kcp_gateway *gateway, const char *service,
            const char *data_center, int64_t now_ns)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  struct held_count count = { 0 };

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      if (server->entry.state != KCP_SERVER_READY
          || strcmp (server->entry.service, service) != 0
          || (data_center != NULL
              && strcmp (server->entry.data_center, data_center) != 0))
        continue;
      count.held += now_ns < server->held_until_ns;
      count.others += now_ns >= server->held_until_ns;
    }
  return count;
}

static bool
was_tried (const struct kcp_choice *choice, const struct kcp_server *server)
{
  for (guint i = 0; i < choice->tried->len; i++)
    if (g_ptr_array_index (choice->tried, i) == server)
      return true;
  return false;
}

/* Updates the time at which the first server is expected to be available. A server that
   this request has tried counts, since it may serve the caller's next request. */
static void
note_availability (struct kcp_choice *choice, struct kcp_server *server, bool held,
                   int64_t now_ns)
{
  int64_t available_ns = MAX (server->suspected_until_ns, server->loading_until_ns);

  available_ns = MAX (available_ns, server->backoff_until_ns);
  if (held)
    available_ns = MAX (available_ns, server->held_until_ns);
  if (kcp_reach_has_failed (&server->reach))
    available_ns = MAX (available_ns, server->reach.probe_after_ns);
  available_ns = MAX (available_ns, kcp_server_limit_room_ns (&server->limit, now_ns));
  if (choice->earliest_server != NULL && available_ns >= choice->earliest_available_ns)
    return;
  choice->earliest_available_ns = available_ns;
  choice->earliest_server = server;
}

/* Sets the relation of the server's weights to the desired ones. Old weights are refused
   where the request would start on them too late. The load of the candidate must have
   been set before. */
static void
classify_weights (const struct kcp_gateway *gateway, const char *model,
                  const struct kcp_server *server, struct kcp_place_candidate *candidate)
{
  int64_t since_ns = replaced_ns (gateway, model, kcp_server_version (server, model));
  int64_t replace_ns = gateway->settings->weights_replace_ms * KCP_NS_PER_MS;
  int64_t wait_ns = kcp_place_wait (candidate, &kcp_place_engine_costs) * KCP_NS_PER_US;
  int64_t age_ns = kcp_loop_now (gateway->loop) - since_ns;

  candidate->weights = KCP_PLACE_WEIGHTS_CURRENT;
  if (since_ns == 0)
    return;
  candidate->weights = KCP_PLACE_WEIGHTS_OLD;
  if (age_ns >= OLD_WEIGHTS_SHARE (replace_ns) || age_ns + wait_ns >= replace_ns)
    candidate->weights = KCP_PLACE_WEIGHTS_REFUSED;
}

/* Returns since when weights newer than this version are desired; 0: they are not. */
static int64_t
replaced_ns (const struct kcp_gateway *gateway, const char *model, int64_t version)
{
  const struct kcp_desired_weights *desired
      = kcp_gateway_desired_weights (gateway, model);

  return desired != NULL ? kcp_desired_weights_replaced_ns (desired, version) : 0;
}

/* Sets the discount of the first server in the rendezvous order of the first level that
   no server has cached, so that all VMs send a new prefix to the same server. */
static void
set_preferred_discount (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                        const GPtrArray *servers, struct kcp_place_candidate *candidates)
{
  const GArray *levels = choice->levels;
  guint cached = kcp_cached_levels_max (gateway, choice);
  int64_t tokens = kcp_prompt_level_tokens (levels, cached, levels->len);
  struct kcp_place_candidate *preferred;

  if (cached == levels->len)
    return;
  preferred = find_preferred (
      g_array_index (levels, struct kcp_prompt_level, cached).part, servers, candidates);
  if (preferred != NULL)
    preferred->discount_tokens
        = MIN (preferred->uncached_tokens, DISCOUNT_SHARE (tokens));
}

/* Marks the first server in the rendezvous order of a short prompt's session as
   preferred. The part before the last one identifies the session. */
static void
mark_preferred (const struct kcp_choice *choice, const GPtrArray *servers,
                struct kcp_place_candidate *candidates)
{
  const struct kcp_prompt_part *part = &g_array_index (
      choice->inbound->parts, struct kcp_prompt_part, choice->inbound->parts->len - 2);
  struct kcp_place_candidate *preferred = find_preferred (part->id, servers, candidates);

  if (preferred != NULL)
    preferred->preferred = true;
}

/* Returns the first usable candidate with current weights, neither leaving nor limited,
   in the part's rendezvous order, or NULL if there is none. */
static struct kcp_place_candidate *
find_preferred (const char *part, const GPtrArray *servers,
                struct kcp_place_candidate *candidates)
{
  uint64_t best_score = 0;
  struct kcp_place_candidate *preferred = NULL;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      uint64_t score;

      if (!candidates[i].usable || candidates[i].leaving || candidates[i].limited
          || candidates[i].weights != KCP_PLACE_WEIGHTS_CURRENT)
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
is_local (const struct kcp_gateway *gateway, const struct kcp_server *server)
{
  return g_strcmp0 (server->entry.data_center, gateway->settings->vm_data_center) == 0;
}
