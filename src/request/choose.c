#include "request/choose.h"

#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"

#define STEP          "place"
#define RETRY_AFTER_S 1

static bool
allowed (const struct kcp_request *request, const struct kcp_backend_view *view,
         const char *want, const char *have);
static struct kcp_placement_candidate
make_candidate (const struct kcp_request *request, const struct kcp_backend_view *view);
static struct kcp_backend *
choose (struct kcp_request *request, enum kcp_member_kind kind, const char *want,
        const struct kcp_placement_request *placement, struct kcp_error *error);

/* Returns a reference to the engine for a completion, or NULL with an error that says
   not_run. */
struct kcp_backend *
kcp_choose_engine (struct kcp_request *request, struct kcp_error *error)
{
  const GString *text = request->prompt.text;
  struct kcp_placement_request placement = {
    .prefix_head = request->block_hashes->len > 0
                       ? g_array_index (request->block_hashes, uint64_t, 0)
                       : XXH3_64bits (text->str, text->len),
    .prompt_tokens = kcp_prefix_tokens ((struct kcp_str){ text->str, text->len }),
  };

  return choose (request, KCP_MEMBER_ENGINE, request->prompt.model, &placement, error);
}

/* Returns a reference to a server of the plain service, or NULL with an error that says
   not_run. */
struct kcp_backend *
kcp_choose_service (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_placement_request placement = { .prefix_head = kcp_id_random_u64 () };

  return choose (request, KCP_MEMBER_SERVICE, request->call->service, &placement, error);
}

static struct kcp_backend *
choose (struct kcp_request *request, enum kcp_member_kind kind, const char *want,
        const struct kcp_placement_request *placement, struct kcp_error *error)
{
  g_autoptr (GArray) views = kcp_registry_view (request->router->registry, kind);
  g_autoptr (GArray) candidates
      = g_array_new (FALSE, FALSE, sizeof (struct kcp_placement_candidate));
  g_autoptr (GPtrArray) backends = g_ptr_array_new ();
  int chosen;

  for (guint i = 0; i < views->len; i++)
    {
      const struct kcp_backend_view *view
          = &g_array_index (views, struct kcp_backend_view, i);
      const char *have
          = kind == KCP_MEMBER_ENGINE ? view->backend->model : view->backend->service;
      struct kcp_placement_candidate candidate = make_candidate (request, view);

      if (!allowed (request, view, want, have))
        continue;
      g_array_append_val (candidates, candidate);
      g_ptr_array_add (backends, view->backend);
    }
  if (candidates->len == 0)
    {
      kcp_error_set (error, KCP_ERR_NO_PLACE, STEP, NULL,
                     "profile %s allows no live backend server for %s",
                     request->profile->name, want);
      error->retry_after_s = RETRY_AFTER_S;
      return NULL;
    }
  chosen = kcp_placement_choose (placement,
                                 (struct kcp_placement_candidate *)candidates->data,
                                 candidates->len, &request->router->costs);
  if (chosen == KCP_PLACEMENT_NONE)
    {
      kcp_error_set (error, KCP_ERR_OVERLOADED, STEP, NULL,
                     "all places at %u servers are taken", candidates->len);
      error->retry_after_s = RETRY_AFTER_S;
      return NULL;
    }
  return kcp_backend_ref (g_ptr_array_index (backends, (guint)chosen));
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

static struct kcp_placement_candidate
make_candidate (const struct kcp_request *request, const struct kcp_backend_view *view)
{
  return (struct kcp_placement_candidate){
    .hash = view->backend->hash,
    .queued_tokens = view->report.waiting_tokens,
    .sent_tokens = view->sent_tokens,
    .in_flight = view->in_flight,
    .limit = request->router->settings->backends_concurrency,
  };
}
