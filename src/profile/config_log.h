/* The state that results from the records of the configuration stream. It depends on the
   records only, so all VMs that have read up to the same offset have the same state. Not
   thread-safe. */
#ifndef KCP_PROFILE_CONFIG_LOG_H
#define KCP_PROFILE_CONFIG_LOG_H

#include <glib.h>

#include "profile/config_entry.h"

enum kcp_config_result
{
  KCP_CONFIG_APPLIED,
  KCP_CONFIG_STALE_BASE,
  KCP_CONFIG_INVALID,
  KCP_CONFIG_ALREADY_APPLIED, /* the offset was already applied */
  KCP_CONFIG_GAP,             /* records before this one are missing */
  KCP_CONFIG_CHECKPOINT,      /* a root checkpoint was applied or another one merged */
  KCP_CONFIG_REWOUND          /* a checkpoint closed the gap; read on at next */
};

struct kcp_config_log
{
  GHashTable *entries; /* key, struct kcp_config_entry */
  uint64_t version;    /* maximum of the versions assigned so far */
  uint64_t digest;     /* exclusive or of the digests of the entries */
  uint64_t next;       /* the first offset not applied */
  bool gap;            /* records before gap_start are missing */
  bool unverified;     /* the log may have been replaced before gap_start */
  uint64_t gap_start;
  bool has_checkpoint;
  uint64_t checkpoint_upto; /* the newest checkpoint covers records before this offset */
  uint64_t records_since_checkpoint; /* all records if there is no checkpoint */
  bool has_last_hash;                /* last_hash is that of the record before next */
  uint64_t last_hash;
};

void kcp_config_log_init (struct kcp_config_log *log);
void kcp_config_log_clear (struct kcp_config_log *log);
void kcp_config_log_restart (struct kcp_config_log *log, uint64_t first);
void kcp_config_log_mark_unverified (struct kcp_config_log *log);
enum kcp_config_result
kcp_config_log_apply (struct kcp_config_log *log, uint64_t offset, json_t *record,
                      struct kcp_config_entry **changed, struct kcp_error *error);
bool kcp_config_log_matches_record (const struct kcp_config_log *log, uint64_t offset,
                                    const json_t *record);

#endif
