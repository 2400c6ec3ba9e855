#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend/order_state.h"
#include "tests/harness/run_suite.h"

#define LIMIT   2
#define ENGINES 5
#define STEPS   20000

START_TEST (test_at_most_the_limit_is_open_and_one_an_engine)
{
  const char *given = getenv ("SEED");
  guint32 seed = given != NULL ? (guint32)strtoul (given, NULL, 10) : 1;
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  struct kcp_order_state *state = kcp_order_state_new (LIMIT);
  unsigned held = 0;

  (void)printf ("seed %u\n", seed);
  for (uint64_t offset = 0; offset < STEPS; offset++)
    {
      g_autofree char *engine
          = g_strdup_printf ("e%d", g_rand_int_range (random, 0, ENGINES));
      const struct kcp_order_want *want = kcp_order_state_want (state, engine);
      const struct kcp_order_grant *open = kcp_order_state_grant (state, engine);
      uint64_t open_offset = open != NULL ? open->offset : KCP_ORDER_NONE;
      json_t *record;

      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          record = kcp_order_make_want (engine, "w2", NULL);
          break;
        case 1:
          record = kcp_order_make_grant (engine, want != NULL ? want->offset : 0, "vm",
                                         "id", 1000);
          break;
        default:
          record = kcp_order_make_close (
              "done", engine, (uint64_t)g_rand_int_range (random, 0, (gint)offset + 1));
          if (g_rand_boolean (random) && open != NULL)
            json_object_set_new (record, "grant",
                                 json_integer ((json_int_t)open->offset));
          break;
        }
      kcp_order_state_apply (state, offset, record);
      json_decref (record);
      ck_assert_uint_le (kcp_order_state_open (state), LIMIT);
      open = kcp_order_state_grant (state, engine);
      if (open != NULL && open->offset != open_offset)
        {
          ck_assert_uint_eq (open_offset, KCP_ORDER_NONE);
          held++;
        }
    }
  ck_assert_uint_gt (held, 0);
  kcp_order_state_free (state);
}
END_TEST

START_TEST (test_a_grant_for_an_older_want_does_not_hold)
{
  struct kcp_order_state *state = kcp_order_state_new (LIMIT);
  json_t *records[] = {
    kcp_order_make_want ("e", "w2", NULL),
    kcp_order_make_want ("e", "w3", NULL),
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
  Suite *suite = suite_create ("orders");
  TCase *tests = tcase_create ("orders");

  tcase_add_test (tests, test_at_most_the_limit_is_open_and_one_an_engine);
  tcase_add_test (tests, test_a_grant_for_an_older_want_does_not_hold);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
