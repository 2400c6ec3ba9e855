/* A team: the hashes of its API keys, its share of the capacity and the profiles that it
   may use. */
#ifndef KCP_PROFILE_TEAM_H
#define KCP_PROFILE_TEAM_H

#include <jansson.h>
#include <stdbool.h>

#include "base/error.h"

struct kcp_team
{
  char *name;
  int share;         /* weight of the team in sharing capacity, 1 to 1000 */
  char **key_hashes; /* BLAKE2b-256 in hexadecimal, NULL-terminated */
  char **profiles;   /* names of profiles, NULL-terminated */
};

struct kcp_team *
kcp_team_parse (const char *name, json_t *document, struct kcp_error *error);
struct kcp_team *kcp_team_ref (struct kcp_team *team);
void kcp_team_unref (struct kcp_team *team);
bool kcp_team_may_use (const struct kcp_team *team, const char *profile);
bool kcp_team_has_key_hash (const struct kcp_team *team, const char *hash);

#endif
