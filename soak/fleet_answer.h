/* Reads the answers that VMs give to the callers of the soak test. */
#ifndef KCP_SOAK_FLEET_ANSWER_H
#define KCP_SOAK_FLEET_ANSWER_H

#include <glib.h>
#include <stdbool.h>

/* How the reading of an answer ended. */
enum fleet_end
{
  FLEET_WHOLE,
  FLEET_CLOSED, /* in order, before its end */
  FLEET_RESET,
  FLEET_TIMEOUT
};

struct fleet_answer
{
  GString *bytes; /* as received */
  GString *body;  /* without its framing */
  int status;     /* 0: no whole head */
  bool by_close;  /* neither a length nor chunks */
  bool closing;   /* Connection: close */
  bool signed_;
  double retry_after_s;
  char id[48];
  enum fleet_end end;
};

void fleet_answer_init (struct fleet_answer *answer);
void fleet_answer_clear (struct fleet_answer *answer);
void fleet_answer_read (struct fleet_answer *answer, int fd, gint64 end_us);

#endif
