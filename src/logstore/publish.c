#include "logstore/publish.h"

#include <string.h>

#include "logstore/config_tail.h"

#define STEP          "publish"
#define TRIES         3
#define OUTCOME_MS    5000
#define LEVEL_MS      500
#define RETRY_AFTER_S 1

static json_t *
make_entries (json_t *documents, uint64_t version, struct kcp_error *error);
static bool wait_outcome (struct kcp_config *config, const char *url, const char *key,
                          const char *id, bool answered,
                          struct kcp_publish_outcome *outcome, struct kcp_error *error);
static bool bring_log_level (struct kcp_platform_log *log, struct kcp_config *config,
                             struct kcp_error *error);
static bool append (struct kcp_platform_log *log, struct kcp_config *config,
                    struct kcp_publication *publication,
                    struct kcp_publish_outcome *outcome, struct kcp_error *error);
static bool
base_is_in_force (struct kcp_config *config, const struct kcp_publication *publication);

/* Appends the change and waits until this VM read it back from the log, which decides
   whether it won. The error's execution is not_run if the change is surely not in the
   log and unknown if it may be. A change that lost although its base is still in force
   met a log that was put back to an earlier state: what that log lacks is appended to it
   first, and the change again. Blocks. */
bool
kcp_publish (struct kcp_platform_log *log, struct kcp_config *config,
             struct kcp_publication *publication, struct kcp_publish_outcome *outcome,
             struct kcp_error *error)
{
  for (int i = 0; i < TRIES; i++)
    {
      if (!bring_log_level (log, config, error)
          || !append (log, config, publication, outcome, error))
        return false;
      if (outcome->result == KCP_CONFIG_APPLIED)
        return true;
      if (outcome->result != KCP_CONFIG_STALE_BASE
          || !base_is_in_force (config, publication))
        break;
    }
  if (outcome->result == KCP_CONFIG_INVALID)
    kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                   "%s: the log refused the record", publication->key);
  else
    kcp_error_set (error, KCP_ERR_STALE_BASE, STEP, NULL, "%s: another change came first",
                   publication->key);
  return false;
}

/* Starts the stream over from documents, an object by key, where the log lost its start
   and no VM is left that holds a configuration. Refused as long as the log's state is
   known or something is in force here. Blocks. */
bool
kcp_publish_start_over (struct kcp_platform_log *log, struct kcp_config *config,
                        json_t *documents, struct kcp_error *error)
{
  struct kcp_config_status status;
  struct kcp_publish_outcome outcome;
  json_t *record;
  json_t *entries;
  const char *id;
  uint64_t offset;
  bool answered;
  bool done = false;

  kcp_config_status (config, &status);
  if (!status.gap || !status.empty)
    {
      kcp_error_set (error, KCP_ERR_STALE_BASE, STEP, NULL,
                     "a configuration is held, or the log still gives one");
      return false;
    }
  entries = make_entries (documents, status.next + 1, error);
  if (entries == NULL)
    return false;
  record = kcp_config_checkpoint (config, true);
  json_object_set_new (record, "entries", entries);
  json_object_set_new (record, "version", json_integer ((json_int_t)status.next + 1));
  id = json_string_value (json_object_get (record, "id"));
  answered = kcp_platform_log_append (log, KCP_CONFIG_STREAM, record, &offset, error);
  if (answered || error->execution != KCP_EXECUTION_NOT_RUN)
    done
        = wait_outcome (config, log->url, "configuration", id, answered, &outcome, error);
  json_decref (record);
  return done;
}

/* Returns the entries of a checkpoint, all of one version, or NULL if a document is
 * wrong.
 */
static json_t *
make_entries (json_t *documents, uint64_t version, struct kcp_error *error)
{
  json_t *entries = json_object ();
  char id[KCP_ID_LEN + 1];
  const char *key;
  json_t *document;

  kcp_id_random (id);
  json_object_foreach (documents, key, document)
  {
    if (!kcp_config_check_document (key, document, error))
      {
        json_decref (entries);
        return NULL;
      }
    json_object_set_new (entries, key,
                         json_pack ("{sIsssO}", "version", (json_int_t)version, "id", id,
                                    "doc", document));
  }
  return entries;
}

/* Sees to it that everything in force here is in the log before a change that may be
   based on it. */
static bool
bring_log_level (struct kcp_platform_log *log, struct kcp_config *config,
                 struct kcp_error *error)
{
  struct kcp_config_status status;
  json_t *record;
  uint64_t offset;
  bool done;

  if (kcp_config_wait_level (config, LEVEL_MS))
    return true;
  kcp_config_status (config, &status);
  record = status.gap ? NULL : kcp_config_checkpoint (config, false);
  if (record == NULL)
    {
      kcp_error_set (error, KCP_ERR_NO_CONFIGURATION, STEP, NULL,
                     "records of the log were trimmed and no checkpoint was read yet");
      error->retry_after_s = RETRY_AFTER_S;
      return false;
    }
  done = kcp_platform_log_append (log, KCP_CONFIG_STREAM, record, &offset, error);
  json_decref (record);
  /* The change itself was not appended, whatever became of the checkpoint. */
  if (!done)
    error->execution = KCP_EXECUTION_NOT_RUN;
  return done;
}

static bool
append (struct kcp_platform_log *log, struct kcp_config *config,
        struct kcp_publication *publication, struct kcp_publish_outcome *outcome,
        struct kcp_error *error)
{
  json_t *record;
  uint64_t next;
  uint64_t offset;
  bool answered;

  kcp_id_random (publication->id);
  next = kcp_config_next_offset (config);
  record = kcp_config_record_change (publication->id, publication->key,
                                     &publication->base, publication->document);
  answered = kcp_platform_log_append (log, KCP_CONFIG_STREAM, record, &offset, error);
  json_decref (record);
  if (!answered && error->execution == KCP_EXECUTION_NOT_RUN)
    return false;
  if (answered && offset < next)
    kcp_config_suspect_log (config);
  return wait_outcome (config, log->url, publication->key, publication->id, answered,
                       outcome, error);
}

static bool
wait_outcome (struct kcp_config *config, const char *url, const char *key, const char *id,
              bool answered, struct kcp_publish_outcome *outcome, struct kcp_error *error)
{
  if (kcp_config_wait_outcome (config, id, OUTCOME_MS, outcome))
    return true;
  kcp_error_set (error, KCP_ERR_PLATFORM, STEP, url,
                 "%s: publication %s %s the log and was not read back", key, id,
                 answered ? "is in" : "may be in");
  error->execution = KCP_EXECUTION_UNKNOWN;
  error->retry_after_s = RETRY_AFTER_S;
  return false;
}

static bool
base_is_in_force (struct kcp_config *config, const struct kcp_publication *publication)
{
  struct kcp_config_base now;

  (void)kcp_config_base (config, publication->key, &now);
  return now.version == publication->base.version
         && strcmp (now.id, publication->base.id) == 0;
}
