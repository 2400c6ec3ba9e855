/* A backend server on a TCP socket of its own whose answers a test writes byte by byte,
   for answers that HTTP server libraries do not send. It answers the router's own calls
   (reports, cache events) by itself. */
#ifndef KCP_TESTS_HARNESS_SCRIPTED_SERVER_H
#define KCP_TESTS_HARNESS_SCRIPTED_SERVER_H

#include <glib.h>
#include <stdbool.h>

#include "tests/harness/fake_platform.h"

struct scripted_server;

/* A request that has been received. */
struct scripted_request
{
  struct scripted_server *server;
  int fd;
  unsigned connection; /* of the server's connections, counted from 0 */
  unsigned number;     /* of the server's requests, counted from 0 */
  char *id;            /* Request-Id, or NULL */
  char *after_event;   /* Last-Event-Id, or NULL */
  bool keep_open;      /* set by the handler: another request may follow */
};

/* Answers a request on the connection's thread. The connection is closed in order when it
   returns, unless it sets keep_open. */
typedef void scripted_handler (struct scripted_request *request, void *user);

struct scripted_server *
scripted_server_start (struct fake_platform *platform, const char *id,
                       scripted_handler *handler, void *user);
void scripted_server_stop (struct scripted_server *server);
void scripted_server_answer_router_calls (struct scripted_server *server,
                                          scripted_handler *handler);
void scripted_server_close_port (struct scripted_server *server);
void scripted_server_put_entry (struct scripted_server *server, const char *state);
void scripted_server_put_entry_as (struct scripted_server *server, const char *state,
                                   int64_t born_ms);
void scripted_server_remove_entry (struct scripted_server *server);
unsigned scripted_server_request_count (struct scripted_server *server);
int64_t scripted_server_request_us (struct scripted_server *server, unsigned number);
bool scripted_server_is_stopping (struct scripted_server *server);
bool scripted_request_write (struct scripted_request *request, const char *text);
bool scripted_request_write_bytes (struct scripted_request *request, const char *data,
                                   size_t len);
bool scripted_request_write_head (struct scripted_request *request, const char *status,
                                  const char *header_lines);
void scripted_request_reset (struct scripted_request *request);

#endif
