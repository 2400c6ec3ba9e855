#include "request/choose.h"

#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"
#include "request/admit.h"
#include "request/isolate.h"

#define STEP               "place"
#define RETRY_AFTER_S      1
#define URGENT_EXTRA_SLOTS 4 /* above the limit, for urgent requests only */

/* The servers that may run a request. Both arrays have the same order. */
struct eligible
{
  GArray *views;         /* struct kcp_backend_view */
  GArray *candidates;    /* struct kcp_placement_candidate */
  bool engines_excluded; /* an engine was left out because this request is a suspect */
};

static void eligible_init (struct eligible *eligible);
static void eligible_clear (struct eligible *eligible);
static void view_clear (gpointer data);
static void list_eligible (const struct kcp_request *request, enum kcp_member_kind kind,
                           const char *requested, GArray *eligible_views);
static bool
is_eligible (const struct kcp_request *request, const struct kcp_backend_view *view,
             const char *requested, const char *offered);
static void
exclude_for_isolation (struct kcp_request *request, struct eligible *eligible);
static uint64_t server_hash_at (const struct eligible *eligible, guint index);
static void
add_engine_candidates (struct kcp_request *request, struct eligible *eligible);
static struct kcp_placement_candidate
make_engine_candidate (const struct kcp_request *request,
                       const struct kcp_backend_view *view, const GArray *chain,
                       int64_t prompt_tokens);
static struct kcp_placement_candidate
make_service_candidate (const struct kcp_request *request,
                        const struct kcp_backend_view *view);
static GArray *make_chain (const struct kcp_request *request, const char *weights);
static void set_no_server_error (const struct kcp_request *request, const char *requested,
                                 struct kcp_error *error);

/* Chooses the engine of a completion. With ignore_limit, an engine without a free slot
   may be chosen; otherwise the request is counted as waiting for that engine. Sets
   choice if it returns KCP_CHOSEN. If it returns KCP_CHOOSE_NONE, the error states that
   the request did not run. */
enum kcp_choose_result
kcp_choose_engine (struct kcp_request *request, bool ignore_limit,
                   struct kcp_choice *choice, struct kcp_error *error)
{
  const GString *text = request->completion.prompt.text;
  struct kcp_placement_request placement = {
    .prefix_head = request->completion.block_hashes->len > 0
                       ? g_array_index (request->completion.block_hashes, uint64_t,
                                        request->completion.block_hashes->len - 1)
                       : XXH3_64bits (text->str, text->len),
    .prompt_tokens = kcp_prefix_tokens ((struct kcp_str){ text->str, text->len }),
    .urgent = request->profile->class == KCP_CLASS_URGENT,
  };
  enum kcp_choose_result result = KCP_CHOOSE_NONE;
  const struct kcp_placement_candidate *candidate;
  const struct kcp_backend_view *view;
  struct eligible eligible;
  int chosen;

  eligible_init (&eligible);
  add_engine_candidates (request, &eligible);
  chosen = kcp_placement_choose (
      &placement, (struct kcp_placement_candidate *)(void *)eligible.candidates->data,
      eligible.candidates->len, &request->router->costs);
  if (chosen == KCP_PLACEMENT_NONE)
    {
      if (eligible.engines_excluded)
        result = KCP_CHOOSE_WAIT;
      else
        set_no_server_error (request, request->completion.prompt.model, error);
      goto out;
    }
  candidate = &g_array_index (eligible.candidates, struct kcp_placement_candidate,
                              (guint)chosen);
  view = &g_array_index (eligible.views, struct kcp_backend_view, (guint)chosen);
  result = KCP_CHOOSE_WAIT;
  if (!ignore_limit && !kcp_placement_has_slot (candidate))
    {
      kcp_engine_facts_add_waiting (request->router->facts, view->backend->hash);
      goto out;
    }
  result = KCP_CHOSEN;
  *choice = (struct kcp_choice){
    .backend = kcp_backend_ref (view->backend),
    .incarnation = kcp_engine_facts_hash_incarnation (view->report.incarnation),
    .uncached_tokens = placement.prompt_tokens - candidate->cached_tokens,
  };
out:
  eligible_clear (&eligible);
  return result;
}

/* Returns a reference to a server for a service call, or NULL with an error that states
   that the call did not run. */
