/* An index of the teams by the hashes of their API keys. */
#ifndef KCP_PROFILE_TEAM_INDEX_H
#define KCP_PROFILE_TEAM_INDEX_H

#include <glib.h>

#include "profile/team.h"

struct kcp_team_index
{
  GHashTable *by_hash; /* hash in lower-case hexadecimal, struct kcp_team */
};

void kcp_team_index_init (struct kcp_team_index *index);
void kcp_team_index_clear (struct kcp_team_index *index);
void kcp_team_index_remove_all (struct kcp_team_index *index);
void kcp_team_index_add (struct kcp_team_index *index, struct kcp_team *team);
struct kcp_team *
kcp_team_index_find (const struct kcp_team_index *index, const char *hash);

#endif
