/* Reports of the VMs about the configuration that each of them has in force. */
#ifndef KCP_HTTP_VM_REPORTS_H
#define KCP_HTTP_VM_REPORTS_H

#include "request/router.h"

json_t *kcp_vm_reports_new (const struct kcp_router *router);
void kcp_vm_reports_add_confirmations (const struct kcp_router *router, uint64_t version,
                                       json_t *answer);

#endif
