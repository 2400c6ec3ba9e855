#include "http/admin.h"

#include <sodium.h>
#include <string.h>

#include "http/admin_operation.h"
#include "http/responder.h"
#include "http/vm_reports.h"
#include "logstore/publish.h"

#define THREADS          8
#define MAX_CONNECTIONS  64
#define MAX_HEADER_BYTES (16u << 10)
#define MAX_BODY_BYTES   (1u << 20)
#define IDLE_TIMEOUT_S   15

/* An HTTP request that is being received. */
struct exchange
{
  GString *body;
  bool too_large;
  struct kcp_error error; /* KCP_OK: the head is accepted */
};

struct route
{
  const char *prefix;
  bool exact;
  enum MHD_Result (*handle) (const struct kcp_admin_operation *op);
};

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);
static bool is_authorized (struct kcp_admin *admin, struct MHD_Connection *connection);
static enum MHD_Result handle (struct kcp_admin_operation *op, const char *url);
static enum MHD_Result handle_profiles (const struct kcp_admin_operation *op);
static enum MHD_Result handle_teams (const struct kcp_admin_operation *op);
static enum MHD_Result handle_config (const struct kcp_admin_operation *op);
static enum MHD_Result get_config (const struct kcp_admin_operation *op);
static enum MHD_Result start_over (const struct kcp_admin_operation *op);
static enum MHD_Result handle_vms (const struct kcp_admin_operation *op);
static enum MHD_Result handle_backend_servers (const struct kcp_admin_operation *op);
static enum MHD_Result handle_timeline (const struct kcp_admin_operation *op);
static enum MHD_Result handle_orders (const struct kcp_admin_operation *op);

static const struct route routes[] = {
  { "/admin/v1/profiles", false, handle_profiles },
  { "/admin/v1/teams", false, handle_teams },
  { "/admin/v1/config", true, handle_config },
  { "/admin/v1/vms", true, handle_vms },
  { "/admin/v1/backend-servers", true, handle_backend_servers },
  { "/admin/v1/timeline", true, handle_timeline },
  { "/admin/v1/orders", true, handle_orders },
};

/* Starts the server on the address and port given by the settings. Returns NULL and sets
   error on failure. */
struct kcp_admin *
kcp_admin_start (struct kcp_router *router, struct kcp_platform_log *log,
                 struct kcp_error *error)
{
  const struct kcp_settings *settings = router->settings;
  struct kcp_admin *admin = g_new0 (struct kcp_admin, 1);
  struct kcp_listener_options options = {
    .address = settings->operators_address,
    .port = (int)settings->operators_port,
    .threads = THREADS,
    .max_connections = MAX_CONNECTIONS,
    .max_header_bytes = MAX_HEADER_BYTES,
    .idle_timeout_s = IDLE_TIMEOUT_S,
    .certificate_path = settings->operators_tls_certificate,
    .key_path = settings->operators_tls_key,
    .access = on_access,
    .completed = on_completed,
    .user = admin,
  };

  admin->router = router;
  admin->log = log;
  if (kcp_listener_start (&admin->listener, &options, error))
    return admin;
  kcp_admin_stop (admin);
  return NULL;
}

/* Stops the server and frees it. admin may be NULL. */
void
kcp_admin_stop (struct kcp_admin *admin)
{
  if (admin == NULL)
    return;
  kcp_listener_stop (&admin->listener);
  g_free (admin);
}

/* Returns the port that the server listens on. */
int
kcp_admin_port (const struct kcp_admin *admin)
{
  return kcp_listener_port (&admin->listener);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct kcp_admin *admin = user;
  struct exchange *exchange = *state;
  struct kcp_admin_operation op
      = { .admin = admin, .connection = connection, .method = method };

  (void)version;
  if (exchange == NULL)
    {
      exchange = g_new0 (struct exchange, 1);
      exchange->body = g_string_new (NULL);
      *state = exchange;
      (void)kcp_listener_can_answer (&admin->listener, connection, &exchange->error);
      return MHD_YES;
    }
  if (*size > 0)
    {
      exchange->too_large
          = exchange->too_large || exchange->body->len + *size > MAX_BODY_BYTES;
      if (!exchange->too_large)
        g_string_append_len (exchange->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  op.body = exchange->body;
  if (exchange->error.code != KCP_OK)
    return kcp_responder_send_problem (connection, &exchange->error);
  if (!is_authorized (admin, connection))
    return kcp_admin_send_error (&op, KCP_ERR_UNAUTHORIZED,
                                 "the operators' token is required");
  if (exchange->too_large)
    return kcp_admin_send_error (&op, KCP_ERR_TOO_LARGE, "the body is over the limit");
  return handle (&op, url);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct exchange *exchange = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (exchange == NULL)
    return;
  *state = NULL;
  g_string_free (exchange->body, TRUE);
  g_free (exchange);
}

static bool
is_authorized (struct kcp_admin *admin, struct MHD_Connection *connection)
{
  char given_hash[KCP_HASH_HEX_LEN + 1];
  char expected_hash[KCP_HASH_HEX_LEN + 1];

  kcp_id_hash (kcp_responder_bearer_token (connection), given_hash);
  kcp_id_hash (kcp_str_from_c (admin->router->settings->operators_token), expected_hash);
  return kcp_id_hash_equal (given_hash, expected_hash);
}

static enum MHD_Result
handle (struct kcp_admin_operation *op, const char *url)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const struct route *route = &routes[i];

      if (!g_str_has_prefix (url, route->prefix))
        continue;
      op->path_suffix = url + strlen (route->prefix);
      if (op->path_suffix[0] == '\0' || (!route->exact && op->path_suffix[0] == '/'))
        return route->handle (op);
    }
  return kcp_admin_send_error (op, KCP_ERR_NOT_FOUND, "there is nothing at this path");
}

