#include "profile/dc_set.h"

/* Adds a data center to the set. Returns false if the set is full. */
bool
kcp_dc_set_add (struct kcp_dc_set *set, GQuark data_center)
{
  if (kcp_dc_set_has (set, data_center))
    return true;
  if (set->count == KCP_DC_SET_MAX)
    return false;
  set->members[set->count++] = data_center;
  return true;
}

/* Returns true if the set contains the data center. */
bool
kcp_dc_set_has (const struct kcp_dc_set *set, GQuark data_center)
{
  for (unsigned i = 0; i < set->count; i++)
    if (set->members[i] == data_center)
      return true;
  return false;
}
