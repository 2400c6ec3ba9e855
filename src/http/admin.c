#include "http/admin.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "http/etag.h"
#include "http/listener.h"
#include "http/responder.h"
#include "http/vm_reports.h"
#include "logstore/publish.h"

#define STEP                   "admin"
#define THREADS                8
#define MAX_CONNECTIONS        64
#define MAX_HEADER_BYTES       (16u << 10)
#define MAX_BODY_BYTES         (1u << 20)
#define CONFIG_LOAD_TIMEOUT_MS 500
#define RETRY_AFTER_S          1
#define IDLE_TIMEOUT_S         15

struct kcp_admin
{
  struct kcp_router *router;
  struct kcp_platform_log *log;
  struct kcp_listener listener;
};

/* An HTTP request that is being received. */
struct exchange
{
  GString *body;
  bool too_large;
  struct kcp_error error; /* KCP_OK: the head is accepted */
};

/* A request whose body is complete. */
struct operation
{
  struct kcp_admin *admin;
  struct MHD_Connection *connection;
  const char *method;
  const char *path_suffix; /* the part of the URL path after the route's prefix */
  const GString *body;
};

struct route
{
  const char *prefix;
  bool exact;
  enum MHD_Result (*handle) (const struct operation *op);
};

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);
static bool is_authorized (struct kcp_admin *admin, struct MHD_Connection *connection);
static enum MHD_Result handle (struct operation *op, const char *url);
static enum MHD_Result handle_profiles (const struct operation *op);
static enum MHD_Result handle_teams (const struct operation *op);
static enum MHD_Result handle_config (const struct operation *op);
static enum MHD_Result get_config (const struct operation *op);
static enum MHD_Result start_over (const struct operation *op);
static enum MHD_Result handle_vms (const struct operation *op);
static enum MHD_Result handle_backend_servers (const struct operation *op);
static enum MHD_Result handle_timeline (const struct operation *op);
static enum MHD_Result handle_orders (const struct operation *op);
static enum MHD_Result handle_document (const struct operation *op, const char *kind);
static enum MHD_Result send_not_loaded (const struct operation *op);
static enum MHD_Result get_document (const struct operation *op, const char *key);
static enum MHD_Result change_document (const struct operation *op, const char *key);
static bool read_document (const struct operation *op,
                           struct kcp_publication *publication, struct kcp_error *error);
static bool read_base (const struct operation *op, const char *key,
                       struct kcp_config_base *base, struct kcp_error *error);
static enum MHD_Result
send_change (const struct operation *op, const struct kcp_publication *publication,
             uint64_t version);
static enum MHD_Result
send_error (const struct operation *op, enum kcp_error_code code, const char *detail);

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
  struct operation op = { .admin = admin, .connection = connection, .method = method };

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
    return send_error (&op, KCP_ERR_UNAUTHORIZED, "the operators' token is required");
  if (exchange->too_large)
    return send_error (&op, KCP_ERR_TOO_LARGE, "the body is over the limit");
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
handle (struct operation *op, const char *url)
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
  return send_error (op, KCP_ERR_NOT_FOUND, "there is nothing at this path");
}

static enum MHD_Result
handle_profiles (const struct operation *op)
{
  return handle_document (op, "profiles");
}

static enum MHD_Result
handle_teams (const struct operation *op)
{
  return handle_document (op, "teams");
}

static enum MHD_Result
handle_config (const struct operation *op)
{
  if (strcmp (op->method, MHD_HTTP_METHOD_GET) == 0)
    return get_config (op);
  if (strcmp (op->method, MHD_HTTP_METHOD_PUT) == 0)
    return start_over (op);
  return send_error (op, KCP_ERR_METHOD_NOT_ALLOWED, "GET and PUT are allowed");
}

/* Handles PUT of the configuration, with the body {"documents": {KEY: DOCUMENT}}.
   Publishes the documents as the complete configuration. This is meant for a log that
   lost its start while no VM holds a configuration, and is refused if the log still gives
   the configuration or this VM holds one. */
static enum MHD_Result
start_over (const struct operation *op)
{
  struct kcp_router *router = op->admin->router;
  json_t *body = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, NULL);
  json_t *documents = json_object_get (body, "documents");
  struct kcp_error error;
  bool done = false;

  if (!json_is_object (documents) || json_object_size (documents) == 0)
    kcp_error_set (&error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                   "documents: required, an object of documents by key is allowed");
  else
    done = kcp_publish_start_over (op->admin->log, router->config, documents, &error);
  json_decref (body);
  return done ? get_config (op) : kcp_responder_send_problem (op->connection, &error);
}

static enum MHD_Result
get_config (const struct operation *op)
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
handle_vms (const struct operation *op)
{
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                  kcp_vm_reports_new (op->admin->router), NULL);
}

static enum MHD_Result
handle_backend_servers (const struct operation *op)
{
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK,
                                  kcp_registry_to_json (op->admin->router->registry),
                                  NULL);
}

