/* Measures the cache index and the fair queue: memory per entry and processor time per
   operation. */
#include <stdio.h>
#include <time.h>

#include "base/clock.h"
#include "policy/admission.h"
#include "policy/cache_index.h"

#define INDEX_ENTRIES (1u << 21)
#define BLOCKS        1200000 /* entries in the cache index of a VM at the target size */
#define ENGINES       64
#define LOOKUPS       200000
#define CHAIN_BLOCKS  16
#define TEAMS         4000
#define REQUESTS      20000

static int64_t processor_ns (void);
static uint64_t block_id (uint64_t number);
static void measure_cache_index (void);
static void measure_queue (void);
static bool accept_all (void *user, struct kcp_admission_item *item);

/* Prints one line per result. */
int
main (void)
{
  measure_cache_index ();
  measure_queue ();
  return 0;
}

static int64_t
processor_ns (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return kcp_timespec_ns (now);
}

static uint64_t
block_id (uint64_t number)
{
  uint64_t id = (number + 1) * 0x9E3779B97F4A7C15u;

  return id ^ (id >> 29);
}

static void
measure_cache_index (void)
{
  struct kcp_cache_index *cache_index = kcp_cache_index_new (INDEX_ENTRIES);
  kcp_cache_index_slot slots[ENGINES];
  int64_t leading[ENGINES];
  uint64_t chain[CHAIN_BLOCKS];
  int64_t start_ns;
  int64_t found = 0;

  for (uint64_t i = 0; i < ENGINES; i++)
    (void)kcp_cache_index_find_slot (cache_index, i + 1, 1, &slots[i]);
  start_ns = processor_ns ();
  for (uint64_t i = 0; i < BLOCKS; i++)
    kcp_cache_index_add (cache_index, slots[i / CHAIN_BLOCKS % ENGINES], block_id (i));
  (void)printf ("cache index: add %.0f ns\n",
                (double)(processor_ns () - start_ns) / BLOCKS);
  for (uint64_t i = 0; i < BLOCKS; i++)
    {
      uint64_t id = block_id (i);
      kcp_cache_index_slot slot = slots[i / CHAIN_BLOCKS % ENGINES];
      int64_t found_blocks;

      kcp_cache_index_count_leading (cache_index, &id, 1, &slot, 1, &found_blocks);
      found += found_blocks;
    }
  (void)printf ("cache index: %.1f bytes per block found, %.2f%% of %d blocks found\n",
                (double)kcp_cache_index_bytes (cache_index) / (double)found,
                100.0 * (double)found / BLOCKS, BLOCKS);
  start_ns = processor_ns ();
  for (uint64_t i = 0; i < LOOKUPS; i++)
    {
      for (uint64_t j = 0; j < CHAIN_BLOCKS; j++)
        chain[j] = block_id (i * CHAIN_BLOCKS % BLOCKS + j);
      kcp_cache_index_count_leading (cache_index, chain, CHAIN_BLOCKS, slots, ENGINES,
                                     leading);
    }
  (void)printf ("cache index: look up %d blocks at %d engines %.0f ns\n", CHAIN_BLOCKS,
                ENGINES, (double)(processor_ns () - start_ns) / LOOKUPS);
  start_ns = processor_ns ();
  for (uint64_t i = 0; i < BLOCKS; i++)
    kcp_cache_index_remove (cache_index, slots[i / CHAIN_BLOCKS % ENGINES], block_id (i));
  (void)printf ("cache index: remove %.0f ns\n",
                (double)(processor_ns () - start_ns) / BLOCKS);
  kcp_cache_index_free (cache_index);
}

static void
measure_queue (void)
{
  struct kcp_admission *admission = kcp_admission_new ();
  struct kcp_admission_item *items = g_new0 (struct kcp_admission_item, REQUESTS);
  const struct kcp_admission_now now = { 0, 0 };
  int64_t start_ns = processor_ns ();

  for (uint64_t i = 0; i < REQUESTS; i++)
    {
      items[i] = (struct kcp_admission_item){
        .class = KCP_CLASS_NORMAL,
        .team = i % TEAMS,
        .share = 1,
        .work = 1000,
        .deadline_ns = INT64_MAX / 2,
        .fingerprint = i,
      };
      (void)kcp_admission_offer (admission, &items[i], &now);
    }
  (void)printf ("fair queue of %d teams: offer %.0f ns\n", TEAMS,
                (double)(processor_ns () - start_ns) / REQUESTS);
  start_ns = processor_ns ();
  while (kcp_admission_next (admission, accept_all, NULL, 0) != NULL)
    continue;
  (void)printf ("fair queue of %d teams: next %.0f ns\n", TEAMS,
                (double)(processor_ns () - start_ns) / REQUESTS);
  g_free (items);
  kcp_admission_free (admission);
}

static bool
accept_all (void *user, struct kcp_admission_item *item)
{
  (void)user;
  (void)item;
  return true;
}
