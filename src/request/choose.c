#include "request/choose.h"

#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"
#include "request/admit.h"
#include "request/isolate.h"

#define STEP          "place"
#define RETRY_AFTER_S 1
#define URGENT_EXTRA  4 /* places above the limit that are kept for urgent requests */

/* The servers that may run one request. The arrays have the same order. */
struct options
{
  GArray *views;      /* struct kcp_backend_view */
  GArray *candidates; /* struct kcp_placement_candidate */
  bool kept_apart;    /* an engine was left out because a suspect runs there */
};

static void options_init (struct options *options);
static void options_clear (struct options *options);
static void view_clear (gpointer data);
static void list_allowed (const struct kcp_request *request, enum kcp_member_kind kind,
                          const char *want, GArray *allowed_views);
static bool
allowed (const struct kcp_request *request, const struct kcp_backend_view *view,
         const char *want, const char *have);
static void keep_apart (struct kcp_request *request, struct options *options);
static uint64_t server_at (const struct options *options, guint index);
static void add_engines (struct kcp_request *request, struct options *options);
static struct kcp_placement_candidate
make_engine (const struct kcp_request *request, const struct kcp_backend_view *view,
             const GArray *chain, int64_t prompt_tokens);
static struct kcp_placement_candidate
make_service (const struct kcp_request *request, const struct kcp_backend_view *view);
static GArray *make_chain (const struct kcp_request *request, const char *weights);
static void refuse_without_place (const struct kcp_request *request, const char *want,
                                  struct kcp_error *error);

/* Chooses the engine of a completion. regardless says that it does not wait for a place.
   KCP_CHOSEN comes with a choice, KCP_CHOOSE_NONE with an error that says not_run. */
enum kcp_choose_result
kcp_choose_engine (struct kcp_request *request, bool regardless,
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
  struct options options;
  int chosen;

  options_init (&options);
  add_engines (request, &options);
  chosen = kcp_placement_choose (
      &placement, (struct kcp_placement_candidate *)(void *)options.candidates->data,
      options.candidates->len, &request->router->costs);
  if (chosen == KCP_PLACEMENT_NONE)
    {
      if (options.kept_apart)
        result = KCP_CHOOSE_WAIT;
      else
        refuse_without_place (request, request->completion.prompt.model, error);
      goto out;
    }
  candidate = &g_array_index (options.candidates, struct kcp_placement_candidate,
                              (guint)chosen);
  view = &g_array_index (options.views, struct kcp_backend_view, (guint)chosen);
  result = KCP_CHOOSE_WAIT;
  if (!regardless && !kcp_placement_has_place (candidate))
    {
      kcp_engine_facts_add_held (request->router->facts, view->backend->hash);
      goto out;
    }
  result = KCP_CHOSEN;
  *choice = (struct kcp_choice){
    .backend = kcp_backend_ref (view->backend),
    .incarnation = kcp_engine_facts_incarnation (view->report.incarnation),
    .uncached_tokens = placement.prompt_tokens - candidate->cached_tokens,
  };
out:
  options_clear (&options);
  return result;
}

/* Returns a reference to a server of the plain service, or NULL with an error that says
   not_run. */
struct kcp_backend *
kcp_choose_service (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_placement_request placement = { .prefix_head = kcp_id_random_u64 () };
  struct kcp_backend *backend = NULL;
  struct options options;
  int chosen;

  options_init (&options);
  list_allowed (request, KCP_MEMBER_SERVICE, request->call->service, options.views);
  for (guint i = 0; i < options.views->len; i++)
    {
      struct kcp_placement_candidate candidate = make_service (
          request, &g_array_index (options.views, struct kcp_backend_view, i));

      g_array_append_val (options.candidates, candidate);
    }
  chosen = kcp_placement_choose (
      &placement, (struct kcp_placement_candidate *)(void *)options.candidates->data,
      options.candidates->len, &request->router->costs);
  if (chosen == KCP_PLACEMENT_NONE)
    refuse_without_place (request, request->call->service, error);
  else if (!kcp_placement_has_place (&g_array_index (
               options.candidates, struct kcp_placement_candidate, (guint)chosen)))
    {
      kcp_error_set (error, KCP_ERR_OVERLOADED, STEP, NULL,
                     "all places at %u servers are taken", options.candidates->len);
      error->retry_after_s = RETRY_AFTER_S;
    }
  else
    backend = kcp_backend_ref (
        g_array_index (options.views, struct kcp_backend_view, (guint)chosen).backend);
  options_clear (&options);
  return backend;
}

static void
options_init (struct options *options)
{
  options->kept_apart = false;
  options->views = g_array_new (FALSE, FALSE, sizeof (struct kcp_backend_view));
  options->candidates
      = g_array_new (FALSE, FALSE, sizeof (struct kcp_placement_candidate));
  g_array_set_clear_func (options->views, view_clear);
}

static void
options_clear (struct options *options)
{
  g_array_unref (options->views);
  g_array_unref (options->candidates);
}

static void
view_clear (gpointer data)
{
  kcp_backend_unref (((struct kcp_backend_view *)data)->backend);
}

