/* A request of an operator, shared by the source files of the operators' API. */
#ifndef KCP_HTTP_ADMIN_OPERATION_H
#define KCP_HTTP_ADMIN_OPERATION_H

#include <glib.h>

#include "http/admin.h"
#include "http/listener.h"

#define KCP_ADMIN_STEP "admin"

struct kcp_admin
{
  struct kcp_router *router;
  struct kcp_platform_log *log;
  struct kcp_listener listener;
};

/* A request whose body is complete. */
struct kcp_admin_operation
{
  struct kcp_admin *admin;
  struct MHD_Connection *connection;
  const char *method;
  const char *path_suffix; /* the part of the URL path after the route's prefix */
  const GString *body;
};

enum MHD_Result kcp_admin_send_error (const struct kcp_admin_operation *op,
                                      enum kcp_error_code code, const char *detail);

/* admin_documents.c */
enum MHD_Result
kcp_admin_handle_document (const struct kcp_admin_operation *op, const char *kind);

#endif