struct kcp_backend *
kcp_choose_service (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_placement_request placement = { .prefix_head = kcp_id_random_u64 () };
  struct kcp_backend *backend = NULL;
  struct eligible eligible;
  int chosen;

  eligible_init (&eligible);
  list_eligible (request, KCP_MEMBER_SERVICE, request->call->service, eligible.views);
  for (guint i = 0; i < eligible.views->len; i++)
    {
      struct kcp_placement_candidate candidate = make_service_candidate (
          request, &g_array_index (eligible.views, struct kcp_backend_view, i));

      g_array_append_val (eligible.candidates, candidate);
    }
  chosen = kcp_placement_choose (
      &placement, (struct kcp_placement_candidate *)(void *)eligible.candidates->data,
      eligible.candidates->len, &request->router->costs);
  if (chosen == KCP_PLACEMENT_NONE)
    set_no_server_error (request, request->call->service, error);
  else if (!kcp_placement_has_slot (&g_array_index (
               eligible.candidates, struct kcp_placement_candidate, (guint)chosen)))
    {
      kcp_error_set (error, KCP_ERR_OVERLOADED, STEP, NULL,
                     "all places at %u servers are taken", eligible.candidates->len);
      error->retry_after_s = RETRY_AFTER_S;
    }
  else
    backend = kcp_backend_ref (
        g_array_index (eligible.views, struct kcp_backend_view, (guint)chosen).backend);
  eligible_clear (&eligible);
  return backend;
}

static void
eligible_init (struct eligible *eligible)
{
  eligible->engines_excluded = false;
  eligible->views = g_array_new (FALSE, FALSE, sizeof (struct kcp_backend_view));
  eligible->candidates
      = g_array_new (FALSE, FALSE, sizeof (struct kcp_placement_candidate));
  g_array_set_clear_func (eligible->views, view_clear);
}

static void
eligible_clear (struct eligible *eligible)
{
  g_array_unref (eligible->views);
  g_array_unref (eligible->candidates);
}

static void
view_clear (gpointer data)
{
  kcp_backend_unref (((struct kcp_backend_view *)data)->backend);
}

/* Appends the servers of a kind that may run the request, with a reference to each.
   requested is the name of the model or service. */
static void
list_eligible (const struct kcp_request *request, enum kcp_member_kind kind,
               const char *requested, GArray *eligible_views)
{
  g_autoptr (GArray) views = kcp_registry_view (request->router->registry, kind);

  for (guint i = 0; i < views->len; i++)
    {
      struct kcp_backend_view view = g_array_index (views, struct kcp_backend_view, i);
      const char *offered
          = kind == KCP_MEMBER_ENGINE ? view.backend->model : view.backend->service;

      if (!is_eligible (request, &view, requested, offered))
        continue;
      kcp_backend_ref (view.backend);
      g_array_append_val (eligible_views, view);
    }
}

/* Returns true if the server is live, offers what is requested, has not failed the
   request, and is in a data center that the profile allows. The data centers allowed for
   caches restrict engines only. */
static bool
is_eligible (const struct kcp_request *request, const struct kcp_backend_view *view,
             const char *requested, const char *offered)
{
  const struct kcp_profile *profile = request->profile;
  GQuark data_center = view->backend->data_center;

  if (view->state != KCP_BACKEND_LIVE || g_strcmp0 (requested, offered) != 0
      || kcp_request_excludes_backend (request, view->backend->id))
    return false;
  if (!kcp_dc_set_has (&profile->compute_in, data_center)
      || !kcp_dc_set_has (&profile->prompt_in, data_center))
    return false;
  return view->backend->kind != KCP_MEMBER_ENGINE
         || kcp_dc_set_has (&profile->cache_in, data_center);
}

/* Excludes the engines that must not run this suspect: those on which this VM runs
   another suspect, and those on which another VM is responsible for running suspects.
   Engines of the second kind are kept if this VM is responsible for none. */
static void
exclude_for_isolation (struct kcp_request *request, struct eligible *eligible)
{
  g_autoptr (GArray) vms = kcp_isolate_live_vms (request);
  bool responsible_for_any = false;

  for (guint i = 0; i < eligible->views->len; i++)
    responsible_for_any
        = responsible_for_any
          || kcp_isolate_is_responsible (vms, server_hash_at (eligible, i));
  for (guint i = eligible->views->len; i > 0; i--)
    {
      uint64_t server = server_hash_at (eligible, i - 1);

      if (!kcp_suspects_has_suspect (request->router->suspects, server)
          && (!responsible_for_any || kcp_isolate_is_responsible (vms, server)))
        continue;
      eligible->engines_excluded = true;
      g_array_remove_index (eligible->views, i - 1);
    }
}

