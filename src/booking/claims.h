/* The state machine of one booking stream. It applies the records in the order of their
   offsets and determines which claim of each key won. It reads no clock and does no
   I/O. */
#ifndef KCP_BOOKING_CLAIMS_H
#define KCP_BOOKING_CLAIMS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/id.h"

#define KCP_CLAIM_VM_MAX      64    /* bytes of a VM id with its terminating NUL */
#define KCP_CLOCK_SKEW_MAX_MS 60000 /* maximum clock difference between two VMs */

enum kcp_claim_state
{
  KCP_CLAIM_NONE,
  KCP_CLAIM_HELD,   /* won, no outcome recorded */
  KCP_CLAIM_DECIDED /* the outcome is recorded */
};

/* The state of a key. outcome is owned by struct kcp_claims and NULL unless state is
   KCP_CLAIM_DECIDED. */
struct kcp_claim_view
{
  enum kcp_claim_state state;
  char claim[KCP_ID_LEN + 1];
  char body_hash[KCP_HASH_HEX_LEN + 1];
  char vm[KCP_CLAIM_VM_MAX];
  char writer[KCP_ID_LEN + 1]; /* the process of vm that appended the claim */
  int64_t deadline_ms;   /* time of day from which the call is no longer dispatched */
  int64_t claimed_ms;    /* log time of the winning claim */
  int64_t last_claim_ms; /* log time of the last claim of the key */
  char *outcome;         /* encrypted */
};

struct kcp_claims;

struct kcp_claims *kcp_claims_new (int64_t window_ms);
void kcp_claims_free (struct kcp_claims *claims);
void kcp_claims_apply (struct kcp_claims *claims, uint64_t offset, json_t *record);
void kcp_claims_skip_to (struct kcp_claims *claims, uint64_t first_offset);
void kcp_claims_rewind (struct kcp_claims *claims, uint64_t first_offset);
uint64_t kcp_claims_read_offset (const struct kcp_claims *claims);
void kcp_claims_clear_last_record (struct kcp_claims *claims);
bool kcp_claims_matches_last_record (const struct kcp_claims *claims, uint64_t offset,
                                     const json_t *record);
bool kcp_claims_is_complete (const struct kcp_claims *claims);
bool kcp_claims_covers_key (const struct kcp_claims *claims, int64_t key_created_ms);
uint64_t kcp_claims_next_offset (const struct kcp_claims *claims);
uint64_t kcp_claims_last_seq (const struct kcp_claims *claims, const char *writer);
int64_t kcp_claims_log_time_ms (const struct kcp_claims *claims);
uint64_t kcp_claims_checkpoint_offset (const struct kcp_claims *claims);
size_t kcp_claims_count (const struct kcp_claims *claims);
void kcp_claims_lookup (const struct kcp_claims *claims, const char *key,
                        struct kcp_claim_view *view);
json_t *kcp_claims_snapshot (const struct kcp_claims *claims, const char *id);
json_t *kcp_claims_restore_entries (const struct kcp_claims *claims);

#endif
