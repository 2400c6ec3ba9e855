#include "base/http_head.h"

#include <string.h>

#define STATUS_LINE_PREFIX "HTTP/"
#define INTERIM_CLASS      '1' /* first digit of the status of an interim answer */
#define STATUS_FINAL_MIN   200 /* those below are of interim answers */
#define STATUS_MAX         599
/* Bytes of all lines. A caller's connection has about as much room for the head that is
   relayed. */
#define HEAD_MAX_BYTES (16u << 10)

static const char *const framing_names[KCP_HTTP_FRAMING_COUNT] = {
  [KCP_HTTP_FRAMING_NONE] = "none",
  [KCP_HTTP_FRAMING_LENGTH] = "length",
  [KCP_HTTP_FRAMING_CHUNKED] = "chunks",
  [KCP_HTTP_FRAMING_CLOSE] = "close",
};

static struct kcp_http_line
begin_head (struct kcp_http_head *head, struct kcp_str status_line);
static struct kcp_http_line end_head (struct kcp_http_head *head);
static struct kcp_http_line
read_header (struct kcp_http_head *head, struct kcp_str line, size_t name_len);
static void
read_framing (struct kcp_http_head *head, struct kcp_str name, struct kcp_str value);

/* Reads the next line, with or without its line end. */
struct kcp_http_line
kcp_http_head_read (struct kcp_http_head *head, struct kcp_str line)
{
  const char *colon = memchr (line.data, ':', line.len);

  head->bytes += line.len;
  if (head->bytes > HEAD_MAX_BYTES)
    return (struct kcp_http_line){ .kind = KCP_HTTP_LINE_TOO_LONG };
  if (head->complete) /* a trailer */
    return (struct kcp_http_line){ .kind = KCP_HTTP_LINE_IGNORED };
  if (kcp_str_has_prefix (line, KCP_STR (STATUS_LINE_PREFIX)))
    return begin_head (head, line);
  if (kcp_str_trim (line).len == 0)
    return end_head (head);
  if (colon != NULL)
    return read_header (head, line, (size_t)(colon - line.data));
  return (struct kcp_http_line){ .kind = KCP_HTTP_LINE_IGNORED };
}

/* Returns the name that the log uses for framing. */
const char *
kcp_http_framing_name (enum kcp_http_framing framing)
{
  return framing_names[framing];
}

static struct kcp_http_line
begin_head (struct kcp_http_head *head, struct kcp_str status_line)
{
  const char *space = memchr (status_line.data, ' ', status_line.len);
  size_t at = space != NULL ? (size_t)(space - status_line.data) + 1 : status_line.len;

  head->interim = at < status_line.len && status_line.data[at] == INTERIM_CLASS;
  head->framing = KCP_HTTP_FRAMING_CLOSE;
  return (struct kcp_http_line){ .kind = KCP_HTTP_LINE_BEGIN };
}

static struct kcp_http_line
end_head (struct kcp_http_head *head)
{
  head->complete = !head->interim;
  return (struct kcp_http_line){ .kind = head->complete ? KCP_HTTP_LINE_END
                                                        : KCP_HTTP_LINE_IGNORED };
}

static struct kcp_http_line
read_header (struct kcp_http_head *head, struct kcp_str line, size_t name_len)
{
  struct kcp_http_line header = {
    .kind = KCP_HTTP_LINE_HEADER,
    .name = { .data = line.data, .len = name_len },
    .value = kcp_str_trim (kcp_str_skip (line, name_len + 1)),
  };

  read_framing (head, header.name, header.value);
  return header;
}

/* Notes how the end of the body is marked. Chunks take precedence over a length. A length
   that no int64_t holds marks nothing: libcurl reads such a body up to the end of its
   connection. */
static void
read_framing (struct kcp_http_head *head, struct kcp_str name, struct kcp_str value)
{
  int64_t length;

  if (kcp_str_equals_ignoring_case (name, "Transfer-Encoding")
      && kcp_str_equals_ignoring_case (value, "chunked"))
    head->framing = KCP_HTTP_FRAMING_CHUNKED;
  else if (kcp_str_equals_ignoring_case (name, "Content-Length")
           && head->framing == KCP_HTTP_FRAMING_CLOSE
           && kcp_str_to_int64 (value, &length))
    head->framing = KCP_HTTP_FRAMING_LENGTH;
}

/* Returns true if the status is one of a final answer. Statuses have three digits, of
   which the first is 1 to 5, and those that begin with 1 are of interim answers (RFC
   9110, section 15). What bears any other one is no answer in the protocol: a server in
   trouble sent 000 as its status. */
bool
kcp_http_status_is_final (long status)
{
  return status >= STATUS_FINAL_MIN && status <= STATUS_MAX;
}
