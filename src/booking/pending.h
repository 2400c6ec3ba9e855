/* Entries that wait to be appended to a booking stream. */
#ifndef KCP_BOOKING_PENDING_H
#define KCP_BOOKING_PENDING_H

#include <ck_queue.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/id.h"

enum kcp_claim_result
{
  KCP_CLAIM_WON,    /* the caller may dispatch the call once */
  KCP_CLAIM_REPEAT, /* the recorded outcome is the answer to the call */
  KCP_CLAIM_REFUSED /* error contains the reason */
};

struct kcp_claim_answer
{
  enum kcp_claim_result result;
  char claim[KCP_ID_LEN + 1]; /* if won: id of the claim */
  const char *sealed;         /* if repeat: encrypted outcome; borrowed */
  json_t *outcome;            /* if repeat: decrypted outcome; borrowed */
  struct kcp_error error;     /* if refused */
};

/* Called once for each claim, with no lock of the booking module held. */
typedef void kcp_claim_done (void *user, const struct kcp_claim_answer *answer);

/* Called once for each outcome, when it is in the log or when its first append has
   failed. A failed append is retried. */
typedef void kcp_outcome_done (void *user);

enum kcp_pending_kind
{
  KCP_PENDING_CLAIM,
  KCP_PENDING_OUTCOME,
  KCP_PENDING_RELEASE,
  KCP_PENDING_RESTORE /* an entry that restores a key after the log lost records */
};

struct kcp_pending
{
  enum kcp_pending_kind kind;
  char key[KCP_HASH_HEX_LEN + 1];
  char body_hash[KCP_HASH_HEX_LEN + 1];
  char claim[KCP_ID_LEN + 1];
  int64_t key_created_ms; /* of a claim: creation time of the key, or 0 if unknown */
  int64_t deadline_ms;    /* of a claim: deadline of the call, as time of day */
  int64_t since_ms;       /* time of day when the entry was posted */
  json_t *entry;
  kcp_claim_done *done;
  kcp_outcome_done *recorded;
  void *user;
  CK_STAILQ_ENTRY (kcp_pending) link;
};

CK_STAILQ_HEAD (kcp_pending_queue, kcp_pending);

struct kcp_pending *kcp_pending_new_claim (const char *key, const char *body_hash,
                                           kcp_claim_done *done, void *user);
struct kcp_pending *
kcp_pending_new_outcome (const char *key, const char *claim, const char *sealed,
                         kcp_outcome_done *recorded, void *user);
struct kcp_pending *kcp_pending_new_release (const char *key, const char *claim);
struct kcp_pending *kcp_pending_new_restore (json_t *entry);
void kcp_pending_notify_recorded (struct kcp_pending *pending);
void kcp_pending_free (struct kcp_pending *pending);

void
kcp_pending_answer (struct kcp_pending *pending, const struct kcp_claim_answer *result);
void kcp_pending_refuse (struct kcp_pending *pending, const struct kcp_error *error);
void kcp_pending_report_lost (const struct kcp_pending *pending);

#endif
