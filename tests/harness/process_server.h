/* A backend server that is a process of its own, so that a test can kill it: the kernel
   then closes its connections, as it does for a real server. It answers requests by a
   script, and the router's own calls by itself. */
#ifndef KCP_TESTS_HARNESS_PROCESS_SERVER_H
#define KCP_TESTS_HARNESS_PROCESS_SERVER_H

#include <stdbool.h>
#include <sys/types.h>

#include "tests/harness/fake_platform.h"

/* What the server does after the body of its answer. */
enum process_server_end
{
  PROCESS_SERVER_CLOSES,    /* the connection, and lives on */
  PROCESS_SERVER_IS_KILLED, /* by SIGKILL */
  /* Killed; the next process has its port and its id at once, but started later. */
  PROCESS_SERVER_RESTARTS,
  /* Killed; the next process has its port at once, and another id. */
  PROCESS_SERVER_IS_REPLACED
};

/* How it answers the router's calls for its report. */
enum process_server_reports
{
  PROCESS_SERVER_REPORTS,
  PROCESS_SERVER_REPORTS_LATE,   /* after REPORT_DELAY_MS */
  PROCESS_SERVER_REPORTS_BUSY,   /* with 503 */
  PROCESS_SERVER_RESETS_REPORTS, /* the first ones, as a server without room does */
  PROCESS_SERVER_NEVER_REPORTS   /* it reads the call and is silent */
};

struct process_server_script
{
  const char *header_lines; /* each with its line end */
  const char *body;
  const char *resumed_body; /* for a request with Last-Event-Id; NULL: body */
  enum process_server_end end;
  enum process_server_reports reports;
  int64_t reported_start_ms; /* of the server itself; 0: as its list entry says */
};

struct process_server
{
  pid_t pid;
  pid_t successor; /* 0: none */
  int requests;    /* pipe with a byte for each request that has arrived */
};

struct process_server
process_server_start (struct fake_platform *platform, const char *id,
                      const struct process_server_script *script);
unsigned process_server_take_request_count (const struct process_server *server);
void process_server_stop (const struct process_server *server);

#endif
