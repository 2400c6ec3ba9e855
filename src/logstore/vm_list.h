/* The platform's list of VMs and backend servers. The list may be out of date. */
#ifndef KCP_LOGSTORE_VM_LIST_H
#define KCP_LOGSTORE_VM_LIST_H

#include <glib.h>
#include <stdbool.h>

#include "base/error.h"

enum kcp_member_kind
{
  KCP_MEMBER_ENTRY, /* a VM of the router */
  KCP_MEMBER_ENGINE,
  KCP_MEMBER_SERVICE,
  KCP_MEMBER_WEIGHT_STORE,
  KCP_MEMBER_KV_STORE,
  KCP_MEMBER_KINDS
};

struct kcp_member
{
  enum kcp_member_kind kind;
  char *id;
  char *address;
  int port;
  GQuark data_center;
  char *model;         /* the model that an engine serves, or NULL */
  char *service;       /* the name of a service, or NULL */
  bool leaving;        /* receives no new requests */
  bool checks_fencing; /* the engine rejects orders with an outdated fencing token */
};

#define KCP_VM_LIST_ETAG_MAX 64 /* bytes with the terminating NUL */

/* The caller zeroes the structure before the first fetch. members is NULL if the last
   fetch failed or the list had not changed since the previous fetch. */
struct kcp_vm_list
{
  GPtrArray *members; /* struct kcp_member */
  char etag[KCP_VM_LIST_ETAG_MAX];
};

bool kcp_vm_list_fetch (const char *url, int64_t timeout_ms, struct kcp_vm_list *list,
                        struct kcp_error *error);
void kcp_vm_list_clear (struct kcp_vm_list *list);

#endif
