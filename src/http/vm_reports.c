#include "http/vm_reports.h"

#define WAIT_MS      1000
#define WAIT_STEP_MS 10

static json_t *own_report (const struct kcp_router *router);
static size_t
sort_reports (json_t *reports, uint64_t version, json_t *in_force, json_t *waiting);

/* Returns a new array with one object per VM, this VM first. Its members include "vm",
   "data_center", "state", "version" (the newest change in force) and, where it is known,
   "age_ms" (the time since the log was last known to contain no newer change). */
json_t *
kcp_vm_reports_new (const struct kcp_router *router)
{
  json_t *reports = json_array ();
  json_t *others = router->vm_source.list != NULL
                       ? router->vm_source.list (router->vm_source.user)
                       : NULL;

  json_array_append_new (reports, own_report (router));
  if (others != NULL)
    json_array_extend (reports, others);
  json_decref (others);
  return reports;
}

/* Adds to answer the names of the VMs that report the version as in force ("in_force")
   and of the other VMs ("not_confirmed"). Waits up to WAIT_MS for all VMs to report it.
 */
void
kcp_vm_reports_add_in_force (const struct kcp_router *router, uint64_t version,
                             json_t *answer)
{
  json_t *in_force = json_array ();
  json_t *waiting = json_array ();

  for (int waited = 0; waited <= WAIT_MS; waited += WAIT_STEP_MS)
    {
      json_t *reports = kcp_vm_reports_new (router);
      size_t missing = sort_reports (reports, version, in_force, waiting);

      json_decref (reports);
      if (missing == 0)
        break;
      g_usleep (WAIT_STEP_MS * G_TIME_SPAN_MILLISECOND);
    }
  json_object_set_new (answer, "in_force", in_force);
  json_object_set_new (answer, "not_confirmed", waiting);
}

static json_t *
own_report (const struct kcp_router *router)
{
  struct kcp_config_position position;
  json_t *report;

  kcp_config_position (router->config, &position);
  report = json_pack ("{sssssssIsb}", "vm", router->settings->vm_id, "data_center",
                      router->settings->vm_data_center, "state", "alive", "version",
                      (json_int_t)position.version, "loaded", position.loaded);
  if (position.age_ns >= 0)
    json_object_set_new (report, "age_ms",
                         json_integer (position.age_ns / KCP_NS_PER_MS));
  return report;
}

/* Splits the names of the VMs into in_force and waiting, depending on whether they report
   the version or a newer one. Returns the size of waiting. */
static size_t
sort_reports (json_t *reports, uint64_t version, json_t *in_force, json_t *waiting)
{
  json_t *report;
  size_t i;

  json_array_clear (in_force);
  json_array_clear (waiting);
  json_array_foreach (reports, i, report)
  {
    uint64_t held = (uint64_t)json_integer_value (json_object_get (report, "version"));

    json_array_append (held >= version ? in_force : waiting,
                       json_object_get (report, "vm"));
  }
  return json_array_size (waiting);
}
