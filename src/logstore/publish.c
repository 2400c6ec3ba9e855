#include "logstore/publish.h"

#include <string.h>

#include "logstore/config_tail.h"

#define STEP                "publish"
#define ATTEMPTS_MAX        3
#define OUTCOME_TIMEOUT_MS  5000
#define LOG_SYNC_TIMEOUT_MS 500
#define RETRY_AFTER_S       1

static json_t *
make_entries (json_t *documents, uint64_t version, struct kcp_error *error);
static bool wait_outcome (struct kcp_config *config, const char *url, const char *key,
                          const char *id, bool answered,
                          struct kcp_publish_outcome *outcome, struct kcp_error *error);
static bool sync_log (struct kcp_platform_log *log, struct kcp_config *config,
                      struct kcp_error *error);
static bool append (struct kcp_platform_log *log, struct kcp_config *config,
                    struct kcp_publication *publication,
                    struct kcp_publish_outcome *outcome, struct kcp_error *error);
static bool
base_is_in_force (struct kcp_config *config, const struct kcp_publication *publication);

/* Appends a change to the log and waits until this VM has read it back, which shows
   whether the change was applied or another one came first. On failure sets an error and
   returns false. The execution of the error is not_run if the change is certainly not in
   the log, and unknown if it may be. If the change was rejected although its base is
   still in force, the log was restored to an earlier state; the entries that it lacks and
   then the change are appended again. Blocks. */
bool
kcp_publish (struct kcp_platform_log *log, struct kcp_config *config,
             struct kcp_publication *publication, struct kcp_publish_outcome *outcome,
             struct kcp_error *error)
{
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    {
      if (!sync_log (log, config, error)
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

/* Restarts the stream with a root checkpoint of the given documents, an object that maps
   keys to documents. This is meant for a log that lost its start while no VM holds a
   configuration. Sets an error and returns false if the state of the log is known or an
   entry is in force on this VM. Blocks. */
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

/* Returns a new object with the entries of a checkpoint, all of the same version. If a
   document is invalid, sets an error and returns NULL. */
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

/* Ensures that the log contains all entries in force on this VM before a change that may
   be based on them. Waits until this VM has read them from the log; if that takes longer
   than LOG_SYNC_TIMEOUT_MS, appends a checkpoint that carries the missing entries. On
   failure sets an error and returns false. */
static bool
sync_log (struct kcp_platform_log *log, struct kcp_config *config,
          struct kcp_error *error)
{
  struct kcp_config_status status;
  json_t *record;
  uint64_t offset;
  bool done;

  if (kcp_config_wait_log_synced (config, LOG_SYNC_TIMEOUT_MS))
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
  /* The change was not appended, even if the checkpoint was. */
  if (!done)
    error->execution = KCP_EXECUTION_NOT_RUN;
  return done;
}

/* Appends the change under a new id and waits for its outcome. An offset that this VM has
   already applied shows that the log was replaced, so that a comparison is requested. */
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
  record = kcp_config_record_new_change (publication->id, publication->key,
                                         &publication->base, publication->document);
  answered = kcp_platform_log_append (log, KCP_CONFIG_STREAM, record, &offset, error);
  json_decref (record);
  if (!answered && error->execution == KCP_EXECUTION_NOT_RUN)
    return false;
  if (answered && offset < next)
    kcp_config_request_log_check (config);
  return wait_outcome (config, log->url, publication->key, publication->id, answered,
                       outcome, error);
}

/* Waits until the publication has been read back. answered is true if the log confirmed
   the append. Returns false and sets an error after OUTCOME_TIMEOUT_MS. */
static bool
wait_outcome (struct kcp_config *config, const char *url, const char *key, const char *id,
              bool answered, struct kcp_publish_outcome *outcome, struct kcp_error *error)
{
  if (kcp_config_wait_outcome (config, id, OUTCOME_TIMEOUT_MS, outcome))
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
  struct kcp_config_base current;

  (void)kcp_config_base (config, publication->key, &current);
  return current.version == publication->base.version
         && strcmp (current.id, publication->base.id) == 0;
}
