#include "profile/team_index.h"

#include <string.h>

static void release_team (gpointer team);

/* Initializes an empty index. */
void
kcp_team_index_init (struct kcp_team_index *index)
{
  index->by_hash = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, release_team);
}

/* Frees the memory that the index owns. */
void
kcp_team_index_clear (struct kcp_team_index *index)
{
  g_hash_table_unref (index->by_hash);
}

/* Removes all teams from the index. */
void
kcp_team_index_remove_all (struct kcp_team_index *index)
{
  g_hash_table_remove_all (index->by_hash);
}

/* Adds a team under each of its key hashes. If two teams have the same hash, it belongs
   to the team whose name sorts first, regardless of the order in which they are added. */
void
kcp_team_index_add (struct kcp_team_index *index, struct kcp_team *team)
{
  for (char **hash = team->key_hashes; *hash != NULL; hash++)
    {
      const struct kcp_team *existing = g_hash_table_lookup (index->by_hash, *hash);

      if (existing == NULL || strcmp (team->name, existing->name) < 0)
        g_hash_table_replace (index->by_hash, g_strdup (*hash), kcp_team_ref (team));
    }
}

/* Returns a borrowed reference to the team that has a key with this hash, or NULL. The
   table compares hashes of the keys, not the keys, so the timing of a lookup does not
   help an attacker to find a key. */
struct kcp_team *
kcp_team_index_find (const struct kcp_team_index *index, const char *hash)
{
  return g_hash_table_lookup (index->by_hash, hash);
}

static void
release_team (gpointer team)
{
  kcp_team_unref (team);
}
