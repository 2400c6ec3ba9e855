/* The replicated state machine of orders to engines. Every VM applies the same log
   records in the same sequence. The state machine performs no I/O and reads no clock.

   A "want" record gives the state that an operator desires for an engine. A "grant"
   record requests the lease to send the orders that bring it about. A grant takes effect
   only if, at its position in the log, it refers to the latest desired state of the
   engine, the engine has no other open grant, and fewer grants than the limit are open
   over all engines. A "done" or "lapse" record closes the grant that it names. The offset
   of a grant is the fencing token of its orders. */
#ifndef KCP_BACKEND_ORDER_STATE_H
#define KCP_BACKEND_ORDER_STATE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/id.h"

#define KCP_ORDER_NONE UINT64_MAX

struct kcp_order_desired
{
  uint64_t offset;
  char *engine;
  char *weights; /* version to load; NULL: any */
  char *role;    /* role to assume; NULL: any */
};

struct kcp_order_grant
{
  uint64_t offset;  /* also the fencing token */
  uint64_t desired; /* offset of the desired state */
  char *engine;
  char *vm;
  char id[KCP_ID_LEN + 1];
  int64_t lease_ms;
};

struct kcp_order_state;

struct kcp_order_state *kcp_order_state_new (unsigned max_open_grants);
void kcp_order_state_free (struct kcp_order_state *state);
void
kcp_order_state_apply (struct kcp_order_state *state, uint64_t offset, json_t *record);
uint64_t kcp_order_state_next_offset (const struct kcp_order_state *state);
void kcp_order_state_skip_to (struct kcp_order_state *state, uint64_t offset);
unsigned kcp_order_state_count_open_grants (const struct kcp_order_state *state);
const struct kcp_order_desired *
kcp_order_state_desired (const struct kcp_order_state *state, const char *engine);
const struct kcp_order_grant *
kcp_order_state_grant (const struct kcp_order_state *state, const char *engine);
bool kcp_order_state_may_grant (const struct kcp_order_state *state, const char *engine);
char **kcp_order_state_engines (const struct kcp_order_state *state);
json_t *kcp_order_state_to_json (const struct kcp_order_state *state);

json_t *
kcp_order_make_desired (const char *engine, const char *weights, const char *role);
json_t *kcp_order_make_grant (const char *engine, uint64_t desired_offset, const char *vm,
                              const char *id, int64_t lease_ms);
json_t *kcp_order_make_close (const char *op, const char *engine, uint64_t grant);

#endif
