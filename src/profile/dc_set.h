/* A set of at most KCP_DC_SET_MAX data centers. */
#ifndef KCP_PROFILE_DC_SET_H
#define KCP_PROFILE_DC_SET_H

#include <glib.h>
#include <stdbool.h>

#define KCP_DC_SET_MAX 32

struct kcp_dc_set
{
  GQuark members[KCP_DC_SET_MAX];
  unsigned count;
};

bool kcp_dc_set_add (struct kcp_dc_set *set, GQuark data_center);
bool kcp_dc_set_has (const struct kcp_dc_set *set, GQuark data_center);

#endif
