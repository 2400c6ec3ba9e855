/* A backend server that answers each request as soon as it has read the head, whatever
   the length of the body, with bytes that the test gives. */
#ifndef KCP_TESTS_HARNESS_EARLY_SERVER_H
#define KCP_TESTS_HARNESS_EARLY_SERVER_H

struct early_server;

/* How a connection ends after the answer. */
enum early_end
{
  EARLY_CLOSE, /* in order, after the body has been read or some time has passed */
  EARLY_RESET
};

struct early_server *early_server_start (const char *answer, enum early_end end);
int early_server_port (const struct early_server *server);
unsigned early_server_answer_count (struct early_server *server);
void early_server_stop (struct early_server *server);

#endif
