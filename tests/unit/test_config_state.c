/* Tests the exchange of the configuration between VMs and its index of API keys. Guards
   against an older snapshot that reverts a change or restores a deleted document, a
   confirmation that appears more recent than it is, and keys that stay valid after their
   team's document was replaced. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "profile/config.h"
#include "tests/harness/run_suite.h"

#define PROFILE_TEXT                                                                     \
  "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],\"compute_in\":[\"dc1\"],"            \
  "\"importance\":%d}"

static struct kcp_clock clock_now;

static void
set_up (void)
{
  clock_now = (struct kcp_clock){ .kind = KCP_CLOCK_MANUAL, .monotonic = { 1000, 0 } };
}

/* Returns a new record that writes profiles/NAME. */
static json_t *
put_record (const char *name, uint64_t base, const char *id, int importance)
{
  g_autofree char *key = g_strconcat ("profiles/", name, NULL);
  g_autofree char *text = g_strdup_printf (PROFILE_TEXT, importance);

  return json_pack ("{ss ss sI ss so}", "op", "put", "key", key, "base", (json_int_t)base,
                    "id", id, "doc", json_loads (text, 0, NULL));
}

static enum kcp_config_result
put (struct kcp_config *config, uint64_t offset, const char *name, uint64_t base,
     int importance)
{
  g_autofree char *id = g_strdup_printf ("id-%s-%d", name, importance);
  json_t *record = put_record (name, base, id, importance);
  enum kcp_config_result result = kcp_config_apply (config, offset, record, NULL);

  json_decref (record);
  return result;
}

/* Returns the importance of the profile in force, or -1 if there is none. */
static int
importance (struct kcp_config *config, const char *name)
{
  struct kcp_profile *profile = kcp_config_profile (config, name);
  int value = profile != NULL ? profile->importance : -1;

  kcp_profile_unref (profile);
  return value;
}

static bool
adopt (struct kcp_config *to, struct kcp_config *from)
{
  json_t *snapshot = kcp_config_snapshot (from);
  bool done = kcp_config_adopt (to, snapshot, NULL);

  json_decref (snapshot);
  return done;
}

static bool
same_position (struct kcp_config *a, struct kcp_config *b)
{
  struct kcp_config_position position_a;
  struct kcp_config_position position_b;

  kcp_config_position (a, &position_a);
  kcp_config_position (b, &position_b);
  return position_a.version == position_b.version
         && position_a.digest == position_b.digest;
}

START_TEST (test_snapshot_updates_an_older_vm_and_reverts_no_newer_one)
{
  struct kcp_config *old = kcp_config_new (&clock_now);
  struct kcp_config *ahead = kcp_config_new (&clock_now);

  ck_assert_int_eq (put (old, 0, "a", 0, 1), KCP_CONFIG_APPLIED);
  ck_assert_int_eq (put (ahead, 0, "a", 0, 1), KCP_CONFIG_APPLIED);
  ck_assert_int_eq (put (ahead, 1, "a", 1, 2), KCP_CONFIG_APPLIED);
  kcp_config_confirm (ahead, kcp_clock_monotonic_ns (&clock_now));
  ck_assert (adopt (ahead, old));
  ck_assert_int_eq (importance (ahead, "a"), 2);
  ck_assert (!kcp_config_is_loaded (old));
  ck_assert (adopt (old, ahead));
  ck_assert (kcp_config_is_loaded (old));
  ck_assert_int_eq (importance (old, "a"), 2);
  ck_assert (same_position (old, ahead));
  kcp_config_free (old);
  kcp_config_free (ahead);
}
END_TEST

START_TEST (test_snapshot_with_one_invalid_entry_changes_nothing)
{
  struct kcp_config *from = kcp_config_new (&clock_now);
  struct kcp_config *to = kcp_config_new (&clock_now);
  json_t *snapshot;
  json_t *entry;

  put (from, 0, "a", 0, 1);
  put (from, 1, "b", 0, 2);
  snapshot = kcp_config_snapshot (from);
  entry = json_object_get (json_object_get (snapshot, "entries"), "profiles/b");
  json_object_set_new (json_object_get (entry, "doc"), "class", json_integer (4));
  ck_assert (!kcp_config_adopt (to, snapshot, NULL));
  ck_assert_int_eq (importance (to, "a"), -1);
  json_decref (snapshot);
  kcp_config_free (from);
  kcp_config_free (to);
}
END_TEST

