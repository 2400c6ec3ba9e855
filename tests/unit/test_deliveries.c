/* Tests when a delivery of a fact to the other VMs ends. */
#include <check.h>

#include "base/clock.h"
#include "peer/deliveries.h"
#include "tests/harness/run_suite.h"

#define NUMBER 7
#define VMS    2
#define DUE_NS (250 * KCP_NS_PER_MS)

static struct kcp_deliveries *deliveries;

static void
end_delivery (void *user)
{
  (void)user;
}

static void
set_up (void)
{
  deliveries = kcp_deliveries_new ();
  kcp_deliveries_add (deliveries, &(struct kcp_delivery){ .number = NUMBER,
                                                          .awaited = VMS,
                                                          .due_ns = DUE_NS,
                                                          .done = end_delivery });
}

static void
tear_down (void)
{
  kcp_deliveries_free (deliveries);
}

/* Returns how many deliveries have ended by then, and how many acknowledgements the last
   of them lacks. */
static guint
count_ended (int64_t now_ns, size_t *missing)
{
  g_autoptr (GArray) ended = kcp_deliveries_take_ended (deliveries, now_ns);

  if (ended->len > 0)
    *missing = g_array_index (ended, struct kcp_delivery, ended->len - 1).awaited;
  return ended->len;
}

START_TEST (test_delivery_ends_before_all_vms_acknowledge)
{
  size_t missing = VMS;

  ck_assert_uint_eq (count_ended (0, &missing), 0);
  kcp_deliveries_acknowledge (deliveries, NUMBER);
  ck_assert_uint_eq (count_ended (0, &missing), 0);
  kcp_deliveries_acknowledge (deliveries, NUMBER);
  ck_assert_uint_eq (count_ended (0, &missing), 1);
  ck_assert_uint_eq (missing, 0);
  ck_assert_uint_eq (count_ended (DUE_NS, &missing), 0);
}
END_TEST

START_TEST (test_acknowledgement_of_another_probe_counts)
{
  size_t missing = VMS;

  for (int i = 0; i < VMS; i++)
    kcp_deliveries_acknowledge (deliveries, NUMBER + 1);
  ck_assert_uint_eq (count_ended (DUE_NS - 1, &missing), 0);
}
END_TEST

START_TEST (test_delivery_without_acknowledgement_never_ends)
{
  size_t missing = 0;

  ck_assert_uint_eq (count_ended (DUE_NS - 1, &missing), 0);
  ck_assert_uint_eq (count_ended (DUE_NS, &missing), 1);
  ck_assert_uint_eq (missing, VMS);
}
END_TEST

START_TEST (test_delivery_that_nobody_acknowledges_waits)
{
  size_t missing = VMS;

  kcp_deliveries_add (deliveries,
                      &(struct kcp_delivery){ .number = NUMBER + 1, .due_ns = DUE_NS });
  ck_assert_uint_eq (count_ended (0, &missing), 1);
  ck_assert_uint_eq (missing, 0);
}
END_TEST

START_TEST (test_stop_leaves_deliveries)
{
  size_t missing = 0;

  kcp_deliveries_add (
      deliveries,
      &(struct kcp_delivery){ .number = NUMBER + 1, .awaited = VMS, .due_ns = DUE_NS });
  ck_assert_uint_eq (count_ended (INT64_MAX, &missing), 2);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("deliveries");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_delivery_ends_before_all_vms_acknowledge);
  tcase_add_test (tests, test_acknowledgement_of_another_probe_counts);
  tcase_add_test (tests, test_delivery_without_acknowledgement_never_ends);
  tcase_add_test (tests, test_delivery_that_nobody_acknowledges_waits);
  tcase_add_test (tests, test_stop_leaves_deliveries);
  return run_started_suite ();
}
