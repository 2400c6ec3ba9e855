/* Sizes the memory of callers' connections and decides which requests can be answered
   with it. libmicrohttpd gives each connection one block of a fixed size, and keeps it
   while the connection is idle. The block holds the request's head, an element for each
   header, cookie and query argument, and later the head of the answer; if there is no
   room for that one, the connection is closed without an answer. The results depend on
   the arguments alone.

   Load pattern: requests whose heads are as long as the configuration allows, in a few
   long lines or in hundreds of short ones, on thousands of kept connections. */
#ifndef KCP_POLICY_CONNECTION_MEMORY_H
#define KCP_POLICY_CONNECTION_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Applies while no configuration sets a limit. */
#define KCP_HEAD_MAX_DEFAULT (16 << 10) /* bytes */

struct kcp_connection_memory
{
  size_t bytes;             /* of each connection */
  unsigned connections_max; /* open at the same time */
};

/* What a request's head takes of the memory. */
struct kcp_head_size
{
  size_t bytes;    /* as received, with the request line */
  size_t elements; /* headers, cookies and query arguments */
  size_t copied;   /* bytes of which the library makes a copy: the Cookie header */
};

size_t kcp_connection_memory_needed (int64_t head_max_bytes);
struct kcp_connection_memory
kcp_connection_memory_for (int64_t process_bytes, int64_t head_max_bytes);
bool
kcp_connection_memory_has_answer_room (size_t bytes, const struct kcp_head_size *head);
bool kcp_connection_memory_fits_answer (size_t bytes, const struct kcp_head_size *head,
                                        size_t answer_head_bytes);

#endif
