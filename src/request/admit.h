/* The completions that wait for a place at an engine. A request that finds a place starts
   on the thread that brought it; the others are started by a thread of this module. */
#ifndef KCP_REQUEST_ADMIT_H
#define KCP_REQUEST_ADMIT_H

#include "request/choose.h"

struct kcp_admit;

enum kcp_admit_result
{
  KCP_ADMIT_PLACED, /* the choice is to be used at once */
  KCP_ADMIT_QUEUED, /* one of the events follows */
  KCP_ADMIT_REFUSED /* the error says why */
};

/* What becomes of a request that waited, told with its lock held. */
struct kcp_admit_events
{
  /* The choice's reference is taken over. */
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
void kcp_admit_wake (void *admit);

#endif
