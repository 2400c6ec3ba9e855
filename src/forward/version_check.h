/* Asks servers for the versions of their weights when something does not agree with what
   is believed of them: a server turns away a request that names its version, or its entry
   names another one for longer than entries take. Other VMs find out in the same way. Not
   thread-safe: it is used on the event loop's thread only. */
#ifndef KCP_FORWARD_VERSION_CHECK_H
#define KCP_FORWARD_VERSION_CHECK_H

#include "forward/gateway.h"

struct kcp_version_checks;

struct kcp_version_checks *kcp_version_checks_new (struct kcp_gateway *gateway);
void kcp_version_checks_free (struct kcp_version_checks *checks);
void kcp_version_checks_on_turned_away (struct kcp_version_checks *checks,
                                        struct kcp_server *server);
void kcp_version_checks_compare_entries (struct kcp_version_checks *checks);
bool kcp_version_apply_report (struct kcp_server *server,
                               const struct kcp_server_report *report, int64_t asked_ns,
                               int64_t now_ns);

#endif
