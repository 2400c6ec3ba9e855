#include "request/call.h"

/* Creates a call without headers and with an empty body. */
struct kcp_call *
kcp_call_new (enum kcp_call_kind kind, const char *method)
{
  struct kcp_call *call = g_new0 (struct kcp_call, 1);

  call->kind = kind;
  call->method = g_strdup (method);
  call->body = g_string_new (NULL);
  return call;
}

/* Frees a call. call may be NULL. */
void
kcp_call_free (struct kcp_call *call)
{
  if (call == NULL)
    return;
  g_free (call->method);
  g_free (call->service);
  g_free (call->path);
  g_free (call->key);
  g_free (call->profile);
  g_free (call->idempotency_key);
  g_free (call->deadline_ms);
  g_free (call->content_type);
  g_string_free (call->body, TRUE);
  g_free (call);
}
