/* One document of the configuration with its version. The entry of a deleted document is
   kept without the document (a tombstone), so that an older copy from another VM cannot
   restore it. */
#ifndef KCP_PROFILE_CONFIG_ENTRY_H
#define KCP_PROFILE_CONFIG_ENTRY_H

#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/id.h"
#include "profile/profile.h"
#include "profile/team.h"

struct kcp_config_entry
{
  char *key;                   /* "profiles/NAME" or "teams/NAME" */
  uint64_t version;            /* greater than those of all earlier changes */
  char id[KCP_ID_LEN + 1];     /* of the publication */
  json_t *document;            /* NULL once deleted */
  struct kcp_profile *profile; /* parsed, if the key is profiles/NAME, or NULL */
  struct kcp_team *team;       /* parsed, if the key is teams/NAME, or NULL */
};

struct kcp_config_entry *
kcp_config_entry_new (const char *key, json_t *document, struct kcp_error *error);
struct kcp_config_entry *
kcp_config_entry_from_json (const char *key, json_t *value, struct kcp_error *error);
json_t *kcp_config_entry_to_json (const struct kcp_config_entry *entry);
struct kcp_config_entry *kcp_config_entry_ref (struct kcp_config_entry *entry);
void kcp_config_entry_unref (gpointer entry);
bool kcp_config_entry_is_newer (const struct kcp_config_entry *entry,
                                const struct kcp_config_entry *other);
uint64_t kcp_config_entry_digest (const struct kcp_config_entry *entry);
GPtrArray *kcp_config_entries_new (void);
void kcp_config_entries_collect (GHashTable *table, GHashTable *other_table,
                                 uint64_t version, GPtrArray *out);
json_t *kcp_config_entries_to_json (const GPtrArray *entries);

#endif
