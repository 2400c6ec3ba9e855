#include "profile/team.h"

#include <glib.h>
#include <string.h>

#include "base/id.h"

#define SHARE_MAX 1000
#define STEP      "team"

static char **
read_list (const char *name, json_t *document, const char *key, struct kcp_error *error);
static bool check_hashes (const struct kcp_team *team, struct kcp_error *error);
static bool check_keys (const char *name, json_t *document, struct kcp_error *error);
static bool
read_share (const char *name, json_t *document, int *out, struct kcp_error *error);
static void team_clear (gpointer data);

/* Parses and validates a team document. On failure returns NULL and sets an error that
   names the document, the key and the reason. */
struct kcp_team *
kcp_team_parse (const char *name, json_t *document, struct kcp_error *error)
{
  struct kcp_team *team = g_atomic_rc_box_new0 (struct kcp_team);

  team->name = g_strdup (name);
  team->share = 1;
  if (!check_keys (name, document, error)
      || !read_share (name, document, &team->share, error))
    goto fail;
  team->key_hashes = read_list (name, document, "key_hashes", error);
  if (team->key_hashes == NULL || !check_hashes (team, error))
    goto fail;
  team->profiles = read_list (name, document, "profiles", error);
  if (team->profiles == NULL)
    goto fail;
  return team;
fail:
  kcp_team_unref (team);
  return NULL;
}

/* Adds a reference to the team and returns it. */
struct kcp_team *
kcp_team_ref (struct kcp_team *team)
{
  return g_atomic_rc_box_acquire (team);
}

/* Drops a reference. team may be NULL. */
void
kcp_team_unref (struct kcp_team *team)
{
  if (team != NULL)
    g_atomic_rc_box_release_full (team, team_clear);
}

/* Returns true if the team's document lists the profile. */
bool
kcp_team_may_use (const struct kcp_team *team, const char *profile)
{
  return g_strv_contains ((const char *const *)team->profiles, profile);
}

/* Returns true if one of the team's keys has this hash. Compares all hashes even after a
   match, so that the duration does not reveal which one matched. */
bool
kcp_team_has_key_hash (const struct kcp_team *team, const char *hash)
{
  bool found = false;

  for (char **team_hash = team->key_hashes; *team_hash != NULL; team_hash++)
    found = kcp_id_hash_equal (*team_hash, hash) || found;
  return found;
}

static char **
read_list (const char *name, json_t *document, const char *key, struct kcp_error *error)
{
  json_t *list = json_object_get (document, key);
  GPtrArray *texts;
  json_t *member;
  size_t i;

  if (!json_is_array (list) || json_array_size (list) == 0)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "teams/%s: %s: required, a list of texts is allowed", name, key);
      return NULL;
    }
  texts = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (list, i, member)
  {
    if (!json_is_string (member))
      {
        kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                       "teams/%s: %s[%zu]: not a text", name, key, i);
        g_ptr_array_unref (texts);
        return NULL;
      }
    g_ptr_array_add (texts, g_strdup (json_string_value (member)));
  }
  g_ptr_array_add (texts, NULL);
  return (char **)g_ptr_array_free (texts, FALSE);
}

static bool
check_hashes (const struct kcp_team *team, struct kcp_error *error)
{
  for (size_t i = 0; team->key_hashes[i] != NULL; i++)
    if (strlen (team->key_hashes[i]) != KCP_HASH_HEX_LEN
        || strspn (team->key_hashes[i], "0123456789abcdef") != KCP_HASH_HEX_LEN)
      {
        kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                       "teams/%s: key_hashes[%zu]: a BLAKE2b-256 hash of %d lower case "
                       "hexadecimal digits is allowed",
                       team->name, i, KCP_HASH_HEX_LEN);
        return false;
      }
  return true;
}

static bool
check_keys (const char *name, json_t *document, struct kcp_error *error)
{
  static const char *const known[] = { "share", "key_hashes", "profiles", NULL };
  const char *key;
  json_t *value;

  if (!json_is_object (document))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "teams/%s: not a JSON object", name);
      return false;
    }
  json_object_foreach (document, key, value)
  {
    if (!g_strv_contains (known, key))
      {
        kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                       "teams/%s: %s: unknown key", name, key);
        return false;
      }
  }
  return true;
}

static bool
read_share (const char *name, json_t *document, int *out, struct kcp_error *error)
{
  json_t *value = json_object_get (document, "share");

  if (value == NULL)
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > SHARE_MAX)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "teams/%s: share: a whole number from 1 to %d is allowed", name,
                     SHARE_MAX);
      return false;
    }
  *out = (int)json_integer_value (value);
  return true;
}

static void
team_clear (gpointer data)
{
  struct kcp_team *team = data;

  g_free (team->name);
  g_strfreev (team->key_hashes);
  g_strfreev (team->profiles);
}
