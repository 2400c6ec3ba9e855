/* Reference-counted memory. It does not use GLib's reference counting because the thread
   sanitizer does not instrument GLib, and so cannot see the memory ordering that GLib's
   atomic operations establish. */
#ifndef KCP_BASE_REF_H
#define KCP_BASE_REF_H

#include <stddef.h>

typedef void kcp_ref_clear (void *object);

void *kcp_ref_new (size_t size);
void *kcp_ref_acquire (void *object);
void kcp_ref_release (void *object, kcp_ref_clear *clear);

#endif
