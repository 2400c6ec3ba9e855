/* A caller that writes bytes as they are, for tests of what no client library sends. */
#ifndef KCP_TESTS_HARNESS_RAW_H
#define KCP_TESTS_HARNESS_RAW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct raw_answer
{
  GString *text;
  bool closed; /* the server closed the connection within the time */
  int64_t took_ms;
};

int raw_connect (int port, const char *text, int receive_buffer);
struct raw_answer raw_exchange (int port, const char *text, int64_t limit_ms);
void raw_answer_clear (struct raw_answer *answer);

#endif
