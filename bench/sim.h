/* Virtual time: events in order of their time, and of their addition at equal times. */
#ifndef KCP_BENCH_SIM_H
#define KCP_BENCH_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sim;

typedef void sim_event (void *user, void *subject);

struct sim *sim_new (guint32 seed);
void sim_free (struct sim *sim);
int64_t sim_now (const struct sim *sim);
GRand *sim_random (struct sim *sim);
GRand *sim_noise (struct sim *sim);
void sim_after (struct sim *sim, int64_t delay_ns, sim_event *event, void *user,
                void *subject);
void sim_run (struct sim *sim, int64_t until_ns);

#endif
