#include "forward/caller_head.h"

#include <string.h>

/* What is wrong with a request's head. */
struct head_check
{
  struct kcp_inbound *inbound;
  const struct kcp_dialect *dialect;
  const char *dropped; /* names that concern only this connection, or NULL */
  unsigned lengths;
  unsigned encodings;
  const char *problem;
};

static enum MHD_Result
take_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value);
static bool is_token (const char *text);
static bool is_dropped (const struct head_check *check, const char *name);
static bool names_token (const char *list, const char *name);

/* Takes in the request's method, host and headers. Returns what is wrong with them, or
   NULL. A body whose end is in doubt is wrong, since the next request begins there. */
const char *
kcp_caller_head_read (struct MHD_Connection *connection,
                      const struct kcp_dialect *dialect, const char *method,
                      struct kcp_inbound *inbound)
{
  struct head_check check = {
    .inbound = inbound,
    .dialect = dialect,
    .dropped = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                            MHD_HTTP_HEADER_CONNECTION),
  };

  inbound->method = g_strdup (method);
  inbound->host = g_strdup (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST));
  MHD_get_connection_values (connection, MHD_HEADER_KIND, take_header, &check);
  if (check.lengths > 1 || check.encodings > 1 || (check.lengths > 0 && check.encodings))
    check.problem = "unclear_length";
  return check.problem;
}

/* Sorts one header into what the router reads, what concerns only this connection, and
   what is passed on. */
static enum MHD_Result
take_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct head_check *check = user;
  g_autofree char *line = NULL;

  (void)kind;
  if (value == NULL)
    value = "";
  if (!is_token (key))
    check->problem = "bad_header_name";
  if (g_ascii_strcasecmp (key, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    check->lengths++;
  if (g_ascii_strcasecmp (key, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      check->encodings++;
      if (g_ascii_strcasecmp (value, "chunked") != 0)
        check->problem = "unknown_transfer_encoding";
    }
  if (check->dialect->read_request_header (check->inbound, key, value))
    return MHD_YES;
  if (is_dropped (check, key))
    return MHD_YES;
  line = value[0] != '\0' ? g_strdup_printf ("%s: %s", key, value)
                          : g_strdup_printf ("%s;", key);
  check->inbound->forwarded = curl_slist_append (check->inbound->forwarded, line);
  return MHD_YES;
}

static bool
is_token (const char *text)
{
  const char *extra = "!#$%&'*+-.^_`|~";

  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr (extra, *c) == NULL)
      return false;
  return text[0] != '\0';
}

static bool
is_dropped (const struct head_check *check, const char *name)
{
  static const char *const names[] = {
    MHD_HTTP_HEADER_CONNECTION,
    MHD_HTTP_HEADER_TRANSFER_ENCODING,
    MHD_HTTP_HEADER_CONTENT_LENGTH,
    MHD_HTTP_HEADER_EXPECT,
    MHD_HTTP_HEADER_TE,
    MHD_HTTP_HEADER_TRAILER,
    MHD_HTTP_HEADER_UPGRADE,
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authorization",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return check->dropped != NULL && g_ascii_strcasecmp (name, MHD_HTTP_HEADER_HOST) != 0
         && names_token (check->dropped, name);
}

/* Tells whether a comma-separated list names the token. */
static bool
names_token (const char *list, const char *name)
{
  g_auto (GStrv) items = g_strsplit (list, ",", -1);

  for (char **item = items; *item != NULL; item++)
    if (g_ascii_strcasecmp (g_strstrip (*item), name) == 0)
      return true;
  return false;
}
