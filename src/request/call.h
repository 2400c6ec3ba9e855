/* A caller's HTTP call, as parsed by the HTTP layer. */
#ifndef KCP_REQUEST_CALL_H
#define KCP_REQUEST_CALL_H

#include <glib.h>

enum kcp_call_kind
{
  KCP_CALL_CHAT,       /* POST /v1/chat/completions */
  KCP_CALL_COMPLETION, /* POST /v1/completions */
  KCP_CALL_SERVICE     /* any method at /services/NAME/… */
};

/* All strings are owned by the call; absent ones are NULL. */
struct kcp_call
{
  enum kcp_call_kind kind;
  char *method;
  char *service; /* NAME in the path of a service call */
  char *path;    /* the path of a service call after NAME, with its leading slash */
  char *key;     /* the team's API key */
  char *profile;
  char *idempotency_key;
  char *deadline_ms;
  char *content_type;
  GString *body;
};

struct kcp_call *kcp_call_new (enum kcp_call_kind kind, const char *method);
void kcp_call_free (struct kcp_call *call);

#endif