static enum MHD_Result
handle_timeline (const struct operation *op)
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
handle_orders (const struct operation *op)
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
    return send_error (op, KCP_ERR_METHOD_NOT_ALLOWED, "GET and POST are allowed");
  body = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, NULL);
  if (json_unpack (body, "{ss,s?s,s?s!}", "engine", &engine, "weights", &weights, "role",
                   &role)
          != 0
      || (weights == NULL && role == NULL))
    result = send_error (
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

static enum MHD_Result
handle_document (const struct operation *op, const char *kind)
{
  g_autofree char *key = g_strconcat (kind, op->path_suffix, NULL);
  g_autofree char *prefix = g_strconcat (kind, "/", NULL);
  bool is_collection = op->path_suffix[0] == '\0' || strcmp (op->path_suffix, "/") == 0;

  if (!kcp_config_wait_loaded (op->admin->router->config, CONFIG_LOAD_TIMEOUT_MS))
    return send_not_loaded (op);
  if (strcmp (op->method, MHD_HTTP_METHOD_GET) == 0)
    return is_collection ? kcp_responder_send_json (
               op->connection, MHD_HTTP_OK,
               kcp_config_keys (op->admin->router->config, prefix), NULL)
                         : get_document (op, key);
  if (is_collection
      || (strcmp (op->method, MHD_HTTP_METHOD_PUT) != 0
          && strcmp (op->method, MHD_HTTP_METHOD_DELETE) != 0))
    return send_error (op, KCP_ERR_METHOD_NOT_ALLOWED,
                       "GET, and PUT and DELETE of one document, are allowed");
  return change_document (op, key);
}

/* Answers a request for documents while this VM has not loaded the configuration and does
   not know which documents exist. */
static enum MHD_Result
send_not_loaded (const struct operation *op)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_NO_CONFIGURATION, STEP, NULL,
                 "neither the log nor another VM has given the configuration yet");
  error.retry_after_s = RETRY_AFTER_S;
  return kcp_responder_send_problem (op->connection, &error);
}

static enum MHD_Result
get_document (const struct operation *op, const char *key)
{
  struct kcp_config_base base;
  json_t *document = kcp_config_document (op->admin->router->config, key, &base);
  char etag[KCP_ETAG_MAX];

  if (document == NULL)
    return send_error (op, KCP_ERR_NOT_FOUND, "there is no such document");
  kcp_etag_format (&base, etag);
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK, document, etag);
}

static enum MHD_Result
change_document (const struct operation *op, const char *key)
{
  struct kcp_publication publication = { .key = key };
  struct kcp_publish_outcome outcome;
  struct kcp_error error;
  bool done;

  if (!read_document (op, &publication, &error)
      || !read_base (op, key, &publication.base, &error))
    {
      json_decref (publication.document);
      return kcp_responder_send_problem (op->connection, &error);
    }
  done = kcp_publish (op->admin->log, op->admin->router->config, &publication, &outcome,
                      &error);
  json_decref (publication.document);
  return done ? send_change (op, &publication, outcome.version)
              : kcp_responder_send_problem (op->connection, &error);
}

/* Parses and validates the body of a PUT. A DELETE has no document. */
static bool
read_document (const struct operation *op, struct kcp_publication *publication,
               struct kcp_error *error)
{
  json_error_t where;

  if (strcmp (op->method, MHD_HTTP_METHOD_DELETE) == 0)
    return true;
  publication->document
      = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, &where);
  if (publication->document == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s: line %d: %s",
                     publication->key, where.line, where.text);
      return false;
    }
  return kcp_config_check_document (publication->key, publication->document, error);
}

/* Determines the version that a change is based on: that of If-Match, or else the one in
   force. Returns false and sets error if If-Match, If-None-Match or a missing document
   rules out the change. */
static bool
read_base (const struct operation *op, const char *key, struct kcp_config_base *base,
           struct kcp_error *error)
{
  const char *match = MHD_lookup_connection_value (op->connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_IF_MATCH);
  const char *none = MHD_lookup_connection_value (op->connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_IF_NONE_MATCH);
  bool exists = kcp_config_base (op->admin->router->config, key, base);

  if (none != NULL && exists)
    {
      kcp_error_set (error, KCP_ERR_STALE_BASE, STEP, NULL, "%s: exists already", key);
      return false;
    }
  if (match != NULL && strcmp (match, "*") != 0 && !kcp_etag_parse (match, base))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "If-Match: not an ETag given here");
      return false;
    }
  if (!exists && (match != NULL || strcmp (op->method, MHD_HTTP_METHOD_DELETE) == 0))
    {
      kcp_error_set (error, match != NULL ? KCP_ERR_STALE_BASE : KCP_ERR_NOT_FOUND, STEP,
                     NULL, "%s: there is no such document", key);
      return false;
    }
  return true;
}

/* Answers a successful change with its version, the VMs that have it in force and the VMs
   that have not confirmed it. */
static enum MHD_Result
send_change (const struct operation *op, const struct kcp_publication *publication,
             uint64_t version)
{
  struct kcp_config_base now = { .version = version };
  char etag[KCP_ETAG_MAX];
  json_t *answer
      = json_pack ("{sssI}", "key", publication->key, "version", (json_int_t)version);

  g_strlcpy (now.id, publication->id, sizeof now.id);
  kcp_etag_format (&now, etag);
  kcp_vm_reports_add_confirmations (op->admin->router, version, answer);
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK, answer, etag);
}

static enum MHD_Result
send_error (const struct operation *op, enum kcp_error_code code, const char *detail)
{
  struct kcp_error error;

  kcp_error_set (&error, code, STEP, NULL, "%s", detail);
  return kcp_responder_send_problem (op->connection, &error);
}
