#include "policy/connection_memory.h"

#include <glib.h>

/* Of the library's own for each header, cookie and query argument. */
#define ELEMENT_BYTES 64u
/* Of the library's own for each connection, and the lines that it adds to an answer. */
#define OVERHEAD_BYTES 768u
/* The block has this many times the bytes of the longest head: the head itself, and the
   elements and the answer's head. */
#define HEADS_PER_BLOCK 2
/* Requests that the caller has sent ahead take up to one part in SENT_AHEAD_DIVISOR. */
#define SENT_AHEAD_DIVISOR 2
/* A request is accepted if one part in ANSWER_DIVISOR is left for the answer's head. */
#define ANSWER_DIVISOR 8
/* Callers' connections may take one part in ALL_DIVISOR of the process's memory. */
#define ALL_DIVISOR      2
#define BYTES_MIN        (8u << 10)
#define HEAD_LIMIT_BYTES (1 << 20) /* a greater limit counts as this one */
#define BYTES_STEP       (4u << 10)
#define CONNECTIONS_MAX  3000u
#define CONNECTIONS_MIN  64u

static size_t used_bytes (size_t bytes, const struct kcp_head_size *head);

/* Returns the memory that a connection needs for heads of head_max_bytes and their
   answers. */
size_t
kcp_connection_memory_needed (int64_t head_max_bytes)
{
  size_t needed = (size_t)CLAMP (head_max_bytes, 0, HEAD_LIMIT_BYTES) * HEADS_PER_BLOCK;

  return MAX (needed, BYTES_MIN);
}

/* Returns the memory of connections for a process that may use process_bytes, where
   callers may send heads of head_max_bytes. A process with more memory gives more to each
   connection, for more headers; one with little accepts fewer connections. */
struct kcp_connection_memory
kcp_connection_memory_for (int64_t process_bytes, int64_t head_max_bytes)
{
  size_t all = (size_t)process_bytes / ALL_DIVISOR;
  size_t bytes
      = MAX (all / CONNECTIONS_MAX, kcp_connection_memory_needed (head_max_bytes));

  bytes = CLAMP (bytes, BYTES_MIN, MAX (all / CONNECTIONS_MIN, BYTES_MIN));
  bytes = bytes / BYTES_STEP * BYTES_STEP;
  return (struct kcp_connection_memory){
    .bytes = bytes,
    .connections_max = (unsigned)CLAMP (all / bytes, CONNECTIONS_MIN, CONNECTIONS_MAX),
  };
}

/* Returns true if a connection with this memory that has received the head has enough
   left for the head of an answer. */
bool
kcp_connection_memory_has_answer_room (size_t bytes, const struct kcp_head_size *head)
{
  return kcp_connection_memory_fits_answer (bytes, head, bytes / ANSWER_DIVISOR);
}

/* Returns true if a connection with this memory can answer the request with a head of
   answer_head_bytes, whatever the caller has sent ahead. */
bool
kcp_connection_memory_fits_answer (size_t bytes, const struct kcp_head_size *head,
                                   size_t answer_head_bytes)
{
  return used_bytes (bytes, head) + answer_head_bytes <= bytes;
}

static size_t
used_bytes (size_t bytes, const struct kcp_head_size *head)
{
  size_t received = MAX (head->bytes, bytes / SENT_AHEAD_DIVISOR);

  return received + head->copied + head->elements * ELEMENT_BYTES + OVERHEAD_BYTES;
}
