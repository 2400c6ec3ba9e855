/* Measures the configuration with several numbers of teams: the time to find a team by
   its key, to apply a change, to adopt a snapshot and to apply a checkpoint, the size of
   the snapshot and the memory of the configuration. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/id.h"
#include "profile/config.h"

#define LOOKUPS  2000
#define PROFILES 24

static const unsigned team_counts[] = { 8, 400, 4000 };

static json_t *team_document (unsigned number);
static json_t *profile_document (void);
static uint64_t apply_change (struct kcp_config *config, uint64_t offset, const char *key,
                              json_t *document);
static struct kcp_config *make_config (unsigned teams);
static double lookup_us (struct kcp_config *config, unsigned teams);
static void measure (unsigned teams);

/* Prints one line per number of teams. */
int
main (void)
{
  (void)puts (
      "configuration: teams, us per key lookup, us per change, snapshot: KB, ms to "
      "write, ms to adopt, KB of memory, ms per checkpoint");
  for (size_t i = 0; i < G_N_ELEMENTS (team_counts); i++)
    measure (team_counts[i]);
  return EXIT_SUCCESS;
}

static void
measure (unsigned teams)
{
  size_t bytes_before = mallinfo2 ().uordblks;
  struct kcp_config *config = make_config (teams);
  size_t memory = mallinfo2 ().uordblks - bytes_before;
  struct kcp_config *replica = kcp_config_new (&kcp_clock_system);
  double key_us = lookup_us (config, teams);
  int64_t start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  json_t *snapshot = kcp_config_snapshot (config);
  char *text = json_dumps (snapshot, JSON_COMPACT);
  int64_t written_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  json_t *parsed = json_loads (text, 0, NULL);
  int64_t adopted_ns;
  int64_t change_ns;
  int64_t checkpoint_ns;
  json_t *checkpoint;

  if (!kcp_config_adopt (replica, parsed, NULL))
    abort ();
  adopted_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  (void)apply_change (config, PROFILES + teams, "profiles/new", profile_document ());
  (void)apply_change (config, PROFILES + teams + 1, "teams/new", team_document (teams));
  change_ns = (kcp_clock_monotonic_ns (&kcp_clock_system) - adopted_ns) / 2;
  checkpoint = kcp_config_checkpoint (config, false);
  checkpoint_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  if (kcp_config_apply (config, PROFILES + teams + 2, checkpoint, NULL)
      != KCP_CONFIG_CHECKPOINT)
    abort ();
  checkpoint_ns = kcp_clock_monotonic_ns (&kcp_clock_system) - checkpoint_ns;
  (void)printf ("%6u %8.2f %8.1f %8zu %8.1f %8.1f %8zu %8.1f\n", teams, key_us,
                (double)change_ns / KCP_NS_PER_US, strlen (text) / 1024,
                (double)(written_ns - start_ns) / KCP_NS_PER_MS,
                (double)(adopted_ns - written_ns) / KCP_NS_PER_MS, memory / 1024,
                (double)checkpoint_ns / KCP_NS_PER_MS);
  json_decref (checkpoint);
  free (text);
  json_decref (snapshot);
  json_decref (parsed);
  kcp_config_free (config);
  kcp_config_free (replica);
}

static struct kcp_config *
make_config (unsigned teams)
{
  struct kcp_config *config = kcp_config_new (&kcp_clock_system);
  uint64_t offset = 0;

  for (unsigned i = 0; i < PROFILES; i++)
    {
      g_autofree char *key = g_strdup_printf ("profiles/p%u", i);

      offset = apply_change (config, offset, key, profile_document ());
    }
  for (unsigned i = 0; i < teams; i++)
    {
      g_autofree char *key = g_strdup_printf ("teams/team-%u", i);

      offset = apply_change (config, offset, key, team_document (i));
    }
  return config;
}

static double
lookup_us (struct kcp_config *config, unsigned teams)
{
  int64_t start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);

  for (unsigned i = 0; i < LOOKUPS; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i * 7919 % teams);
      struct kcp_team *team = kcp_config_team_by_key (config, kcp_str_from_c (key));

      if (team == NULL)
        abort ();
      kcp_team_unref (team);
    }
  return (double)(kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns) / KCP_NS_PER_US
         / LOOKUPS;
}

static uint64_t
apply_change (struct kcp_config *config, uint64_t offset, const char *key,
              json_t *document)
{
  const struct kcp_config_base base = { 0 };
  char id[KCP_ID_LEN + 1];
  json_t *record;

  kcp_id_random (id);
  record = kcp_config_record_new_change (id, key, &base, document);
  if (kcp_config_apply (config, offset, record, NULL) != KCP_CONFIG_APPLIED)
    abort ();
  json_decref (record);
  json_decref (document);
  return offset + 1;
}

static json_t *
team_document (unsigned number)
{
  g_autofree char *key = g_strdup_printf ("key-%u", number);
  char hash[KCP_HASH_HEX_LEN + 1];

  kcp_id_hash (kcp_str_from_c (key), hash);
  return json_pack ("{s[s]s[sss]si}", "key_hashes", hash, "profiles", "p1", "p2", "p3",
                    "share", 5);
}

static json_t *
profile_document (void)
{
  return json_pack ("{s[sss]s[sss]s[sss]sssbsi}", "prompt_in", "dc1", "dc2", "dc3",
                    "cache_in", "dc1", "dc2", "dc3", "compute_in", "dc1", "dc2", "dc3",
                    "class", "urgent", "repeatable", 1, "deadline_ms", 5000);
}
