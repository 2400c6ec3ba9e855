/* At-most-once execution of calls: a call is dispatched only after a claim of its
   idempotency key has won in the platform's log. */
#ifndef KCP_BOOKING_BOOKING_H
#define KCP_BOOKING_BOOKING_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "booking/pending.h"
#include "logstore/platform_log.h"
#include "settings/settings.h"

/* Everything except clock is copied; clock must outlive the module. */
struct kcp_booking_options
{
  const struct kcp_settings *settings;
  const struct kcp_clock *clock;
  /* Returns true if another VM is presumed alive. NULL: all VMs are presumed alive.
     Called on any booking thread. */
  bool (*is_alive) (void *user, const char *vm);
  void *user;
};

/* A call that must not be executed more than once. */
struct kcp_booking_call
{
  const char *key;             /* hash of team, service and idempotency key */
  const char *body_hash;       /* hash of method, path and body */
  const char *idempotency_key; /* as received from the caller */
  int64_t remaining_ms;        /* time until the deadline of the call */
};

struct kcp_booking;

struct kcp_booking *kcp_booking_start (const struct kcp_booking_options *options);
void kcp_booking_stop (struct kcp_booking *booking);
void kcp_booking_claim (struct kcp_booking *booking, const struct kcp_booking_call *call,
                        kcp_claim_done *done, void *user);
void kcp_booking_record_outcome (struct kcp_booking *booking, const char *key,
                                 const char *claim, json_t *outcome,
                                 kcp_outcome_done *done, void *user);
void
kcp_booking_release (struct kcp_booking *booking, const char *key, const char *claim);

#endif