static uint64_t
server_hash_at (const struct eligible *eligible, guint index)
{
  return g_array_index (eligible->views, struct kcp_backend_view, index).backend->hash;
}

/* Adds the allowed engines as candidates. The identities of the prompt's blocks depend
   on the weights. Most engines have the same version of them, so the chain is recomputed
   only when the weights differ from those of the previous engine. */
static void
add_engine_candidates (struct kcp_request *request, struct eligible *eligible)
{
  const GString *text = request->completion.prompt.text;
  int64_t prompt_tokens = kcp_prefix_tokens ((struct kcp_str){ text->str, text->len });
  g_autoptr (GArray) chain = NULL;
  const char *weights = NULL;

  list_eligible (request, KCP_MEMBER_ENGINE, request->completion.prompt.model,
                 eligible->views);
  if (request->completion.suspect)
    exclude_for_isolation (request, eligible);
  for (guint i = 0; i < eligible->views->len; i++)
    {
      const struct kcp_backend_view *view
          = &g_array_index (eligible->views, struct kcp_backend_view, i);
      struct kcp_placement_candidate candidate;

      if (weights == NULL || strcmp (weights, view->report.weights) != 0)
        {
          weights = view->report.weights;
          g_clear_pointer (&chain, g_array_unref);
          chain = make_chain (request, weights);
        }
      candidate = make_engine_candidate (request, view, chain, prompt_tokens);
      g_array_append_val (eligible->candidates, candidate);
    }
}

static struct kcp_placement_candidate
make_engine_candidate (const struct kcp_request *request,
                       const struct kcp_backend_view *view, const GArray *chain,
                       int64_t prompt_tokens)
{
  const struct kcp_router *router = request->router;
  const struct kcp_backend_report *report = &view->report;
  enum kcp_class class = request->profile->class;
  int64_t cached_blocks = kcp_engine_facts_count_leading (router->facts, view, chain);
  int64_t in_flight = report->running + report->waiting + view->net_attempts_since_report;
  int64_t limit = kcp_engine_facts_limit (router->facts, view);
  int64_t queue_position
      = kcp_engine_facts_waiting (router->facts, view->backend->hash) + 1;

  if (class == KCP_CLASS_URGENT)
    limit += URGENT_EXTRA_SLOTS;
  return (struct kcp_placement_candidate){
    .hash = view->backend->hash,
    .queued_tokens = report->waiting_tokens,
    .report_age_ns = kcp_clock_monotonic_ns (router->clock) - report->arrived_ns,
    .sent_tokens = view->sent_tokens,
    .in_flight = MAX (in_flight, 0),
    .limit = limit,
    .slot_wait_ns = in_flight < limit
                        ? 0
                        : queue_position * kcp_admit_mean_run_ns (router->admit, class)
                              / (view->in_flight + 1),
    .cached_tokens = MIN (cached_blocks * KCP_BLOCK_TOKENS, prompt_tokens),
  };
}

static struct kcp_placement_candidate
make_service_candidate (const struct kcp_request *request,
                        const struct kcp_backend_view *view)
{
  return (struct kcp_placement_candidate){
    .hash = view->backend->hash,
    .in_flight = view->in_flight,
    .limit = request->router->settings->backends_concurrency,
  };
}

static GArray *
make_chain (const struct kcp_request *request, const char *weights)
{
  struct kcp_prefix_seed seed = {
    .team = kcp_str_from_c (request->team->name),
    .model = kcp_str_from_c (request->completion.prompt.model),
    .weights = kcp_str_from_c (weights),
  };

  return kcp_prefix_chain (&seed, request->completion.block_hashes);
}

static void
set_no_server_error (const struct kcp_request *request, const char *requested,
                     struct kcp_error *error)
{
  kcp_error_set (error, KCP_ERR_NO_SERVER, STEP, NULL,
                 "profile %s allows no live backend server for %s",
                 request->profile->name, requested);
  error->retry_after_s = RETRY_AFTER_S;
}
