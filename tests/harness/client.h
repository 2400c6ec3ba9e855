/* HTTP client for tests: runs one exchange, records its timing and parses streamed
   completions. */
#ifndef KCP_TESTS_HARNESS_CLIENT_H
#define KCP_TESTS_HARNESS_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct client_call
{
  const char *method; /* NULL: POST if there is a body, GET otherwise */
  int port;
  const char *path;
  const char *key; /* team key or operators' token */
  const char *profile;
  const char *idempotency_key;
  const char *header; /* additional header line, or NULL */
  const char *body;
  long timeout_ms;           /* 0: 10 s */
  int64_t read_delay_us;     /* pause after each block, to simulate a slow caller */
  int64_t abort_after_bytes; /* abort the transfer after this size; 0: never */
  const char *certificate;   /* file that verifies the server; NULL: no TLS */
};

struct client_answer
{
  int curl; /* CURLcode; 0 if the answer is complete */
  long status;
  GString *headers; /* header lines as received */
  GString *body;
  int64_t first_byte_us;
  int64_t total_us;
};

struct client_answer client_run (const struct client_call *call);
void client_answer_clear (struct client_answer *answer);
char *client_header (const struct client_answer *answer, const char *name);
json_t *client_json (const struct client_answer *answer);
char *client_stream_text (const struct client_answer *answer, bool *done);
char *client_expected_text (const char *prompt, int tokens);
int64_t client_cached_tokens (const struct client_answer *answer);

#endif
