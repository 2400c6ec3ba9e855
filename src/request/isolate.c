#include "request/isolate.h"

#include <string.h>
#include <xxhash.h>

#include "request/request_end.h"

#define STEP "isolate"

/* The end of a request that waits until the other VMs know that it is blocked. */
struct pending_failure
{
  struct kcp_request *request; /* a reference */
  struct kcp_error error;
};

static void fail_pending (void *user);
static void add_hash (GArray *vms, const char *id);

/* Computes the request's fingerprint from team and body, so that repeats through any VM
   have the same one. */
void
kcp_isolate_init (struct kcp_request *request)
{
  const GString *body = request->call->body;

  request->completion.fingerprint = kcp_quarantine_fingerprint (
      kcp_str_from_c (request->team->name), (struct kcp_str){ body->str, body->len });
}

/* Returns true, with an error, if the request crashed two engines, through this VM or
   others. Also updates whether the request is a suspect, which has to run apart from
   other suspects. */
bool
kcp_isolate_is_blocked (struct kcp_request *request, struct kcp_error *error)
{
  enum kcp_quarantine_state state
      = kcp_suspects_state (request->router->suspects, request->completion.fingerprint);

  request->completion.suspect = state == KCP_QUARANTINE_SUSPECT;
  if (state != KCP_QUARANTINE_BLOCKED)
    return false;
  kcp_error_set (error, KCP_ERR_QUARANTINED, STEP, NULL,
                 "two engines crashed while they ran this request");
  error->execution = request->execution;
  kcp_timeline_add (request->router->timeline, KCP_EVENT_QUARANTINED, request->id, NULL,
                    0);
  return true;
}

/* Returns the hashes of the ids of all live VMs, this VM's first. */
GArray *
kcp_isolate_live_vms (struct kcp_request *request)
{
  const struct kcp_router *router = request->router;
  const struct kcp_vm_source *source = &router->vm_source;
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  json_t *others = source->list != NULL ? source->list (source->user) : NULL;
  json_t *other;
  size_t i;

  add_hash (vms, router->settings->vm_id);
  json_array_foreach (others, i, other)
  {
    const char *state = json_string_value (json_object_get (other, "state"));

    if (g_strcmp0 (state, "alive") == 0)
      add_hash (vms, json_string_value (json_object_get (other, "vm")));
  }
  json_decref (others);
  return vms;
}

/* Returns true if this VM, the first of vms, is the one that runs suspects at the
   server. */
bool
kcp_isolate_is_responsible (const GArray *vms, uint64_t server)
{
  return kcp_quarantine_is_responsible (server, (const uint64_t *)(const void *)vms->data,
                                        vms->len, 0);
}

/* Reserves an engine for a suspect. Returns false if another suspect has reserved it in
   the meantime. A request that is not a suspect needs no reservation: nothing is
   reserved, and true is returned. */
bool
kcp_isolate_reserve (struct kcp_request *request, uint64_t server)
{
  if (!request->completion.suspect)
    return true;
  if (!kcp_suspects_reserve_server (request->router->suspects, server))
    return false;
  request->completion.reserved_engine = server;
  return true;
}

/* Releases the request's reservation, if it has one. */
void
kcp_isolate_release (struct kcp_request *request)
{
  if (request->completion.reserved_engine != 0)
    kcp_suspects_release_server (request->router->suspects,
                                 request->completion.reserved_engine);
  request->completion.reserved_engine = 0;
}

/* Fails a request that has crashed engines, as soon as the other VMs know that it is
   blocked: its caller may send it to any of them at once. */
void
kcp_isolate_fail (struct kcp_request *request, const struct kcp_error *error)
{
  struct pending_failure *failure = g_new0 (struct pending_failure, 1);

  failure->request = kcp_request_ref (request);
  failure->error = *error;
  if (kcp_suspects_deliver (request->router->suspects, request->completion.fingerprint,
                            fail_pending, failure))
    return;
  kcp_request_fail (request, error);
  kcp_request_unref (request);
  g_free (failure);
}

/* A kcp_suspects_delivered. The request may have ended in the meantime, by its deadline
   or by its caller. */
static void
fail_pending (void *user)
{
  struct pending_failure *failure = user;

  pthread_mutex_lock (&failure->request->lock);
  kcp_request_fail (failure->request, &failure->error);
  pthread_mutex_unlock (&failure->request->lock);
  kcp_request_unref (failure->request);
  g_free (failure);
}

/* Handles a failed attempt at a server. A request that was interrupted at an engine is
   recorded as a suspect once a later attempt shows that this engine has crashed. */
void
kcp_isolate_on_failure (struct kcp_request *request, uint64_t server,
                        enum kcp_isolate_failure failure)
{
  switch (failure)
    {
    case KCP_ISOLATE_INTERRUPTED:
      request->completion.interrupted_engine = server;
      request->completion.interrupted_incarnation = request->completion.incarnation;
      break;
    case KCP_ISOLATE_DEAD:
      if (request->completion.interrupted_engine != server)
        break;
      request->completion.interrupted_engine = 0;
      kcp_suspects_add_crash (request->router->suspects, request->completion.fingerprint,
                              request->completion.interrupted_incarnation);
      break;
    case KCP_ISOLATE_OTHER:
      break;
    }
}

static void
add_hash (GArray *vms, const char *id)
{
  uint64_t hash = XXH3_64bits (id, strlen (id));

  g_array_append_val (vms, hash);
}
