/* Keeps a stream at the software version that began it: within one answer, and when its
   caller resumes it. */
#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/forward_private.h"
#include "forward/software_versions.h"

static void on_looked_up (void *user, const struct kcp_resume_found *found);
static void
log_resumed (const struct kcp_forward *forward, const struct kcp_resume_found *found);
static void refuse (struct kcp_forward *forward);
static bool set_service (struct kcp_forward *forward, uint64_t service);

/* If the caller resumes a stream, looks for the version that began it and goes on with
   the request when that is known. Another VM that passed it on has done so. Returns false
   if the request may go on at once, at any version. */
bool
kcp_forward_look_up_version (struct kcp_forward *forward)
{
  struct kcp_resume_lookups *lookups = forward->gateway->resume_lookups;

  if (lookups == NULL || forward->choice.bound || !kcp_forward_is_resumed (forward))
    return false;
  kcp_resume_lookup_start (lookups, &forward->lookup, forward->inbound->resumed_id,
                           forward->choice.route, on_looked_up, forward);
  return true;
}

/* If the caller resumes a stream, has the events dropped that it says it has. A server
   may send them again. */
void
kcp_forward_skip_known_events (struct kcp_forward *forward)
{
  const char *after = forward->inbound->resume_after;

  if (after != NULL && kcp_forward_is_resumed (forward))
    kcp_event_framer_start_after (&forward->framer, after);
}

/* Returns the id of the last event that the caller has, or NULL. */
const char *
kcp_forward_last_event (const struct kcp_forward *forward)
{
  const GString *last_id = forward->framer.last_id;

  return last_id->len > 0 ? last_id->str : forward->inbound->resume_after;
}

/* Returns true if the caller resumes a stream of which it has events. */
bool
kcp_forward_is_resumed (const struct kcp_forward *forward)
{
  const struct kcp_inbound *inbound = forward->inbound;

  return forward->choice.route->repeat == KCP_REPEAT_RESUMABLE
         && (inbound->resumed_id != NULL || inbound->resume_after != NULL);
}

/* Goes on as was decided. */
static void
on_looked_up (void *user, const struct kcp_resume_found *found)
{
  struct kcp_forward *forward = user;

  log_resumed (forward, found);
  if (found->decision == KCP_RESUME_PASS_ON)
    {
      forward->version_unknown = true;
      kcp_forward_leave_to_other_vm (forward);
      return;
    }
  if (found->decision == KCP_RESUME_REFUSE
      || !set_service (forward, found->origin.service))
    {
      refuse (forward);
      return;
    }
  forward->choice.bound = true;
  forward->choice.software = found->origin.software;
  kcp_forward_send_next (forward);
}

/* Passes a request on whose version this VM cannot find out, or refuses it if there is no
   further VM. This one never sends it to a server. */
void
kcp_forward_leave_to_other_vm (struct kcp_forward *forward)
{
  if (!kcp_forward_pass_on (forward))
    refuse (forward);
}

static void
refuse (struct kcp_forward *forward)
{
  kcp_counter_add (KCP_COUNT_RESUMES_REFUSED, 1);
  kcp_forward_refuse (forward, "version_not_known");
}

static void
log_resumed (const struct kcp_forward *forward, const struct kcp_resume_found *found)
{
  int64_t now = kcp_loop_now (forward->gateway->loop);
  char software[KCP_SOFTWARE_TEXT_SIZE];

  KCP_LOG ("resumed", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("resumes", forward->inbound->resumed_id),
           KCP_LOG_TEXT ("after", forward->inbound->resume_after),
           KCP_LOG_TEXT ("decision", kcp_resume_decision_name (found->decision)),
           KCP_LOG_TEXT ("software_key",
                         kcp_software_key_text (found->origin.software, software)),
           KCP_LOG_INT ("store_answered", found->store_answered),
           KCP_LOG_INT ("versions", found->versions),
           KCP_LOG_INT ("ms", (now - forward->arrived_ns) / KCP_NS_PER_MS));
}

/* Chooses the service of the route in which the stream began. Returns false if the route
   has none such. */
static bool
set_service (struct kcp_forward *forward, uint64_t service)
{
  const GArray *targets = forward->choice.route->targets;

  for (guint i = 0; i < targets->len; i++)
    {
      const char *name = g_array_index (targets, struct kcp_target, i).service;

      if (kcp_software_key (name) != service)
        continue;
      forward->choice.service = name;
      return true;
    }
  return false;
}

/* Notes the version to which an attempt is sent: it is in service. */
void
kcp_forward_note_sent (struct kcp_forward *forward)
{
  const struct kcp_server *server = forward->attempt.server;

  forward->attempt.software = kcp_software_key (server->entry.software);
  if (forward->choice.route->repeat == KCP_REPEAT_RESUMABLE && !forward->choice.bound)
    kcp_software_versions_note (forward->gateway->software_versions, server);
}

/* Has further attempts sent only to servers with the version of the present one, whose
   first event the caller is about to get. Other VMs need to know which version began a
   stream that its caller may resume; of one that was passed on, the VM that sent it to
   the server notes it. */
void
kcp_forward_bind_version (struct kcp_forward *forward)
{
  struct kcp_choice *choice = &forward->choice;
  struct kcp_stream_origin origin = {
    .service = kcp_software_key (choice->service),
    .software = forward->attempt.software,
  };
  struct kcp_stream_origin other;

  if (!choice->bound && choice->route->repeat == KCP_REPEAT_RESUMABLE
      && !forward->attempt.passed_on)
    kcp_stream_records_note (
        forward->gateway->stream_records, forward->inbound->id, &origin,
        kcp_software_versions_of_route (forward->gateway->software_versions,
                                        choice->route, &other)
            > 1);
  choice->bound = true;
  choice->software = forward->attempt.software;
}
