/* The prompt parts that servers have answered requests with, as far as a table of fixed
   size keeps them. A part that was answered before is less suspect when servers crash
   with it than one that never was.

   Load pattern: every answered request adds each of its parts, many of which are used
   once; a part that many requests share is added again and again, and so is found again
   although others take its place now and then. */
#ifndef KCP_POLICY_ANSWERED_PARTS_H
#define KCP_POLICY_ANSWERED_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_ANSWERED_PARTS_SLOTS 16384u

struct kcp_answered_parts
{
  uint64_t slots[KCP_ANSWERED_PARTS_SLOTS]; /* fingerprints; 0: none */
};

struct kcp_answered_parts *kcp_answered_parts_new (void);
void kcp_answered_parts_free (struct kcp_answered_parts *parts);
void kcp_answered_parts_add (struct kcp_answered_parts *parts, uint64_t fingerprint);
bool kcp_answered_parts_contains (const struct kcp_answered_parts *parts,
                                  uint64_t fingerprint);

#endif
