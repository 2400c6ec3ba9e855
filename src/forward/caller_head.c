#include "forward/caller_head.h"

#include <string.h>

#include "forward/hop.h"

/* State of the pass over one request's headers. */
struct head_reader
{
  struct kcp_inbound *inbound;
  const struct kcp_dialect *dialect;
  const char *connection_header; /* value of Connection, or NULL */
  unsigned content_lengths;
  unsigned transfer_encodings;
  const char *problem; /* why the head is invalid, or NULL */
};

static enum MHD_Result
read_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value);
static bool is_token (const char *text);
static bool is_hop_by_hop (const struct head_reader *reader, const char *name);
static bool list_contains (const char *list, const char *name);

/* Reads the request's method, host and headers into inbound. Returns the reason why they
   are invalid, or NULL. A request whose body has no unambiguous length is invalid, since
   the next request on the connection begins where the body ends. */
const char *
kcp_caller_head_read (struct MHD_Connection *connection,
                      const struct kcp_dialect *dialect, const char *method,
                      struct kcp_inbound *inbound)
{
  struct head_reader reader = {
    .inbound = inbound,
    .dialect = dialect,
    .connection_header = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                      MHD_HTTP_HEADER_CONNECTION),
  };

  inbound->method = g_strdup (method);
  inbound->host = g_strdup (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST));
  MHD_get_connection_values (connection, MHD_HEADER_KIND, read_header, &reader);
  if (reader.content_lengths > 1 || reader.transfer_encodings > 1
      || (reader.content_lengths > 0 && reader.transfer_encodings))
    reader.problem = "unclear_length";
  return reader.problem;
}

/* Handles one header: the dialect reads it, or it is hop-by-hop and dropped, or it is
   added to the forwarded headers. */
static enum MHD_Result
read_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct head_reader *reader = user;
  g_autofree char *line = NULL;

  (void)kind;
  if (value == NULL)
    value = "";
  if (!is_token (key))
    reader->problem = "bad_header_name";
  if (g_ascii_strcasecmp (key, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    reader->content_lengths++;
  if (g_ascii_strcasecmp (key, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      reader->transfer_encodings++;
      if (g_ascii_strcasecmp (value, "chunked") != 0)
        reader->problem = "unknown_transfer_encoding";
    }
  if (reader->dialect->read_request_header (reader->inbound, key, value))
    return MHD_YES;
  if (is_hop_by_hop (reader, key) || kcp_hop_is_header (key))
    return MHD_YES;
  line = value[0] != '\0' ? g_strdup_printf ("%s: %s", key, value)
                          : g_strdup_printf ("%s;", key);
  reader->inbound->forwarded = curl_slist_append (reader->inbound->forwarded, line);
  return MHD_YES;
}

/* Returns true if text is a token in the sense of HTTP, as a header name must be. */
static bool
is_token (const char *text)
{
  const char *extra = "!#$%&'*+-.^_`|~";

  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr (extra, *c) == NULL)
      return false;
  return text[0] != '\0';
}

/* Returns true if the header concerns only the caller's connection: by its name, or
   because the Connection header lists it. Host is forwarded even if listed there. */
static bool
is_hop_by_hop (const struct head_reader *reader, const char *name)
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
  return reader->connection_header != NULL
         && g_ascii_strcasecmp (name, MHD_HTTP_HEADER_HOST) != 0
         && list_contains (reader->connection_header, name);
}

/* Returns true if a comma-separated list contains the name, ignoring case. */
static bool
list_contains (const char *list, const char *name)
{
  g_auto (GStrv) items = g_strsplit (list, ",", -1);

  for (char **item = items; *item != NULL; item++)
    if (g_ascii_strcasecmp (g_strstrip (*item), name) == 0)
      return true;
  return false;
}
