/* Callers that send requests to some VMs at an even pace, and the check that a server
   which names a limit gets no more than the users' rule allows, and is used. */
#ifndef KCP_TESTS_HARNESS_LIMIT_LOAD_H
#define KCP_TESTS_HARNESS_LIMIT_LOAD_H

#include <pthread.h>

#include "tests/harness/route_vm.h"

#define LIMIT_LOAD_STABLE_WINDOW_MS 3000 /* stable-window-ms of the users' rule */
#define LIMIT_LOAD_WINDOW_MS        4000 /* of the same rule */

/* One caller for each of the first vms VMs. */
struct limit_load_spec
{
  struct route_vm *(*vm_at) (unsigned i);
  unsigned vms;
  double requests_per_s; /* of one caller */
  int64_t duration_ms;
  int64_t begin_within_ms; /* callers begin one after the other within this time */
  int64_t last_from_ms;    /* when the last one begins; 0: like the others */
};

/* What became of the requests of one caller, or of all. */
struct limit_load_result
{
  unsigned served;
  unsigned refused;
  unsigned failed;        /* neither */
  unsigned late_refusals; /* refusals that took too long or name no time */
};

struct limit_load
{
  struct limit_load_spec spec;
  struct limit_caller *callers;
  int64_t start_us;
  int64_t counted_from_us; /* the rule counts requests from then on */
};

void limit_load_start (struct limit_load *load, const struct limit_load_spec *spec);
struct limit_load_result limit_load_finish (struct limit_load *load);
void limit_load_expect_not_exceeded (const struct limit_load *load,
                                     struct fake_server *server, double limit);
void limit_load_expect_kept (const struct limit_load *load, struct fake_server *server,
                             double limit);
void limit_load_expect_answered (const struct limit_load_result *result);

#endif
