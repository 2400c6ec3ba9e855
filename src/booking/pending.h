/* One entry on its way into a booking stream. */
#ifndef KCP_BOOKING_PENDING_H
#define KCP_BOOKING_PENDING_H

#include <ck_queue.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/id.h"

enum kcp_claim_result
{
  KCP_CLAIM_WON,    /* the caller may dispatch, once */
  KCP_CLAIM_REPEAT, /* the recorded outcome answers the call */
  KCP_CLAIM_REFUSED /* error says why */
};

struct kcp_claim_answer
{
  enum kcp_claim_result result;
  char claim[KCP_ID_LEN + 1]; /* of a won claim */
  const char *sealed;         /* of a repeat, as recorded; borrowed */
  json_t *outcome;            /* of a repeat, opened; borrowed */
  struct kcp_error error;     /* of a refusal */
};

/* Called once for each claim, without any lock of the booking module. */
typedef void kcp_claim_done (void *user, const struct kcp_claim_answer *answer);

/* Called once for each outcome, when it is in the log or its first append failed; it is
   then tried again. */
typedef void kcp_outcome_done (void *user);

enum kcp_pending_kind
{
  KCP_PENDING_CLAIM,
  KCP_PENDING_OUTCOME,
  KCP_PENDING_RELEASE,
  KCP_PENDING_RESTORE /* entries made from the state */
};

struct kcp_pending
{
  enum kcp_pending_kind kind;
  char key[KCP_HASH_HEX_LEN + 1];
  char body_hash[KCP_HASH_HEX_LEN + 1];
  char claim[KCP_ID_LEN + 1];
  int64_t key_created_ms; /* of a claim: when the key was made; 0: not shown by it */
  int64_t deadline_ms;    /* of a claim: time of day of the call's deadline */
  int64_t since_ms;       /* time of day at which it was posted */
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
