/* Reference-counted memory. The counts are atomic operations of this program, so that the
   thread sanitizer sees the order that they make; those inside GLib are hidden to it. */
#ifndef KCP_BASE_REF_H
#define KCP_BASE_REF_H

#include <stddef.h>

typedef void kcp_ref_clear (void *object);

void *kcp_ref_new (size_t size);
void *kcp_ref_acquire (void *object);
void kcp_ref_release (void *object, kcp_ref_clear *clear);

#endif
