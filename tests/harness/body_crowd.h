/* A crowd of callers that send request bodies which never end, or which exceed the limit
   on bodies, and keep their connections open. */
#ifndef KCP_TESTS_HARNESS_BODY_CROWD_H
#define KCP_TESTS_HARNESS_BODY_CROWD_H

#include <glib.h>
#include <stdbool.h>

#define BODY_CROWD_CALLERS 60u

enum body_crowd_framing
{
  BODY_CROWD_CHUNKED,
  BODY_CROWD_LENGTH /* with a Content-Length */
};

/* What each caller sends after its head. */
struct body_crowd_spec
{
  const char *name;
  enum body_crowd_framing framing;
  size_t piece_bytes;     /* of one chunk, or of one write */
  size_t sent_bytes;      /* of the body; its end is never sent */
  size_t announced_bytes; /* Content-Length, if it has one */
};

struct body_crowd
{
  int fds[BODY_CROWD_CALLERS]; /* -1: closed */
};

void body_crowd_start (struct body_crowd *crowd, int port, const char *head,
                       const struct body_crowd_spec *spec);
void body_crowd_close (struct body_crowd *crowd);

#endif
