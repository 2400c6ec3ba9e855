/* The HTTP servers of the fake platform: a daemon with a thread for each connection,
   request bodies, and answers. */
#ifndef KCP_TESTS_HARNESS_FAKE_HTTP_H
#define KCP_TESTS_HARNESS_FAKE_HTTP_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>

struct MHD_Daemon *
fake_http_start (MHD_AccessHandlerCallback handler, MHD_NotifyConnectionCallback notify,
                 void *user, int *port);
bool fake_http_receive (void **state, const char *data, size_t *size);
const GString *fake_http_body (void *const *state);
enum MHD_Result fake_http_send (struct MHD_Connection *connection, unsigned status,
                                const void *data, size_t len, const char *const *headers);
struct MHD_Response *
fake_http_make (const void *data, size_t len, const char *const *headers);
enum MHD_Result fake_http_queue (struct MHD_Connection *connection, unsigned status,
                                 struct MHD_Response *response);

#endif
