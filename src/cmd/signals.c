#include "cmd/signals.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

static sigset_t signal_set (void);

/* Keeps the signals until they are read. Must be called before any thread is started,
   since threads inherit the blocked signals. Also ignores SIGPIPE. */
void
kcp_signals_block (void)
{
  sigset_t set = signal_set ();

  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0)
    abort ();
  (void)signal (SIGPIPE, SIG_IGN);
}

/* Returns a non-blocking file descriptor that is readable while a signal waits. */
int
kcp_signals_open (void)
{
  sigset_t set = signal_set ();
  int fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);

  if (fd < 0)
    abort ();
  return fd;
}

/* Returns the signals that have arrived since the last call. */
struct kcp_signals
kcp_signals_read (int fd)
{
  struct kcp_signals arrived = { 0 };
  struct signalfd_siginfo info;

  while (read (fd, &info, sizeof info) == (ssize_t)sizeof info)
    if (info.ssi_signo == SIGHUP)
      arrived.reload = true;
    else
      arrived.stop = true;
  return arrived;
}

static sigset_t
signal_set (void)
{
  sigset_t set;

  (void)sigemptyset (&set);
  (void)sigaddset (&set, SIGTERM);
  (void)sigaddset (&set, SIGINT);
  (void)sigaddset (&set, SIGHUP);
  return set;
}
