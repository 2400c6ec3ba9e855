/* The answer to one caller's request. The request appends to it, and the caller server
   sends what has been appended. */
#ifndef KCP_FORWARD_ANSWER_H
#define KCP_FORWARD_ANSWER_H

#include <glib.h>
#include <stdbool.h>

#include "forward/hop.h"

enum kcp_answer_end
{
  KCP_ANSWER_IN_PROGRESS,
  KCP_ANSWER_COMPLETE,
  KCP_ANSWER_INTERRUPTED /* the caller must not mistake it for a complete answer */
};

struct kcp_answer
{
  bool begun; /* status and headers are final */
  bool streaming;
  bool close_delimited;     /* if streamed, it ends with the caller's connection */
  enum kcp_hop_end hop_end; /* what a VM that passed the request on is told */
  uint64_t software;        /* version of the server that answered; 0: none did */
  unsigned status;
  GPtrArray *headers; /* name, value, name, value ... */
  GString *body;      /* bytes that the caller server has not sent yet */
  enum kcp_answer_end end;
  /* Called after each change. */
  void (*changed) (void *user);
  void *user;
  /* Called after the caller server has removed bytes from body; NULL: not needed. */
  void (*taken) (void *taken_user);
  void *taken_user;
};

void
kcp_answer_init (struct kcp_answer *answer, void (*changed) (void *user), void *user);
void kcp_answer_clear (struct kcp_answer *answer);
void
kcp_answer_add_header (struct kcp_answer *answer, const char *name, const char *value);

#endif
