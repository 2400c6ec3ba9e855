/* Builds and parses the records of the configuration stream:
   {"op": "put", "id", "key", "base", "base_id", "doc"},
   {"op": "delete", "id", "key", "base", "base_id"},
   {"op": "checkpoint", "id", "upto", "version", "root", "entries", "carried"}. */
#ifndef KCP_PROFILE_CONFIG_RECORD_H
#define KCP_PROFILE_CONFIG_RECORD_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/id.h"

struct kcp_config_checkpoint
{
  uint64_t upto;    /* the entries cover all records before this offset */
  uint64_t version; /* maximum of the versions assigned before it */
  bool root;        /* the stream restarts with this record */
};

/* The version on which a change is based. If there was no document, version is 0 and id
   is empty. */
struct kcp_config_base
{
  uint64_t version;
  char id[KCP_ID_LEN + 1];
};

json_t *
kcp_config_record_new_change (const char *id, const char *key,
                              const struct kcp_config_base *base, json_t *document);
bool kcp_config_record_is_checkpoint (json_t *record);
bool kcp_config_record_parse_checkpoint (json_t *record,
                                         struct kcp_config_checkpoint *checkpoint,
                                         struct kcp_error *error);
bool kcp_config_record_parse_entries (json_t *object, GPtrArray *entries,
                                      struct kcp_error *error);

#endif
