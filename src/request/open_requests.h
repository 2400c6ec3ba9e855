/* The requests of a VM that have not ended, so that all of them can be ended at
   shutdown. */
#ifndef KCP_REQUEST_OPEN_REQUESTS_H
#define KCP_REQUEST_OPEN_REQUESTS_H

#include <stddef.h>

struct kcp_request;
struct kcp_open_requests;

struct kcp_open_requests *kcp_open_requests_new (void);
void kcp_open_requests_free (struct kcp_open_requests *open);
void kcp_open_requests_add (struct kcp_open_requests *open, struct kcp_request *request);
void
kcp_open_requests_remove (struct kcp_open_requests *open, struct kcp_request *request);
size_t kcp_open_requests_count (struct kcp_open_requests *open);
void kcp_open_requests_end_all (struct kcp_open_requests *open);

#endif
