/* A caller for tests: one HTTP exchange with its timing, and the events of a stream. */
#ifndef KCP_TESTS_HARNESS_CLIENT_H
#define KCP_TESTS_HARNESS_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct client_call
{
  const char *method; /* NULL: POST with a body, else GET */
  int port;
  const char *path;
  const char *key; /* team key or operators' token */
  const char *profile;
  const char *idempotency_key;
  const char *header; /* one more header line */
  const char *body;
  long timeout_ms;       /* 0: 10 s */
  int64_t read_delay_us; /* pause after each piece, for a slow caller */
  int64_t abort_after;   /* leave after so many bytes; 0: never */
};

struct client_answer
{
  int curl; /* CURLcode; 0 when the answer is whole */
  long status;
  GString *headers; /* as received */
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
