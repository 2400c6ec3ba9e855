/* Attempts at plain services. The caller's body is forwarded unchanged, and the response
   is collected. */
#include "base/ref.h"
#include "request/attempt_kinds.h"
#include "request/request_private.h"

#define BODY_MAX_BYTES (8u << 20)

static char **make_headers (const struct kcp_attempt *attempt);

/* Initializes the plain part of a new attempt. */
void
kcp_plain_attempt_init (struct kcp_attempt *attempt)
{
  attempt->plain.body = g_string_new (NULL);
}

/* Sends the call to the attempt's server. A call that must not run twice uses a new
   connection, so that a failure to connect proves that the call has not run. */
void
kcp_plain_attempt_send (struct kcp_attempt *attempt,
                        const struct kcp_fetch_events *events)
{
  struct kcp_request *request = attempt->request;
  const struct kcp_settings *settings = request->router->settings;
  const GString *body = request->call->body;
  g_autofree char *url = g_strconcat (attempt->backend->url, request->call->path, NULL);
  g_auto (GStrv) headers = make_headers (attempt);

  kcp_registry_begin_attempt (request->router->registry, attempt->backend, 0);
  attempt->fetch
      = kcp_fetch_start (request->router->fetch_pool,
                         &(struct kcp_fetch_spec){
                             .method = request->call->method,
                             .url = url,
                             .headers = headers,
                             .body = { body->str, body->len },
                             .connect_timeout_ms = settings->backends_connect_timeout_ms,
                             .idle_timeout_ms = settings->backends_idle_timeout_ms,
                             .total_timeout_ms = kcp_request_remaining_ms (request) + 1,
                             .reuse = request->service.claim[0] == '\0',
                             .events = events,
                             .user = kcp_ref_acquire (attempt),
                         });
}

/* Handles a header line of the response; only Content-Type is kept. */
void
kcp_plain_attempt_on_header (struct kcp_attempt *attempt, struct kcp_str line)
{
  struct kcp_str value;

  if (!kcp_str_header_value (line, KCP_STR ("Content-Type"), &value))
    return;
  g_free (attempt->plain.content_type);
  attempt->plain.content_type = kcp_str_dup (value);
}

/* Appends bytes to the response body. Aborts the fetch if the body would exceed
   BODY_MAX_BYTES. */
enum kcp_fetch_flow
kcp_plain_attempt_on_data (struct kcp_attempt *attempt, struct kcp_str data)
{
  GString *body = attempt->plain.body;

  if (body->len + data.len > BODY_MAX_BYTES)
    return KCP_FETCH_ABORT;
  g_string_append_len (body, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

/* Frees the plain part of an attempt, except for what the request has taken over. */
void
kcp_plain_attempt_clear (struct kcp_attempt *attempt)
{
  g_free (attempt->plain.content_type);
  if (attempt->plain.body != NULL)
    g_string_free (attempt->plain.body, TRUE);
}

static char **
make_headers (const struct kcp_attempt *attempt)
{
  const struct kcp_call *call = attempt->request->call;
  GPtrArray *lines = g_ptr_array_new ();

  g_ptr_array_add (lines, g_strconcat (KCP_HEADER_REQUEST ": ", attempt->id, NULL));
  if (call->content_type != NULL)
    g_ptr_array_add (lines, g_strconcat ("Content-Type: ", call->content_type, NULL));
  if (call->idempotency_key != NULL)
    g_ptr_array_add (lines,
                     g_strconcat ("Idempotency-Key: ", call->idempotency_key, NULL));
  g_ptr_array_add (lines, NULL);
  return (char **)g_ptr_array_free (lines, FALSE);
}
