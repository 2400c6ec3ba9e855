/* Admits completions. A request that finds a free slot at an engine starts on the
   calling thread; the others wait in a queue until the thread of this module starts or
   refuses them. */
#ifndef KCP_REQUEST_ADMIT_H
#define KCP_REQUEST_ADMIT_H

#include "request/choose.h"

struct kcp_admit;

enum kcp_admit_result
{
  KCP_ADMIT_PLACED, /* the caller dispatches the choice at once */
  KCP_ADMIT_QUEUED, /* one of the events follows, unless the request is removed */
  KCP_ADMIT_REFUSED /* the error holds the reason */
};

/* Callbacks for requests that waited. They are called with the request's lock held. */
struct kcp_admit_events
{
  /* Takes ownership of the reference in choice. */
  void (*placed) (struct kcp_request *request, struct kcp_choice *choice);
  void (*refused) (struct kcp_request *request, const struct kcp_error *error);
};

struct kcp_admit *
kcp_admit_start (struct kcp_router *router, const struct kcp_admit_events *events);
void kcp_admit_stop (struct kcp_admit *admit);
void kcp_admit_free (struct kcp_admit *admit);
enum kcp_admit_result
kcp_admit_request (struct kcp_admit *admit, struct kcp_request *request,
                   struct kcp_choice *choice, struct kcp_error *error);
void kcp_admit_remove (struct kcp_admit *admit, struct kcp_request *request);
void
kcp_admit_record_answer (struct kcp_admit *admit, enum kcp_class class, int64_t run_ns);
int64_t kcp_admit_mean_run_ns (struct kcp_admit *admit, enum kcp_class class);
void kcp_admit_wake (void *user);

#endif
