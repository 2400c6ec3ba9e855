/* The documents of the configuration in the operators' API. A change is based on the
   version that If-Match names, or else on the one in force. */
#include <string.h>

#include "http/admin_operation.h"
#include "http/etag.h"
#include "http/responder.h"
#include "http/vm_reports.h"
#include "logstore/publish.h"

#define CONFIG_LOAD_TIMEOUT_MS 500
#define RETRY_AFTER_S          1

static enum MHD_Result send_not_loaded (const struct kcp_admin_operation *op);
static enum MHD_Result
get_document (const struct kcp_admin_operation *op, const char *key);
static enum MHD_Result
change_document (const struct kcp_admin_operation *op, const char *key);
static bool read_document (const struct kcp_admin_operation *op,
                           struct kcp_publication *publication, struct kcp_error *error);
static bool read_base (const struct kcp_admin_operation *op, const char *key,
                       struct kcp_config_base *base, struct kcp_error *error);
static enum MHD_Result
send_change (const struct kcp_admin_operation *op,
             const struct kcp_publication *publication, uint64_t version);

/* Handles a request for the documents of a kind, "profiles" or "teams": GET lists their
   keys or returns one, PUT and DELETE change one. */
enum MHD_Result
kcp_admin_handle_document (const struct kcp_admin_operation *op, const char *kind)
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
    return kcp_admin_send_error (op, KCP_ERR_METHOD_NOT_ALLOWED,
                                 "GET, and PUT and DELETE of one document, are allowed");
  return change_document (op, key);
}

/* Answers a request for documents while this VM has not loaded the configuration and does
   not know which documents exist. */
static enum MHD_Result
send_not_loaded (const struct kcp_admin_operation *op)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_NO_CONFIGURATION, KCP_ADMIN_STEP, NULL,
                 "neither the log nor another VM has given the configuration yet");
  error.retry_after_s = RETRY_AFTER_S;
  return kcp_responder_send_problem (op->connection, &error);
}

static enum MHD_Result
get_document (const struct kcp_admin_operation *op, const char *key)
{
  struct kcp_config_base base;
  json_t *document = kcp_config_document (op->admin->router->config, key, &base);
  char etag[KCP_ETAG_MAX];

  if (document == NULL)
    return kcp_admin_send_error (op, KCP_ERR_NOT_FOUND, "there is no such document");
  kcp_etag_format (&base, etag);
  return kcp_responder_send_json (op->connection, MHD_HTTP_OK, document, etag);
}

static enum MHD_Result
change_document (const struct kcp_admin_operation *op, const char *key)
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
read_document (const struct kcp_admin_operation *op, struct kcp_publication *publication,
               struct kcp_error *error)
{
  json_error_t where;

  if (strcmp (op->method, MHD_HTTP_METHOD_DELETE) == 0)
    return true;
  publication->document
      = json_loadb (op->body->str, op->body->len, JSON_REJECT_DUPLICATES, &where);
  if (publication->document == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, KCP_ADMIN_STEP, NULL, "%s: line %d: %s",
                     publication->key, where.line, where.text);
      return false;
    }
  return kcp_config_check_document (publication->key, publication->document, error);
}

/* Determines the version that a change is based on: that of If-Match, or else the one in
   force. Returns false and sets error if If-Match, If-None-Match or a missing document
   rules out the change. */
static bool
read_base (const struct kcp_admin_operation *op, const char *key,
           struct kcp_config_base *base, struct kcp_error *error)
{
  const char *match = MHD_lookup_connection_value (op->connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_IF_MATCH);
  const char *none = MHD_lookup_connection_value (op->connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_IF_NONE_MATCH);
  bool exists = kcp_config_base (op->admin->router->config, key, base);

  if (none != NULL && exists)
    {
      kcp_error_set (error, KCP_ERR_STALE_BASE, KCP_ADMIN_STEP, NULL,
                     "%s: exists already", key);
      return false;
    }
  if (match != NULL && strcmp (match, "*") != 0 && !kcp_etag_parse (match, base))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, KCP_ADMIN_STEP, NULL,
                     "If-Match: not an ETag given here");
      return false;
    }
  if (!exists && (match != NULL || strcmp (op->method, MHD_HTTP_METHOD_DELETE) == 0))
    {
      kcp_error_set (error, match != NULL ? KCP_ERR_STALE_BASE : KCP_ERR_NOT_FOUND,
                     KCP_ADMIN_STEP, NULL, "%s: there is no such document", key);
      return false;
    }
  return true;
}

/* Answers a successful change with its version, the VMs that have it in force and the VMs
   that have not confirmed it. */
static enum MHD_Result
send_change (const struct kcp_admin_operation *op,
             const struct kcp_publication *publication, uint64_t version)
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
