#include "policy/body_memory.h"

#include "base/clock.h"

/* All bodies may take one part in ALL_DIVISOR of the process's memory. Connections have
   up to a half and answers a quarter; the rest is for the tables and the program. */
#define ALL_DIVISOR 8
/* A process with little memory still holds this many bodies of the largest size. */
#define LARGEST_BODIES 2

static struct kcp_body *
find_costliest (const struct kcp_body_memory *memory, int64_t now_ns);
static double cost (const struct kcp_body *body, int64_t now_ns);
static void drop (struct kcp_body *body, enum kcp_body_state state);

/* Returns the limit for all bodies together in a process that may use process_bytes of
   memory and accepts bodies of up to one bytes. */
size_t
kcp_body_limits_all (int64_t process_bytes, size_t one)
{
  return MAX ((size_t)process_bytes / ALL_DIVISOR, one * LARGEST_BODIES);
}

/* Initializes a memory without bodies. */
void
kcp_body_memory_init (struct kcp_body_memory *memory)
{
  *memory = (struct kcp_body_memory){ .bodies = g_ptr_array_new () };
}

/* Frees the list. All bodies must have ended. */
void
kcp_body_memory_clear (struct kcp_body_memory *memory)
{
  g_clear_pointer (&memory->bodies, g_ptr_array_unref);
}

/* Begins an empty body, which must stay at its address until kcp_body_end(). */
void
kcp_body_begin (struct kcp_body_memory *memory, struct kcp_body *body, int64_t now_ns)
{
  *body = (struct kcp_body){
    .memory = memory,
    .text = g_string_new (NULL),
    .began_ns = now_ns,
    .at = memory->bodies->len,
  };
  g_ptr_array_add (memory->bodies, body);
}

/* Adds bytes to the body, or discards them if it is dropped or has to be. Other bodies
   may be dropped instead. Returns false if the caller goes on sending a dropped body
   beyond the limit of one, and its connection has to be closed. */
bool
kcp_body_receive (struct kcp_body *body, struct kcp_str bytes,
                  const struct kcp_body_limits *limits, int64_t now_ns)
{
  struct kcp_body_memory *memory = body->memory;

  if (body->state == KCP_BODY_RECEIVING && body->bytes + bytes.len > limits->one)
    drop (body, KCP_BODY_TOO_LARGE);
  while (body->state == KCP_BODY_RECEIVING && memory->used + bytes.len > limits->all)
    {
      struct kcp_body *costliest = find_costliest (memory, now_ns);

      drop (costliest != NULL ? costliest : body, KCP_BODY_DROPPED);
    }
  if (body->state != KCP_BODY_RECEIVING)
    {
      body->discarded_bytes += bytes.len;
      return body->discarded_bytes <= limits->one;
    }
  g_string_append_len (body->text, bytes.data, (gssize)bytes.len);
  body->bytes += bytes.len;
  memory->used += bytes.len;
  return true;
}

/* Returns the text of a body that has been received to its end, which the caller owns
   from then on, or NULL if it was dropped. It counts until kcp_body_end(). */
GString *
kcp_body_complete (struct kcp_body *body)
{
  if (body->state == KCP_BODY_RECEIVING)
    body->state = KCP_BODY_COMPLETE;
  return g_steal_pointer (&body->text);
}

/* Ends the body, whose memory is free. Does nothing if it has not begun. */
void
kcp_body_end (struct kcp_body *body)
{
  struct kcp_body_memory *memory = body->memory;

  if (memory == NULL)
    return;
  if (body->text != NULL)
    g_string_free (body->text, TRUE);
  memory->used -= body->bytes;
  g_ptr_array_remove_index_fast (memory->bodies, body->at);
  if (body->at < memory->bodies->len)
    ((struct kcp_body *)g_ptr_array_index (memory->bodies, body->at))->at = body->at;
  *body = (struct kcp_body){ 0 };
}

/* Returns the body that is being received and has the greatest cost, or NULL if none
   holds any memory. */
static struct kcp_body *
find_costliest (const struct kcp_body_memory *memory, int64_t now_ns)
{
  struct kcp_body *found = NULL;

  for (guint i = 0; i < memory->bodies->len; i++)
    {
      struct kcp_body *body = g_ptr_array_index (memory->bodies, i);

      if (body->state == KCP_BODY_RECEIVING && body->bytes > 0
          && (found == NULL || cost (body, now_ns) > cost (found, now_ns)))
        found = body;
    }
  return found;
}

/* Returns the memory that the body holds times the time since it began. */
static double
cost (const struct kcp_body *body, int64_t now_ns)
{
  return (double)body->bytes * (double)(now_ns - body->began_ns + KCP_NS_PER_MS);
}

/* Frees what was received of the body. */
static void
drop (struct kcp_body *body, enum kcp_body_state state)
{
  body->memory->used -= body->bytes;
  body->bytes = 0;
  body->state = state;
  g_string_free (g_steal_pointer (&body->text), TRUE);
}
