/* The peer node of this VM: a thread that runs the membership protocol over ONC RPC and
   fetches configuration changes from other VMs. */
#ifndef KCP_PEER_PEER_H
#define KCP_PEER_PEER_H

#include <jansson.h>

#include "base/error.h"
#include "base/timeline.h"
#include "logstore/vm_list.h"
#include "peer/deliveries.h"
#include "peer/fact.h"
#include "profile/config.h"
#include "settings/settings.h"

/* Called for each changed fact of a kind, on the peer thread and without a lock held. */
typedef void kcp_fact_observer (void *user, const struct kcp_fact *fact);

struct kcp_peer;

struct kcp_peer *
kcp_peer_start (const struct kcp_settings *settings, const struct kcp_clock *clock,
                struct kcp_timeline *timeline, struct kcp_config *config,
                struct kcp_error *error);
void kcp_peer_stop (struct kcp_peer *peer);
int kcp_peer_port (const struct kcp_peer *peer);
void kcp_peer_update_seeds (void *peer, const struct kcp_vm_list *list);
json_t *kcp_peer_vms_to_json (void *peer);
bool kcp_peer_has_current_view (struct kcp_peer *peer);
void kcp_peer_set_fact_observer (struct kcp_peer *peer, enum kcp_fact_kind kind,
                                 kcp_fact_observer *observer, void *user);
bool kcp_peer_publish_fact (struct kcp_peer *peer, const struct kcp_fact *fact);
void kcp_peer_deliver_fact (struct kcp_peer *peer, const struct kcp_fact *fact,
                            kcp_delivery_done *done, void *user);
void kcp_peer_leave (struct kcp_peer *peer);

#endif
