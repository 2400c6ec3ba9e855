#include "peer/deliveries.h"

struct kcp_deliveries
{
  GArray *waiting; /* struct kcp_delivery */
};

/* Creates an empty table. */
struct kcp_deliveries *
kcp_deliveries_new (void)
{
  struct kcp_deliveries *deliveries = g_new0 (struct kcp_deliveries, 1);

  deliveries->waiting = g_array_new (FALSE, FALSE, sizeof (struct kcp_delivery));
  return deliveries;
}

/* Frees the table without ending its deliveries; NULL is allowed. */
void
kcp_deliveries_free (struct kcp_deliveries *deliveries)
{
  if (deliveries == NULL)
    return;
  g_array_unref (deliveries->waiting);
  g_free (deliveries);
}

/* Adds a delivery. One that awaits no acknowledgement has ended already. */
void
kcp_deliveries_add (struct kcp_deliveries *deliveries,
                    const struct kcp_delivery *delivery)
{
  g_array_append_vals (deliveries->waiting, delivery, 1);
}

/* Counts the acknowledgement of a probe. Numbers of other probes are ignored. */
void
kcp_deliveries_acknowledge (struct kcp_deliveries *deliveries, uint64_t number)
{
  for (guint i = 0; i < deliveries->waiting->len; i++)
    {
      struct kcp_delivery *delivery
          = &g_array_index (deliveries->waiting, struct kcp_delivery, i);

      if (delivery->number == number && delivery->awaited > 0)
        delivery->awaited--;
    }
}

/* Removes the deliveries that are complete or have timed out, and returns them as a new
   array of struct kcp_delivery. INT64_MAX ends all of them. */
GArray *
kcp_deliveries_take_ended (struct kcp_deliveries *deliveries, int64_t now_ns)
{
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (struct kcp_delivery));

  for (guint i = 0; i < deliveries->waiting->len;)
    {
      struct kcp_delivery delivery
          = g_array_index (deliveries->waiting, struct kcp_delivery, i);

      if (delivery.awaited > 0 && delivery.due_ns > now_ns)
        {
          i++;
          continue;
        }
      g_array_append_val (ended, delivery);
      g_array_remove_index (deliveries->waiting, i);
    }
  return ended;
}
