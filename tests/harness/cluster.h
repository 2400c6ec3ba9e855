/* Runs a deployment of stand-ins and entry VMs as child processes, for tests, benchmarks
   and the demo. */
#ifndef KCP_TESTS_HARNESS_CLUSTER_H
#define KCP_TESTS_HARNESS_CLUSTER_H

#include <glib.h>

#include "tests/harness/client.h"
#include "tests/harness/process.h"

#define CLUSTER_TOKEN    "operators-test-token"
#define CLUSTER_TEAM_KEY "brolga-test-key"
#define CLUSTER_TEAM     "brolga"
#define CLUSTER_MODEL    "haul-7b"
#define CLUSTER_SERVICE  "bookings"

struct cluster
{
  char *folder; /* for logs and settings, below the build folder */
  struct process *log;
  struct process *list;
  GPtrArray *engines;  /* struct process */
  GPtrArray *services; /* struct process */
  GPtrArray *vms;      /* struct process */
  GPtrArray *members;  /* entries of the platform's list, as JSON strings */
  int vm_log_port;     /* log port in the settings of VMs started next */
};

struct cluster *cluster_new (const char *name);
void cluster_free (struct cluster *cluster);
struct process *cluster_add_engine (struct cluster *cluster, const char *name,
                                    const char *data_center, char *const *options);
struct process *
cluster_add_service (struct cluster *cluster, const char *name, const char *data_center);
struct process *cluster_add_vm (struct cluster *cluster, const char *name,
                                const char *data_center, const char *settings);
void cluster_set_member (struct cluster *cluster, const char *kind, const char *name,
                         int port, const char *data_center, const char *state);
void cluster_publish_list (struct cluster *cluster, int64_t lag_ms);
long cluster_admin_put (int admin_port, const char *path, const char *document,
                        const char *header);
void cluster_publish_default_config (struct cluster *cluster);
void cluster_wait_ready (struct cluster *cluster);
json_t *cluster_admin_get (int admin_port, const char *path);
int64_t cluster_counter (const struct process *vm, const char *name);
void cluster_inject_faults (const struct process *standin, const char *faults);
struct process *cluster_vm (struct cluster *cluster, guint index);

#endif
