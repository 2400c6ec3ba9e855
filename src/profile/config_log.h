/* What the configuration stream of the log decides: a pure function of its records, the
   same on every VM that has read as far. Not thread-safe. */
#ifndef KCP_PROFILE_CONFIG_LOG_H
#define KCP_PROFILE_CONFIG_LOG_H

#include <glib.h>

#include "profile/config_entry.h"

enum kcp_config_result
{
  KCP_CONFIG_APPLIED,
  KCP_CONFIG_STALE_BASE,
  KCP_CONFIG_INVALID,
  KCP_CONFIG_OLD,        /* the offset was applied before */
  KCP_CONFIG_GAP,        /* records before this one are missing */
  KCP_CONFIG_CHECKPOINT, /* joined */
  KCP_CONFIG_REWOUND     /* a checkpoint closed the gap; read on from next */
};

struct kcp_config_log
{
  GHashTable *entries; /* key, struct kcp_config_entry */
  uint64_t version;    /* greatest version decided so far */
  uint64_t digest;     /* exclusive or of the entries' digests */
  uint64_t next;       /* the first offset not applied */
  bool gap;            /* records before gap_start are missing */
  bool unverified;     /* the log may have been replaced before gap_start */
  uint64_t gap_start;
  bool has_checkpoint;
  uint64_t checkpoint_upto; /* the newest checkpoint holds all records before it */
  uint64_t records_since;   /* the newest checkpoint, or the start */
  bool has_last;            /* the record before next was read */
  uint64_t last_hash;
};

void kcp_config_log_init (struct kcp_config_log *log);
void kcp_config_log_clear (struct kcp_config_log *log);
void kcp_config_log_restart (struct kcp_config_log *log, uint64_t first);
void kcp_config_log_doubt (struct kcp_config_log *log);
enum kcp_config_result
kcp_config_log_apply (struct kcp_config_log *log, uint64_t offset, json_t *record,
                      struct kcp_config_entry **changed, struct kcp_error *error);
bool kcp_config_log_holds (const struct kcp_config_log *log, uint64_t offset,
                           const json_t *record);

#endif
