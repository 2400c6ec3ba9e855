/* Chooses the backend server for a request from the state that this VM knows. */
#ifndef KCP_REQUEST_CHOOSE_H
#define KCP_REQUEST_CHOOSE_H

#include "request/request_private.h"

enum kcp_choose_result
{
  KCP_CHOSEN,
  /* The best engine has no free slot, or isolation excludes all engines for now. */
  KCP_CHOOSE_WAIT,
  KCP_CHOOSE_NONE /* no live server is allowed to run it */
};

struct kcp_choice
{
  struct kcp_backend *backend; /* a reference */
  uint64_t incarnation;        /* hash of the engine's incarnation when it was chosen */
  int64_t uncached_tokens; /* prompt tokens to compute, according to the cache index */
};

enum kcp_choose_result
kcp_choose_engine (struct kcp_request *request, bool ignore_limit,
                   struct kcp_choice *choice, struct kcp_error *error);
struct kcp_backend *
kcp_choose_service (struct kcp_request *request, struct kcp_error *error);

#endif
