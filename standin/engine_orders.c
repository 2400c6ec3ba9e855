#include "standin/engine_orders.h"

#include <pthread.h>
#include <string.h>

#include "base/clock.h"

static enum MHD_Result apply_order (const struct standin_request *request);
static void complete_due_load (void);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char weights[ENGINE_WEIGHTS_MAX];
static char role[ENGINE_WEIGHTS_MAX] = "serve";
static char next_weights[ENGINE_WEIGHTS_MAX];
static bool loading;
static int64_t ready_ns;
static int64_t load_ms;
static int64_t max_fencing = -1; /* highest fencing token of an order so far */
static bool checks_fencing;
static json_t *loads; /* each load: start_ns, end_ns (monotonic), fencing, weights */

/* Initializes the weights from the options. */
void
engine_orders_start (const struct standin_options *options)
{
  g_strlcpy (weights, options->weights, sizeof weights);
  checks_fencing = options->checks_fencing;
  load_ms = options->load_ms;
  loads = json_array ();
}

/* Handles /orders: GET returns all loads up to now; POST {"fencing", "weights", "role"}
   is an order. */
enum MHD_Result
engine_orders_handle (const struct standin_request *request)
{
  json_t *copy;

  if (strcmp (request->method, "POST") == 0)
    return apply_order (request);
  pthread_mutex_lock (&lock);
  complete_due_load ();
  copy = json_deep_copy (loads);
  pthread_mutex_unlock (&lock);
  return standin_answer (request, 200, copy);
}

/* Adds the weights, the role and whether weights are being loaded to a load report. */
void
engine_orders_report (json_t *report)
{
  pthread_mutex_lock (&lock);
  complete_due_load ();
  json_object_set_new (report, "weights", json_string (weights));
  json_object_set_new (report, "role", json_string (role));
  json_object_set_new (report, "loading", json_boolean (loading));
  pthread_mutex_unlock (&lock);
}

/* Copies the version of the loaded weights to out. */
void
engine_orders_copy_weights (char out[ENGINE_WEIGHTS_MAX])
{
  pthread_mutex_lock (&lock);
  complete_due_load ();
  memcpy (out, weights, sizeof weights);
  pthread_mutex_unlock (&lock);
}

static enum MHD_Result
apply_order (const struct standin_request *request)
{
  json_t *order = json_loadb (request->body.data, request->body.len, 0, NULL);
  int64_t fencing = json_integer_value (json_object_get (order, "fencing"));
  const char *desired_weights = json_string_value (json_object_get (order, "weights"));
  const char *desired_role = json_string_value (json_object_get (order, "role"));
  int64_t now = kcp_clock_monotonic_ns (&kcp_clock_system);
  unsigned status = 200;

  pthread_mutex_lock (&lock);
  complete_due_load ();
  if (checks_fencing && fencing < max_fencing)
    status = 409;
  else
    {
      max_fencing = MAX (max_fencing, fencing);
      if (desired_role != NULL)
        g_strlcpy (role, desired_role, sizeof role);
      if (desired_weights != NULL && !loading && strcmp (desired_weights, weights) != 0)
        {
          loading = true;
          ready_ns = now + load_ms * KCP_NS_PER_MS;
          g_strlcpy (next_weights, desired_weights, sizeof next_weights);
          json_array_append_new (
              loads, json_pack ("{sIsIsIss}", "start_ns", (json_int_t)now, "end_ns",
                                (json_int_t)ready_ns, "fencing", (json_int_t)fencing,
                                "weights", desired_weights));
        }
    }
  pthread_mutex_unlock (&lock);
  json_decref (order);
  return standin_answer (request, status, json_object ());
}

/* Completes a load whose end time has passed. The lock must be held. */
static void
complete_due_load (void)
{
  if (!loading || kcp_clock_monotonic_ns (&kcp_clock_system) < ready_ns)
    return;
  loading = false;
  memcpy (weights, next_weights, sizeof weights);
}
