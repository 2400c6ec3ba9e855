/* The quotas of all teams, as one VM applies them: which requests are admitted, which
   wait for a grant, and what this VM grants to others. A team's quota is granted by one
   VM, the first live one in the team's rendezvous order, so that all grants together keep
   to it whatever the age of the VMs' views. Knows neither sockets nor requests; the link
   sends the messages. Used on one thread only. */
#ifndef KCP_QUOTA_QUOTAS_H
#define KCP_QUOTA_QUOTAS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "quota/bucket.h"

struct kcp_quotas;
struct kcp_quota_team;

/* Called once when a waiting request is decided, perhaps before kcp_quotas_admit()
   returns. return_ns: when a refused one may come
   again. */
typedef void kcp_quota_decided (void *user, bool admitted, int64_t return_ns);

/* A request that waits. The caller owns it; it must stay at its address until it is
   decided or cancelled. */
struct kcp_quota_wait
{
  int64_t cost;
  kcp_quota_decided *decided;
  void *user;
  struct kcp_quota_team *team; /* NULL: it does not wait */
};

enum kcp_quota_verdict
{
  KCP_QUOTA_ADMITTED,
  KCP_QUOTA_REFUSED,
  KCP_QUOTA_WAITS
};

/* The granting VMs, as this VM knows them. */
struct kcp_quota_link
{
  void *self;
  /* Sends an ask to the VM that grants the team's quota. Returns false if there is none
     or it cannot be sent. */
  bool (*ask) (void *self, uint64_t team, uint32_t sequence,
               const struct kcp_quota_ask *ask);
  unsigned (*vms) (void *self); /* that take requests, as far as known; at least 1 */
};

struct kcp_quotas *kcp_quotas_new (const struct kcp_quota_link *link);
void kcp_quotas_free (struct kcp_quotas *quotas);
uint64_t kcp_quota_team_key (const char *name);
enum kcp_quota_verdict
kcp_quotas_admit (struct kcp_quotas *quotas, const char *team,
                  const struct kcp_quota_limit *limit, struct kcp_quota_wait *wait,
                  int64_t *return_ns, int64_t now_ns);
void kcp_quotas_cancel (struct kcp_quotas *quotas, struct kcp_quota_wait *wait);
void kcp_quotas_give_back (struct kcp_quotas *quotas, const char *team, int64_t cost,
                           int64_t now_ns);
bool kcp_quotas_tick (struct kcp_quotas *quotas, int64_t now_ns);
void kcp_quotas_receive (struct kcp_quotas *quotas, uint64_t team, uint32_t sequence,
                         const struct kcp_quota_grant *grant, int64_t now_ns);
void kcp_quotas_unanswered (struct kcp_quotas *quotas, uint64_t team, uint32_t sequence,
                            int64_t now_ns);
void kcp_quotas_set_limit (struct kcp_quotas *quotas, const char *team,
                           const struct kcp_quota_limit *limit, bool grants, double share,
                           int64_t now_ns);
bool kcp_quotas_grant (struct kcp_quotas *quotas, uint64_t team,
                       const struct kcp_quota_ask *ask, struct kcp_quota_grant *grant,
                       int64_t now_ns);

#endif