START_TEST (test_deleted_document_is_not_restored_by_a_peer)
{
  struct kcp_config *behind = kcp_config_new (&clock_now);
  struct kcp_config *ahead = kcp_config_new (&clock_now);
  json_t *record
      = json_pack ("{ss ss si}", "op", "delete", "key", "profiles/a", "base", 1);

  put (behind, 0, "a", 0, 1);
  put (ahead, 0, "a", 0, 1);
  ck_assert_int_eq (kcp_config_apply (ahead, 1, record, NULL), KCP_CONFIG_APPLIED);
  ck_assert (adopt (ahead, behind));
  ck_assert_int_eq (importance (ahead, "a"), -1);
  ck_assert (adopt (behind, ahead));
  ck_assert_int_eq (importance (behind, "a"), -1);
  json_decref (record);
  kcp_config_free (behind);
  kcp_config_free (ahead);
}
END_TEST

START_TEST (test_age_of_peer_confirmation_counts_from_the_request)
{
  struct kcp_config *from = kcp_config_new (&clock_now);
  struct kcp_config *to = kcp_config_new (&clock_now);
  struct kcp_config_position position;
  int64_t request_ns;

  put (from, 0, "a", 0, 1);
  kcp_config_confirm (from, kcp_clock_monotonic_ns (&clock_now));
  request_ns = kcp_clock_monotonic_ns (&clock_now);
  kcp_clock_advance (&clock_now, 3 * KCP_NS_PER_S);
  kcp_config_position (from, &position);
  ck_assert_int_eq (kcp_config_age_ns (to), INT64_MAX);
  kcp_config_adopt_confirmation (to, &position, request_ns);
  ck_assert_int_eq (kcp_config_age_ns (to), INT64_MAX);
  ck_assert (adopt (to, from));
  kcp_config_adopt_confirmation (to, &position, request_ns);
  ck_assert_int_eq (kcp_config_age_ns (to), 6 * KCP_NS_PER_S);
  kcp_config_free (from);
  kcp_config_free (to);
}
END_TEST

/* Applies, at an offset, a record that writes teams/NAME with the hash of one key. */
static void
put_team (struct kcp_config *config, uint64_t offset, const char *name, uint64_t base,
          const char *key)
{
  g_autofree char *path = g_strconcat ("teams/", name, NULL);
  const struct kcp_config_base from = { .version = base };
  char hash[KCP_HASH_HEX_LEN + 1];
  json_t *document;
  json_t *record;

  kcp_id_hash (kcp_str_from_c (key), hash);
  document = json_pack ("{s[s]s[s]}", "key_hashes", hash, "profiles", "p");
  record = json_pack ("{sssssIsO}", "op", "put", "key", path, "base",
                      (json_int_t)from.version, "doc", document);
  ck_assert_int_eq (kcp_config_apply (config, offset, record, NULL), KCP_CONFIG_APPLIED);
  json_decref (document);
  json_decref (record);
}

static bool
key_belongs_to (struct kcp_config *config, const char *key, const char *name)
{
  struct kcp_team *team = kcp_config_team_by_key (config, kcp_str_from_c (key));
  bool same = team == NULL ? name == NULL : g_strcmp0 (team->name, name) == 0;

  kcp_team_unref (team);
  return same;
}

START_TEST (test_key_belongs_to_its_team_until_replaced)
{
  struct kcp_config *config = kcp_config_new (&clock_now);

  put_team (config, 0, "b", 0, "shared");
  put_team (config, 1, "c", 0, "other");
  put_team (config, 2, "a", 0, "shared");
  ck_assert (key_belongs_to (config, "shared", "a"));
  put_team (config, 3, "a", 3, "new");
  ck_assert (key_belongs_to (config, "shared", "b"));
  ck_assert (key_belongs_to (config, "new", "a"));
  put_team (config, 4, "c", 2, "third");
  ck_assert (key_belongs_to (config, "other", NULL));
  kcp_config_free (config);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("config");

  tcase_add_checked_fixture (tests, set_up, NULL);
  tcase_add_test (tests, test_snapshot_updates_an_older_vm_and_reverts_no_newer_one);
  tcase_add_test (tests, test_snapshot_with_one_invalid_entry_changes_nothing);
  tcase_add_test (tests, test_deleted_document_is_not_restored_by_a_peer);
  tcase_add_test (tests, test_age_of_peer_confirmation_counts_from_the_request);
  tcase_add_test (tests, test_key_belongs_to_its_team_until_replaced);
  return run_started_suite ();
}
