#include "base/ref.h"

#include <glib.h>
#include <stdint.h>

/* Precedes each object in memory. Its size is a multiple of the strictest alignment, so
   that the object is aligned too. */
struct header
{
  _Alignas(max_align_t) uint64_t count;
};

static struct header *get_header (void *object);

/* Allocates size bytes, set to zero, with a reference count of one. */
void *
kcp_ref_new (size_t size)
{
  struct header *header = g_malloc0 (sizeof *header + size);

  header->count = 1;
  return header + 1;
}

/* Adds a reference to object and returns it. */
void *
kcp_ref_acquire (void *object)
{
  (void)__atomic_fetch_add (&get_header (object)->count, 1, __ATOMIC_RELAXED);
  return object;
}

/* Drops a reference to object. If it was the last one, calls clear, unless it is NULL,
   and frees the object. */
void
kcp_ref_release (void *object, kcp_ref_clear *clear)
{
  struct header *header = get_header (object);

  if (__atomic_fetch_sub (&header->count, 1, __ATOMIC_ACQ_REL) > 1)
    return;
  if (clear != NULL)
    clear (object);
  g_free (header);
}

static struct header *
get_header (void *object)
{
  return (struct header *)object - 1;
}
