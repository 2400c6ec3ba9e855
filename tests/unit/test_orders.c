/* Checks that the state machine of orders never has more open grants than the limit or
   two open grants for one engine, whatever records the log contains, and that a grant
   appended for an earlier desired state does not take effect. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend/order_state.h"
#include "tests/harness/run_suite.h"

#define MAX_OPEN_GRANTS 2
#define ENGINES         5
#define STEPS           20000

START_TEST (test_open_grants_stay_within_the_limit_and_one_per_engine)
{
  const char *seed_text = getenv ("SEED");
  guint32 seed = seed_text != NULL ? (guint32)strtoul (seed_text, NULL, 10) : 1;
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  struct kcp_order_state *state = kcp_order_state_new (MAX_OPEN_GRANTS);
  unsigned granted = 0;

  (void)printf ("seed %u\n", seed);
  for (uint64_t offset = 0; offset < STEPS; offset++)
    {
      g_autofree char *engine
          = g_strdup_printf ("e%d", g_rand_int_range (random, 0, ENGINES));
      const struct kcp_order_desired *desired = kcp_order_state_desired (state, engine);
      const struct kcp_order_grant *grant = kcp_order_state_grant (state, engine);
      uint64_t grant_offset = grant != NULL ? grant->offset : KCP_ORDER_NONE;
      json_t *record;

      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          record = kcp_order_make_desired (engine, "w2", NULL);
          break;
        case 1:
          record = kcp_order_make_grant (engine, desired != NULL ? desired->offset : 0,
                                         "vm", "id", 1000);
          break;
        default:
          record = kcp_order_make_close (
              "done", engine, (uint64_t)g_rand_int_range (random, 0, (gint)offset + 1));
          if (g_rand_boolean (random) && grant != NULL)
            json_object_set_new (record, "grant",
                                 json_integer ((json_int_t)grant->offset));
          break;
        }
      kcp_order_state_apply (state, offset, record);
      json_decref (record);
      ck_assert_uint_le (kcp_order_state_count_open_grants (state), MAX_OPEN_GRANTS);
      grant = kcp_order_state_grant (state, engine);
      if (grant != NULL && grant->offset != grant_offset)
        {
          ck_assert_uint_eq (grant_offset, KCP_ORDER_NONE);
          granted++;
        }
    }
  ck_assert_uint_gt (granted, 0);
  kcp_order_state_free (state);
}
END_TEST

START_TEST (test_a_grant_for_an_outdated_want_record_is_ignored)
{
  struct kcp_order_state *state = kcp_order_state_new (MAX_OPEN_GRANTS);
  json_t *records[] = {
    kcp_order_make_desired ("e", "w2", NULL),
    kcp_order_make_desired ("e", "w3", NULL),
    kcp_order_make_grant ("e", 0, "vm", "id", 1000),
  };

  for (uint64_t i = 0; i < G_N_ELEMENTS (records); i++)
    {
      kcp_order_state_apply (state, i, records[i]);
      json_decref (records[i]);
    }
  ck_assert_ptr_null (kcp_order_state_grant (state, "e"));
  kcp_order_state_free (state);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("orders");

  tcase_add_test (tests, test_open_grants_stay_within_the_limit_and_one_per_engine);
  tcase_add_test (tests, test_a_grant_for_an_outdated_want_record_is_ignored);
  return run_started_suite ();
}