static void
list_allowed (const struct kcp_request *request, enum kcp_member_kind kind,
              const char *want, GArray *allowed_views)
{
  g_autoptr (GArray) views = kcp_registry_view (request->router->registry, kind);

  for (guint i = 0; i < views->len; i++)
    {
      struct kcp_backend_view view = g_array_index (views, struct kcp_backend_view, i);
      const char *have
          = kind == KCP_MEMBER_ENGINE ? view.backend->model : view.backend->service;

      if (!allowed (request, &view, want, have))
        continue;
      kcp_backend_ref (view.backend);
      g_array_append_val (allowed_views, view);
    }
}

static bool
allowed (const struct kcp_request *request, const struct kcp_backend_view *view,
         const char *want, const char *have)
{
  const struct kcp_profile *profile = request->profile;
  GQuark data_center = view->backend->data_center;

  if (view->state != KCP_BACKEND_LIVE || g_strcmp0 (want, have) != 0
      || kcp_request_has_tried (request, view->backend->id))
    return false;
  if (!kcp_dc_set_has (&profile->compute_in, data_center)
      || !kcp_dc_set_has (&profile->prompt_in, data_center))
    return false;
  return view->backend->kind != KCP_MEMBER_ENGINE
         || kcp_dc_set_has (&profile->cache_in, data_center);
}

/* Leaves out the engines on which another suspect runs, and those at which other VMs run
   suspects, unless there are no others. */
static void
keep_apart (struct kcp_request *request, struct options *options)
{
  g_autoptr (GArray) vms = kcp_isolate_vms (request);
  bool has_home = false;

  for (guint i = 0; i < options->views->len; i++)
    has_home = has_home || kcp_isolate_is_home (vms, server_at (options, i));
  for (guint i = options->views->len; i > 0; i--)
    {
      uint64_t server = server_at (options, i - 1);

      if (!kcp_suspects_runs (request->router->suspects, server)
          && (!has_home || kcp_isolate_is_home (vms, server)))
        continue;
      options->kept_apart = true;
      g_array_remove_index (options->views, i - 1);
    }
}

static uint64_t
server_at (const struct options *options, guint index)
{
  return g_array_index (options->views, struct kcp_backend_view, index).backend->hash;
}

/* The identities of the prompt's blocks depend on the weights, of which there are mostly
   one version at a time. */
static void
add_engines (struct kcp_request *request, struct options *options)
{
  const GString *text = request->completion.prompt.text;
  int64_t prompt_tokens = kcp_prefix_tokens ((struct kcp_str){ text->str, text->len });
  g_autoptr (GArray) chain = NULL;
  const char *weights = NULL;

  list_allowed (request, KCP_MEMBER_ENGINE, request->completion.prompt.model,
                options->views);
  if (request->completion.suspect)
    keep_apart (request, options);
  for (guint i = 0; i < options->views->len; i++)
    {
      const struct kcp_backend_view *view
          = &g_array_index (options->views, struct kcp_backend_view, i);
      struct kcp_placement_candidate candidate;

      if (weights == NULL || strcmp (weights, view->report.weights) != 0)
        {
          weights = view->report.weights;
          g_clear_pointer (&chain, g_array_unref);
          chain = make_chain (request, weights);
        }
      candidate = make_engine (request, view, chain, prompt_tokens);
      g_array_append_val (options->candidates, candidate);
    }
}

static struct kcp_placement_candidate
make_engine (const struct kcp_request *request, const struct kcp_backend_view *view,
             const GArray *chain, int64_t prompt_tokens)
{
  const struct kcp_router *router = request->router;
  const struct kcp_backend_report *report = &view->report;
  enum kcp_class class = request->profile->class;
  int64_t leading = kcp_engine_facts_leading (router->facts, view, chain);
  int64_t in_flight = report->running + report->waiting + view->since_report;
  int64_t limit = kcp_engine_facts_limit (router->facts, view);
  int64_t turns = kcp_engine_facts_held (router->facts, view->backend->hash) + 1;

  if (class == KCP_CLASS_URGENT)
    limit += URGENT_EXTRA;
  return (struct kcp_placement_candidate){
    .hash = view->backend->hash,
    .queued_tokens = report->waiting_tokens,
    .report_age_ns = kcp_clock_monotonic_ns (router->clock) - report->arrived_ns,
    .sent_tokens = view->sent_tokens,
    .in_flight = MAX (in_flight, 0),
    .limit = limit,
    .place_wait_ns = in_flight < limit ? 0
                                       : turns * kcp_admit_run_ns (router->admit, class)
                                             / (view->in_flight + 1),
    .cached_tokens = MIN (leading * KCP_BLOCK_TOKENS, prompt_tokens),
  };
}

static struct kcp_placement_candidate
make_service (const struct kcp_request *request, const struct kcp_backend_view *view)
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
refuse_without_place (const struct kcp_request *request, const char *want,
                      struct kcp_error *error)
{
  kcp_error_set (error, KCP_ERR_NO_SERVER, STEP, NULL,
                 "profile %s allows no live backend server for %s",
                 request->profile->name, want);
  error->retry_after_s = RETRY_AFTER_S;
}
