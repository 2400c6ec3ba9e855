#include "request/retry_gate.h"

#include <pthread.h>

struct kcp_retry_gate
{
  pthread_mutex_t lock; /* no other lock is taken while it is held */
  int64_t budget_percent;
  GHashTable *budgets; /* interned name of a data center to struct kcp_retry_budget */
};

static struct kcp_retry_budget *
get_budget (struct kcp_retry_gate *gate, GQuark data_center);

/* Returns budgets that start full and gain budget_percent retries for every 100
   requests. */
struct kcp_retry_gate *
kcp_retry_gate_new (int64_t budget_percent)
{
  struct kcp_retry_gate *gate = g_new0 (struct kcp_retry_gate, 1);

  pthread_mutex_init (&gate->lock, NULL);
  gate->budget_percent = budget_percent;
  gate->budgets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return gate;
}

/* Frees the budgets; NULL is allowed. */
void
kcp_retry_gate_free (struct kcp_retry_gate *gate)
{
  if (gate == NULL)
    return;
  g_hash_table_unref (gate->budgets);
  pthread_mutex_destroy (&gate->lock);
  g_free (gate);
}

/* Credits the budget of the data center with a request whose first attempt goes there. */
void
kcp_retry_gate_add_request (struct kcp_retry_gate *gate, GQuark data_center)
{
  pthread_mutex_lock (&gate->lock);
  kcp_retry_budget_add_request (get_budget (gate, data_center));
  pthread_mutex_unlock (&gate->lock);
}

/* Decides how to proceed after an attempt that failed in the data center. Charges the
   budget of the data center for a retry that may compute work twice. */
enum kcp_retry_decision
kcp_retry_gate_decide (struct kcp_retry_gate *gate, GQuark data_center,
                       const struct kcp_retry_facts *facts)
{
  enum kcp_retry_decision decision;

  pthread_mutex_lock (&gate->lock);
  decision = kcp_retry_decide (facts, get_budget (gate, data_center));
  pthread_mutex_unlock (&gate->lock);
  return decision;
}

static struct kcp_retry_budget *
get_budget (struct kcp_retry_gate *gate, GQuark data_center)
{
  gpointer key = (gpointer)g_quark_to_string (data_center);
  struct kcp_retry_budget *budget = g_hash_table_lookup (gate->budgets, key);

  if (budget != NULL)
    return budget;
  budget = g_new0 (struct kcp_retry_budget, 1);
  kcp_retry_budget_init (budget, gate->budget_percent);
  g_hash_table_insert (gate->budgets, key, budget);
  return budget;
}
