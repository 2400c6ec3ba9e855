/* Reads the header lines of an answer as libcurl delivers them: those of interim (1xx)
   answers, of the answer itself, and of a chunked body's trailer. Only the lines of the
   answer itself count. Not thread-safe. */
#ifndef KCP_BASE_HTTP_HEAD_H
#define KCP_BASE_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

/* How the end of an answer's body is marked. */
enum kcp_http_framing
{
  KCP_HTTP_FRAMING_NONE, /* no answer was received */
  KCP_HTTP_FRAMING_LENGTH,
  KCP_HTTP_FRAMING_CHUNKED,
  KCP_HTTP_FRAMING_CLOSE, /* by the end of the connection */
  KCP_HTTP_FRAMING_COUNT
};

/* Zeroed before the first line. */
struct kcp_http_head
{
  enum kcp_http_framing framing;
  bool interim;  /* the head that is being received is that of an interim answer */
  bool complete; /* of the answer itself */
  size_t bytes;  /* of all lines */
};

enum kcp_http_line_kind
{
  KCP_HTTP_LINE_TOO_LONG, /* the lines together are longer than is accepted */
  KCP_HTTP_LINE_BEGIN,    /* a status line */
  KCP_HTTP_LINE_HEADER,
  KCP_HTTP_LINE_END, /* the blank line after the answer's head */
  KCP_HTTP_LINE_IGNORED
};

/* A line that was read. */
struct kcp_http_line
{
  enum kcp_http_line_kind kind;
  struct kcp_str name; /* KCP_HTTP_LINE_HEADER */
  struct kcp_str value;
};

struct kcp_http_line kcp_http_head_read (struct kcp_http_head *head, struct kcp_str line);
const char *kcp_http_framing_name (enum kcp_http_framing framing);

bool kcp_http_status_is_final (long status);

#endif
