/* Measures the state that every VM keeps, as memory and processor time per item:
   configuration documents, timeline events and orders. */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend/order_state.h"
#include "base/id.h"
#include "base/timeline.h"
#include "profile/config.h"

#define TEAMS            4000
#define PROFILES         400
#define LOOKUPS          20000
#define EVENTS           1000000
#define TIMELINE_ENTRIES 16384
#define ORDERS           5900

static void measure_config (void);
static void measure_timeline (void);
static void measure_orders (void);
static json_t *team_record (int i);
static json_t *profile_record (int i);
static size_t heap_bytes (void);
static int64_t now_ns (void);

/* Prints one line per kind of state. */
int
main (void)
{
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  measure_config ();
  measure_timeline ();
  measure_orders ();
  return EXIT_SUCCESS;
}

static void
measure_config (void)
{
  struct kcp_config *config = kcp_config_new (&kcp_clock_system);
  size_t bytes_before = heap_bytes ();
  int64_t start_ns = now_ns ();
  size_t bytes;
  int64_t apply_ns;

  for (int i = 0; i < TEAMS + PROFILES; i++)
    {
      json_t *record = i < PROFILES ? profile_record (i) : team_record (i);

      if (kcp_config_apply (config, (uint64_t)i, record, NULL) != KCP_CONFIG_APPLIED)
        exit (EXIT_FAILURE);
      json_decref (record);
    }
  apply_ns = (now_ns () - start_ns) / (TEAMS + PROFILES);
  bytes = (heap_bytes () - bytes_before) / (TEAMS + PROFILES);
  start_ns = now_ns ();
  for (int i = 0; i < LOOKUPS; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%d", PROFILES + i % TEAMS);
      struct kcp_team *team = kcp_config_team_by_key (config, kcp_str_from_c (key));

      if (team == NULL)
        exit (EXIT_FAILURE);
      kcp_team_unref (team);
    }
  (void)printf ("configuration: %d documents: %zu bytes and %" G_GINT64_FORMAT
                " ns to apply each; %" G_GINT64_FORMAT " ns to find a team by its key\n",
                TEAMS + PROFILES, bytes, apply_ns, (now_ns () - start_ns) / LOOKUPS);
  kcp_config_free (config);
}

static void
measure_timeline (void)
{
  size_t bytes_before = heap_bytes ();
  struct kcp_timeline *timeline = kcp_timeline_new (&kcp_clock_system, TIMELINE_ENTRIES);
  size_t bytes = heap_bytes () - bytes_before;
  int64_t start_ns = now_ns ();

  for (int i = 0; i < EVENTS; i++)
    kcp_timeline_add (timeline, KCP_EVENT_PLACED, "0123456789abcdef0123456789abcdef",
                      "engine-1", i);
  (void)printf ("timeline: %zu bytes and %" G_GINT64_FORMAT " ns per event\n",
                bytes / TIMELINE_ENTRIES, (now_ns () - start_ns) / EVENTS);
  kcp_timeline_free (timeline);
}

static void
measure_orders (void)
{
  size_t bytes_before = heap_bytes ();
  struct kcp_order_state *state = kcp_order_state_new (2);
  int64_t start_ns = now_ns ();

  for (int i = 0; i < ORDERS; i++)
    {
      g_autofree char *engine = g_strdup_printf ("engine-%d", i);
      json_t *record = kcp_order_make_desired (engine, "v20261203", "serve");

      kcp_order_state_apply (state, (uint64_t)i, record);
      json_decref (record);
    }
  (void)printf (
      "orders: %d engines: %zu bytes and %" G_GINT64_FORMAT " ns per desired state\n",
      ORDERS, (heap_bytes () - bytes_before) / ORDERS, (now_ns () - start_ns) / ORDERS);
  kcp_order_state_free (state);
}

static json_t *
team_record (int i)
{
  g_autofree char *name = g_strdup_printf ("teams/team-%d", i);
  g_autofree char *key = g_strdup_printf ("key-%d", i);
  char hash[KCP_HASH_HEX_LEN + 1];

  kcp_id_hash (kcp_str_from_c (key), hash);
  return json_pack ("{sssssis{s[s]s[ssss]si}}", "op", "put", "key", name, "base", 0,
                    "doc", "key_hashes", hash, "profiles", "urgent", "review", "lookup",
                    "booking", "share", 1);
}

static json_t *
profile_record (int i)
{
  g_autofree char *name = g_strdup_printf ("profiles/profile-%d", i);

  return json_pack ("{sssssis{s[sss]s[sss]s[sss]sssb}}", "op", "put", "key", name, "base",
                    0, "doc", "prompt_in", "dc1", "dc2", "dc3", "cache_in", "dc1", "dc2",
                    "dc3", "compute_in", "dc1", "dc2", "dc3", "class", "urgent",
                    "repeatable", 1);
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

static int64_t
now_ns (void)
{
  return kcp_clock_monotonic_ns (&kcp_clock_system);
}
