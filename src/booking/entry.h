/* Log records of a booking stream. A record is one append of one writer and contains the
   writer's sequence number, the writer's time of day and a list of entries. */
#ifndef KCP_BOOKING_ENTRY_H
#define KCP_BOOKING_ENTRY_H

#include <jansson.h>
#include <stdint.h>

#define KCP_OP_CLAIM   "claim"
#define KCP_OP_OUTCOME "outcome"
#define KCP_OP_RELEASE "release"
#define KCP_OP_CARRIED "carried" /* a claim copied to a checkpoint */
#define KCP_OP_RESTORE "restore" /* a claim appended again after the log lost records */
#define KCP_OP_WRITER  "writer"  /* a writer's sequence number in a checkpoint */

/* The content of a claim entry. Strings are borrowed. */
struct kcp_claim_entry
{
  const char *key;
  const char *body_hash;
  const char *claim;
  const char *vm;
  const char *writer;
  int64_t deadline_ms; /* time of day from which the call is no longer dispatched */
};

json_t *
kcp_entry_record (const char *writer, uint64_t seq, int64_t now_ms, json_t *entries);
json_t *kcp_entry_claim (const struct kcp_claim_entry *claim);
json_t *kcp_entry_outcome (const char *key, const char *claim, const char *outcome);
json_t *kcp_entry_release (const char *key, const char *claim);
const char *kcp_entry_text (const json_t *entry, const char *member);
int64_t kcp_entry_int (const json_t *entry, const char *member);

#endif
