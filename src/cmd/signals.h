/* Signals that a VM in route mode acts on: SIGTERM, SIGINT and SIGHUP. They are blocked
   from the start of the program and read from a file descriptor, so that one that arrives
   before the VM has started is neither lost nor ends the process. */
#ifndef KCP_CMD_SIGNALS_H
#define KCP_CMD_SIGNALS_H

#include <stdbool.h>

struct kcp_signals
{
  bool reload; /* SIGHUP */
  bool stop;   /* SIGTERM or SIGINT */
};

void kcp_signals_block (void);
int kcp_signals_open (void);
struct kcp_signals kcp_signals_read (int fd);

#endif