static enum MHD_Result
handle_profiles (const struct kcp_admin_operation *op)
{
  return kcp_admin_handle_document (op, "profiles");
}

static enum MHD_Result
handle_teams (const struct kcp_admin_operation *op)
{
  return kcp_admin_handle_document (op, "teams");
}

static enum MHD_Result
handle_config (const struct kcp_admin_operation *op)
{
  if (strcmp (op->method, MHD_HTTP_METHOD_GET) == 0)
    return get_config (op);
  if (strcmp (op->method, MHD_HTTP_METHOD_PUT) == 0)
    return start_over (op);
  return kcp_admin_send_error (op, KCP_ERR_METHOD_NOT_ALLOWED, "GET and PUT are allowed");
}

/* Handles PUT of the configuration, with the body {"documents": {KEY: DOCUMENT}}.
   Publishes the documents as the complete configuration. This is meant for a log that
   lost its start while no VM holds a configuration, and is refused if the log still gives
   the configuration or this VM holds one. */
static enum MHD_Result
start_over (const struct kcp_admin_operation *op)
{
  struct kcp_router *router = op->admin->router;
  json_t *body = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, NULL);
  json_t *documents = json_object_get (body, "documents");
  struct kcp_error error;
  bool done = false;

  if (!json_is_object (documents) || json_object_size (documents) == 0)
    kcp_error_set (&error, KCP_ERR_BAD_REQUEST, KCP_ADMIN_STEP, NULL,
                   "documents: required, an object of documents by key is allowed");
  else
    done = kcp_publish_start_over (op->admin->log, router->config, documents, &error);
  json_decref (body);
  return done ? get_config (op) : kcp_responder_send_problem (op->connection, &error);
}

static enum MHD_Result
get_config (const struct kcp_admin_operation *op)
{
  struct kcp_router *router = op->admin->router;
  struct kcp_config_position position;
  struct kcp_config_status status;
  json_t *answer;

  kcp_config_position (router->config, &position);
  kcp_config_status (router->config, &status);
  answer = json_pack (
      "{sssIsIsbsbsbsoso}", "vm", router->settings->vm_id, "version",
      (json_int_t)position.version, "next_offset", (json_int_t)status.next, "loaded",
      position.loaded, "gap", status.gap, "ahead_of_log", status.ahead_of_log, "vms",
      kcp_vm_reports_new (router), "documents", kcp_config_keys (router->config, ""));
  if (position.age_ns >= 0)
    json_object_set_new (answer, "age_ms",
                         json_integer (position.age_ns / KCP_NS_PER_MS));
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK, answer, NULL);
}

static enum MHD_Result
handle_vms (const struct kcp_admin_operation *op)
{
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                  kcp_vm_reports_new (op->admin->router), NULL);
}

static enum MHD_Result
handle_backend_servers (const struct kcp_admin_operation *op)
{
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                  kcp_registry_to_json (op->admin->router->registry),
                                  NULL);
}

static enum MHD_Result
handle_timeline (const struct kcp_admin_operation *op)
{
  struct kcp_router *router = op->admin->router;

  return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                  kcp_timeline_to_json (router->timeline,
                                                        router->settings->vm_id,
                                                        router->settings->vm_data_center),
                                  NULL);
}

/* GET returns the desired state of the engines. POST with the members "engine", "weights"
   and "role" sets the desired weights, role or both of one engine. */
static enum MHD_Result
handle_orders (const struct kcp_admin_operation *op)
{
  struct kcp_orders *orders = op->admin->router->orders;
  const char *engine = NULL;
  const char *weights = NULL;
  const char *role = NULL;
  struct kcp_error error;
  enum MHD_Result result;
  uint64_t offset;
  json_t *body;

  if (strcmp (op->method, MHD_HTTP_METHOD_GET) == 0)
    return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                    kcp_orders_to_json (orders), NULL);
  if (strcmp (op->method, MHD_HTTP_METHOD_POST) != 0)
    return kcp_admin_send_error (op, KCP_ERR_METHOD_NOT_ALLOWED,
                                 "GET and POST are allowed");
  body = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, NULL);
  if (json_unpack (body, "{ss,s?s,s?s!}", "engine", &engine, "weights", &weights, "role",
                   &role)
          != 0
      || (weights == NULL && role == NULL))
    result = kcp_admin_send_error (
        op, KCP_ERR_BAD_REQUEST,
        "engine and at least one of weights and role are required, as texts");
  else if (!kcp_orders_set_desired (orders, engine, weights, role, &offset, &error))
    result = kcp_responder_send_problem (op->connection, &error);
  else
    result = kcp_responder_send_json (
        op->connection, MHD_HTTP_ACCEPTED,
        json_pack ("{sssI}", "engine", engine, "offset", (json_int_t)offset), NULL);
  json_decref (body);
  return result;
}

/* Answers with an error of this server. */
enum MHD_Result
kcp_admin_send_error (const struct kcp_admin_operation *op, enum kcp_error_code code,
                      const char *detail)
{
  struct kcp_error error;

  kcp_error_set (&error, code, KCP_ADMIN_STEP, NULL, "%s", detail);
  return kcp_responder_send_problem (op->connection, &error);
}
