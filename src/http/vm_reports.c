#include "http/vm_reports.h"

#define CONFIRM_TIMEOUT_MS 1000
#define CONFIRM_POLL_MS    10

static json_t *own_report (const struct kcp_router *router);
static size_t
split_reports (json_t *reports, uint64_t version, json_t *in_force, json_t *unconfirmed);

/* Returns a new array with one object per VM, this VM first. Its members include "vm",
   "data_center", "state", "version" (the newest change in force) and, where it is known,
   "age_ms" (the time since the log was last known to contain no newer change). */
json_t *
kcp_vm_reports_new (const struct kcp_router *router)
{
  json_t *reports = json_array ();
  json_t *peer_reports = router->vm_source.list != NULL
                             ? router->vm_source.list (router->vm_source.user)
                             : NULL;

  json_array_append_new (reports, own_report (router));
  if (peer_reports != NULL)
    json_array_extend (reports, peer_reports);
  json_decref (peer_reports);
  return reports;
}

/* Adds to answer the names of the VMs that report the version as in force ("in_force")
   and of the other VMs ("not_confirmed"). Waits up to CONFIRM_TIMEOUT_MS for all VMs to
   report it. */
void
kcp_vm_reports_add_confirmations (const struct kcp_router *router, uint64_t version,
                                  json_t *answer)
{
  json_t *in_force = json_array ();
  json_t *unconfirmed = json_array ();

  for (int waited_ms = 0; waited_ms <= CONFIRM_TIMEOUT_MS; waited_ms += CONFIRM_POLL_MS)
    {
      json_t *reports = kcp_vm_reports_new (router);
      size_t unconfirmed_count = split_reports (reports, version, in_force, unconfirmed);

      json_decref (reports);
      if (unconfirmed_count == 0)
        break;
      g_usleep (CONFIRM_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  json_object_set_new (answer, "in_force", in_force);
  json_object_set_new (answer, "not_confirmed", unconfirmed);
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

/* Splits the names of the VMs into in_force and unconfirmed, depending on whether they
   report the version or a newer one. Returns the size of unconfirmed. */
static size_t
split_reports (json_t *reports, uint64_t version, json_t *in_force, json_t *unconfirmed)
{
  json_t *report;
  size_t i;

  json_array_clear (in_force);
  json_array_clear (unconfirmed);
  json_array_foreach (reports, i, report)
  {
    uint64_t reported
        = (uint64_t)json_integer_value (json_object_get (report, "version"));

    json_array_append (reported >= version ? in_force : unconfirmed,
                       json_object_get (report, "vm"));
  }
  return json_array_size (unconfirmed);
}
