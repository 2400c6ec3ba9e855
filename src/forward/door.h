/* The HTTP server for callers, run by the event loop, and small servers beside it that
   answer one path with a text. */
#ifndef KCP_FORWARD_DOOR_H
#define KCP_FORWARD_DOOR_H

#include "base/error.h"
#include "forward/gateway.h"

struct kcp_door;
struct kcp_side_door;

/* Gives status and text of a side door's answer. */
typedef unsigned kcp_side_door_answer (void *user, GString *text);

struct kcp_door *
kcp_door_open (struct kcp_gateway *gateway, const char *address, struct kcp_error *error);
void kcp_door_close_idle (struct kcp_door *door);
void kcp_door_close (struct kcp_door *door);
struct kcp_side_door *
kcp_side_door_open (struct kcp_loop *loop, const char *address, const char *path,
                    kcp_side_door_answer *answer, void *user, struct kcp_error *error);
void kcp_side_door_close (struct kcp_side_door *door);

#endif
