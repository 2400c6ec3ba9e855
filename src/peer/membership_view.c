/* Queries on the membership. */
#include <string.h>

#include "peer/membership_private.h"

/* Finds a VM with a newer or more complete configuration than this one. Of several VMs
   with the highest version, the random number choice selects one. Copies the VM's
   configuration fact to newest and returns true if there is such a VM. */
bool
kcp_membership_find_newer_config (const struct kcp_membership *membership,
                                  uint64_t choice, struct kcp_fact *newest)
{
  g_autoptr (GPtrArray) list = kcp_facts_list (membership->facts, KCP_FACT_CONFIG);
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  uint64_t version = membership->config.version;

  for (guint i = 0; i < list->len; i++)
    {
      struct kcp_fact *fact = g_ptr_array_index (list, i);
      const struct kcp_config_summary *summary = &fact->content.config;

      if (summary->version < version || strcmp (fact->id, membership->id) == 0
          || kcp_membership_is_dead (membership, fact->id)
          || !kcp_membership_needs_config (&membership->config, summary))
        continue;
      if (summary->version > version)
        g_ptr_array_set_size (found, 0);
      version = summary->version;
      g_ptr_array_add (found, fact);
    }
  if (found->len == 0)
    return false;
  *newest = *(struct kcp_fact *)g_ptr_array_index (found, (guint)(choice % found->len));
  return true;
}

/* Returns the monotonic time in nanoseconds at which a probe was sent, or -1 if number is
   not that of the latest probe. */
int64_t
kcp_membership_probe_sent_ns (const struct kcp_membership *membership, uint64_t number)
{
  return membership->probe.number == number ? membership->probe.sent_ns : -1;
}

/* Looks up the endpoint of a VM. Returns false if it is unknown. */
bool
kcp_membership_find_endpoint (const struct kcp_membership *membership, const char *id,
                              struct kcp_vm_endpoint *endpoint)
{
  const struct kcp_fact *fact = kcp_facts_get (membership->facts, KCP_FACT_VM, id);
  const struct member *member = g_hash_table_lookup (membership->members, id);

  /* A dead VM may have been replaced under its id; the VM list has the new endpoint. */
  if (member != NULL && member->is_seed
      && (fact == NULL || kcp_membership_is_dead (membership, id)))
    *endpoint = member->endpoint;
  else if (fact != NULL)
    *endpoint = fact->content.vm;
  else
    return false;
  return true;
}

/* Returns true if this VM's view of the other VMs is current. After this VM detects that
   it did not run for a while, the view is stale until another VM acknowledges a probe
   sent since then. The view of a VM that knows of no other live VM is always current. */
bool
kcp_membership_has_current_view (const struct kcp_membership *membership)
{
  g_autoptr (GPtrArray) list = kcp_facts_list (membership->facts, KCP_FACT_VM);
  size_t others = 0;

  for (guint i = 0; i < list->len; i++)
    if (((struct kcp_fact *)g_ptr_array_index (list, i))->state != KCP_VM_DEAD)
      others++;
  return membership->view_is_current || others <= 1;
}

/* Returns this VM's incarnation, which increases when it refutes a suspicion. */
uint64_t
kcp_membership_incarnation (const struct kcp_membership *membership)
{
  return membership->incarnation;
}

/* Returns the fact table, which the caller must not modify. */
struct kcp_facts *
kcp_membership_facts (struct kcp_membership *membership)
{
  return membership->facts;
}

/* Returns all other known VMs as a new JSON array. "version" is the configuration version
   that the VM announced last, or 0 if it announced none. */
json_t *
kcp_membership_to_json (const struct kcp_membership *membership)
{
  g_autoptr (GPtrArray) list = kcp_facts_list (membership->facts, KCP_FACT_VM);
  json_t *vms = json_array ();

  for (guint i = 0; i < list->len; i++)
    {
      const struct kcp_fact *vm = g_ptr_array_index (list, i);
      const struct kcp_fact *config
          = kcp_facts_get (membership->facts, KCP_FACT_CONFIG, vm->id);
      struct kcp_config_summary summary = { .version = 0 };

      if (strcmp (vm->id, membership->id) == 0)
        continue;
      if (config != NULL)
        summary = config->content.config;
      json_array_append_new (
          vms,
          json_pack ("{sssssssIsbsIsssi}", "vm", vm->id, "data_center",
                     vm->content.vm.data_center, "state", kcp_vm_state_name (vm->state),
                     "version", (json_int_t)summary.version, "loaded", summary.loaded,
                     "incarnation", (json_int_t)vm->number, "address",
                     vm->content.vm.address, "port", (int)vm->content.vm.port));
    }
  return vms;
}

/* Returns true if a VM is known to be dead. */
bool
kcp_membership_is_dead (const struct kcp_membership *membership, const char *id)
{
  const struct kcp_fact *fact = kcp_facts_get (membership->facts, KCP_FACT_VM, id);

  return fact != NULL && fact->state == KCP_VM_DEAD;
}

/* Copies the id of a random VM that is not dead, other than this VM and except, which may
   be NULL. Returns false if there is none. */
bool
kcp_membership_random_peer (struct kcp_membership *membership, const char *except,
                            char id[KCP_FACT_ID_MAX])
{
  g_autoptr (GPtrArray) list = kcp_facts_list (membership->facts, KCP_FACT_VM);
  uint64_t start = membership->events.random (membership->events.user);

  for (guint i = 0; i < list->len; i++)
    {
      const struct kcp_fact *vm
          = g_ptr_array_index (list, (guint)((start + i) % list->len));

      if (vm->state == KCP_VM_DEAD || strcmp (vm->id, membership->id) == 0
          || g_strcmp0 (vm->id, except) == 0)
        continue;
      g_strlcpy (id, vm->id, KCP_FACT_ID_MAX);
      return true;
    }
  return false;
}

/* Returns true if a VM with the configuration held needs the configuration offered, whose
   version must not be lower. */
bool
kcp_membership_needs_config (const struct kcp_config_summary *held,
                             const struct kcp_config_summary *offered)
{
  return offered->version != held->version || offered->digest != held->digest
         || (offered->loaded && !held->loaded);
}
