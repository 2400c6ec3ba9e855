/* The configuration: documents that all VMs agree on by reading the same log of the
   platform. Each change record names the version it is based on. If several changes have
   the same base, the one with the lowest offset in the log wins. */
#ifndef KCP_PROFILE_CONFIG_H
#define KCP_PROFILE_CONFIG_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "profile/config_log.h"
#include "profile/config_record.h"
#include "profile/profile.h"
#include "profile/publish_outcomes.h"
#include "profile/team.h"

/* The state of a configuration, for comparison between VMs. Two VMs with equal version
   and digest hold the same documents. version never decreases, so a VM can merge the
   versions of others by keeping the maximum. */
struct kcp_config_position
{
  uint64_t version; /* of the newest change in force */
  uint64_t digest;
  bool loaded;
  int64_t age_ns; /* since the log was last known to hold nothing newer; -1: never */
};

/* How the configuration in force relates to what was read from the log. */
struct kcp_config_status
{
  uint64_t next;   /* the first offset not applied */
  bool gap;        /* the log's start is missing and no checkpoint replaces it */
  bool unverified; /* the log may have been replaced; the record to compare was trimmed */
  bool ahead_of_log; /* an entry in force is not in the log */
  bool empty;        /* no entry is in force, deleted ones included */
  bool has_checkpoint;
  uint64_t checkpoint_upto;
  uint64_t records_since_checkpoint; /* records read since the newest checkpoint */
};

struct kcp_config;

struct kcp_config *kcp_config_new (const struct kcp_clock *clock);
void kcp_config_free (struct kcp_config *config);
enum kcp_config_result kcp_config_apply (struct kcp_config *config, uint64_t offset,
                                         json_t *record, struct kcp_error *error);
bool kcp_config_base (struct kcp_config *config, const char *key,
                      struct kcp_config_base *base);
bool
kcp_config_check_document (const char *key, json_t *document, struct kcp_error *error);
uint64_t kcp_config_next_offset (struct kcp_config *config);
void kcp_config_status (struct kcp_config *config, struct kcp_config_status *status);
void kcp_config_restart_log (struct kcp_config *config, uint64_t first);
void kcp_config_request_log_check (struct kcp_config *config);
bool kcp_config_take_log_check_request (struct kcp_config *config);
void kcp_config_mark_log_unverified (struct kcp_config *config);
bool kcp_config_can_compare_log (struct kcp_config *config);
bool
kcp_config_log_matches (struct kcp_config *config, uint64_t offset, const json_t *record);
json_t *kcp_config_checkpoint (struct kcp_config *config, bool root);
bool kcp_config_wait_outcome (struct kcp_config *config, const char *id,
                              int64_t timeout_ms, struct kcp_publish_outcome *outcome);
bool kcp_config_wait_log_synced (struct kcp_config *config, int64_t timeout_ms);
bool kcp_config_is_loaded (struct kcp_config *config);
bool kcp_config_wait_loaded (struct kcp_config *config, int64_t timeout_ms);
void kcp_config_confirm (struct kcp_config *config, int64_t read_start_ns);
int64_t kcp_config_age_ns (struct kcp_config *config);
json_t *kcp_config_document (struct kcp_config *config, const char *key,
                             struct kcp_config_base *base);
json_t *kcp_config_keys (struct kcp_config *config, const char *prefix);
struct kcp_profile *kcp_config_profile (struct kcp_config *config, const char *name);
void
kcp_config_position (struct kcp_config *config, struct kcp_config_position *position);
json_t *kcp_config_snapshot (struct kcp_config *config);
json_t *kcp_config_snapshot_since (struct kcp_config *config, uint64_t version);
bool
kcp_config_adopt (struct kcp_config *config, json_t *snapshot, struct kcp_error *error);
void kcp_config_adopt_confirmation (struct kcp_config *config,
                                    const struct kcp_config_position *position,
                                    int64_t request_ns);
struct kcp_team *kcp_config_team_by_key (struct kcp_config *config, struct kcp_str key);

#endif
