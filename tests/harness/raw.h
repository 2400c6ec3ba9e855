/* Raw TCP client, for tests with requests that HTTP client libraries do not send. */
#ifndef KCP_TESTS_HARNESS_RAW_H
#define KCP_TESTS_HARNESS_RAW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct raw_answer
{
  GString *text;
  bool closed; /* the server closed the connection before the timeout */
  bool reset;  /* it did so with a reset */
  int64_t elapsed_ms;
};

int raw_connect_and_send (int port, const char *text, int receive_buffer);
struct raw_answer raw_exchange_from (const char *own_address, int port, const char *text,
                                     int64_t timeout_ms);
struct raw_answer raw_exchange (int port, const char *text, int64_t timeout_ms);
void raw_answer_clear (struct raw_answer *answer);

#endif
