#include "request/problem.h"

#define TYPE_PREFIX "urn:kingcuppoint:problem:"

/* Returns a new problem document that describes an error. request_id may be NULL. */
json_t *
kcp_problem_new (const struct kcp_error *error, const char *request_id)
{
  g_autofree char *type = g_strconcat (TYPE_PREFIX, kcp_error_slug (error->code), NULL);
  json_t *document = json_object ();

  json_object_set_new (document, "type", json_string (type));
  json_object_set_new (document, "title", json_string (kcp_error_title (error->code)));
  json_object_set_new (document, "status",
                       json_integer (kcp_error_http_status (error->code)));
  json_object_set_new (document, "detail", json_string (error->detail));
  json_object_set_new (document, "execution",
                       json_string (kcp_execution_name (error->execution)));
  json_object_set_new (document, "step", json_string (error->step));
  if (error->peer[0] != '\0')
    json_object_set_new (document, "peer", json_string (error->peer));
  if (request_id != NULL)
    json_object_set_new (document, "request", json_string (request_id));
  if (error->retry_after_s > 0)
    json_object_set_new (document, "retry_after", json_integer (error->retry_after_s));
  return document;
}
