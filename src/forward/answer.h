/* The answer to one caller on its way: filled by the request, taken by the server of
 * callers. */
#ifndef KCP_FORWARD_ANSWER_H
#define KCP_FORWARD_ANSWER_H

#include <glib.h>
#include <stdbool.h>

enum kcp_answer_end
{
  KCP_ANSWER_IN_PROGRESS,
  KCP_ANSWER_COMPLETE,
  KCP_ANSWER_INTERRUPTED /* must not look complete to the caller */
};

struct kcp_answer
{
  bool begun; /* status and headers stand */
  bool streaming;
  unsigned status;
  GPtrArray *headers; /* name, value, name, value ... */
  GString *body;      /* what the server of callers has not taken yet */
  enum kcp_answer_end end;
  /* Called after each change. */
  void (*changed) (void *user);
  void *user;
};

void
kcp_answer_init (struct kcp_answer *answer, void (*changed) (void *user), void *user);
void kcp_answer_clear (struct kcp_answer *answer);
void
kcp_answer_add_header (struct kcp_answer *answer, const char *name, const char *value);

#endif
