#include "http/responder.h"

#include <stdlib.h>
#include <string.h>

#include "request/problem.h"

static struct MHD_Response *make_problem (const struct kcp_error *error);
static enum MHD_Result send_response (struct MHD_Connection *connection, unsigned status,
                                      struct MHD_Response *response);

/* Sends a text as the body of a response. */
enum MHD_Result
kcp_responder_send_text (struct MHD_Connection *connection, unsigned status,
                         const char *content_type, struct kcp_str text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      text.len, (void *)text.data, MHD_RESPMEM_MUST_COPY);

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  return send_response (connection, status, response);
}

/* Sends a JSON document and steals the reference to it. etag may be NULL. */
enum MHD_Result
kcp_responder_send_json (struct MHD_Connection *connection, unsigned status,
                         json_t *document, const char *etag)
{
  char *text = json_dumps (document, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);

  json_decref (document);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
  if (etag != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_ETAG, etag);
  return send_response (connection, status, response);
}

/* Sends an error as a problem document, with the HTTP status of its code. */
enum MHD_Result
kcp_responder_send_problem (struct MHD_Connection *connection,
                            const struct kcp_error *error)
{
  return send_response (connection, kcp_error_http_status (error->code),
                        make_problem (error));
}

/* Sends an error as a problem document and closes the connection. Used when it is unclear
   where the request ends: the remaining bytes must not be parsed as another request. */
enum MHD_Result
kcp_responder_send_problem_and_close (struct MHD_Connection *connection,
                                      const struct kcp_error *error)
{
  struct MHD_Response *response = make_problem (error);

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  return send_response (connection, kcp_error_http_status (error->code), response);
}

static struct MHD_Response *
make_problem (const struct kcp_error *error)
{
  json_t *problem = kcp_problem_new (error, NULL);
  char *text = json_dumps (problem, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);

  json_decref (problem);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           KCP_PROBLEM_CONTENT_TYPE);
  if (error->retry_after_s > 0)
    {
      g_autofree char *seconds = g_strdup_printf ("%d", error->retry_after_s);

      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
  return response;
}

/* Returns the token of the "Authorization: Bearer" header, or the empty string. */
struct kcp_str
kcp_responder_bearer_token (struct MHD_Connection *connection)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_AUTHORIZATION);
  struct kcp_str text = kcp_str_from_c (value);

  if (text.len < strlen ("Bearer ")
      || g_ascii_strncasecmp (text.data, "Bearer ", strlen ("Bearer ")) != 0)
    return KCP_STR ("");
  return kcp_str_trim (kcp_str_skip (text, strlen ("Bearer ")));
}

static enum MHD_Result
send_response (struct MHD_Connection *connection, unsigned status,
               struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}
