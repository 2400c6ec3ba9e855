#include "base/ref.h"

#include <glib.h>
#include <stdint.h>

/* Precedes each object; as large as its alignment. */
struct header
{
  _Alignas(max_align_t) uint64_t count;
};

static struct header *header_of (void *object);

/* Returns size zero bytes with one reference. */
void *
kcp_ref_new (size_t size)
{
  struct header *header = g_malloc0 (sizeof *header + size);

  header->count = 1;
  return header + 1;
}

/* Takes a further reference. */
void *
kcp_ref_acquire (void *object)
{
  (void)__atomic_fetch_add (&header_of (object)->count, 1, __ATOMIC_RELAXED);
  return object;
}

/* Drops a reference. The last one clears the object, if clear is given, and frees it. */
void
kcp_ref_release (void *object, kcp_ref_clear *clear)
{
  struct header *header = header_of (object);

  if (__atomic_fetch_sub (&header->count, 1, __ATOMIC_ACQ_REL) > 1)
    return;
  if (clear != NULL)
    clear (object);
  g_free (header);
}

static struct header *
header_of (void *object)
{
  return (struct header *)object - 1;
}
