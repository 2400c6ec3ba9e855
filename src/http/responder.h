/* Sends complete HTTP responses through libmicrohttpd and reads bearer tokens. */
#ifndef KCP_HTTP_RESPONDER_H
#define KCP_HTTP_RESPONDER_H

#include <jansson.h>
#include <microhttpd.h>

#include "base/error.h"

enum MHD_Result
kcp_responder_send_text (struct MHD_Connection *connection, unsigned status,
                         const char *content_type, struct kcp_str text);
enum MHD_Result
kcp_responder_send_json (struct MHD_Connection *connection, unsigned status,
                         json_t *document, const char *etag);
enum MHD_Result kcp_responder_send_problem (struct MHD_Connection *connection,
                                            const struct kcp_error *error);
enum MHD_Result kcp_responder_send_problem_and_close (struct MHD_Connection *connection,
                                                      const struct kcp_error *error);
struct kcp_str kcp_responder_bearer_token (struct MHD_Connection *connection);

#endif
