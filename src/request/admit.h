/* The completions that wait for a place at an engine. A request that finds a place starts
   on the thread that brought it; the others are started by a thread of this module. */
#ifndef KCP_REQUEST_ADMIT_H
#define KCP_REQUEST_ADMIT_H

#include "request/choose.h"

struct kcp_admit;

enum kcp_admit_result
{
  KCP_ADMIT_PLACED, /* the choice is to be used at once */
  KCP_ADMIT_QUEUED, /* kcp_completion_placed() or kcp_completion_refused() follows */
  KCP_ADMIT_REFUSED /* the error says why */
};

struct kcp_admit *kcp_admit_start (struct kcp_router *router);
void kcp_admit_stop (struct kcp_admit *admit);
void kcp_admit_free (struct kcp_admit *admit);
enum kcp_admit_result
kcp_admit_request (struct kcp_admit *admit, struct kcp_request *request,
                   struct kcp_choice *choice, struct kcp_error *error);
void kcp_admit_forget (struct kcp_admit *admit, struct kcp_request *request);
void
kcp_admit_note_answer (struct kcp_admit *admit, enum kcp_class class, int64_t run_ns);
int64_t kcp_admit_run_ns (struct kcp_admit *admit, enum kcp_class class);
void kcp_admit_wake (void *admit);

#endif
