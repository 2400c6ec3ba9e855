/* At-most-once calls: a claim in the platform's log comes before every dispatch. */
#ifndef KCP_BOOKING_BOOKING_H
#define KCP_BOOKING_BOOKING_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "booking/pending.h"
#include "logstore/platform_log.h"
#include "settings/settings.h"

/* Everything is copied but clock, which must outlive the module. */
struct kcp_booking_options
{
  const struct kcp_settings *settings;
  const struct kcp_clock *clock;
  /* Tells whether another VM is believed to live; NULL: every VM is. Called on any
     booking thread. */
  bool (*is_alive) (void *user, const char *vm);
  void *user;
};

/* A call that may not be repeated. */
struct kcp_booking_call
{
  const char *key;             /* hash of team, service and idempotency key */
  const char *body_hash;       /* hash of method, path and body */
  const char *idempotency_key; /* as the caller gave it */
  int64_t remaining_ms;        /* time until its deadline */
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
