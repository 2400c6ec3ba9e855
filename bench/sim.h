/* Discrete-event simulator. A virtual clock advances from event to event; events at the
   same time run in the order in which they were scheduled. */
#ifndef KCP_BENCH_SIM_H
#define KCP_BENCH_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sim;

typedef void sim_callback (void *user, void *arg);

struct sim *sim_new (guint32 seed);
void sim_free (struct sim *sim);
int64_t sim_now (const struct sim *sim);
GRand *sim_workload_random (struct sim *sim);
GRand *sim_noise (struct sim *sim);
void sim_schedule (struct sim *sim, int64_t delay_ns, sim_callback *callback, void *user,
                   void *arg);
void sim_run (struct sim *sim, int64_t until_ns);

#endif
