#include "quota/quotas.h"

#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "quota/pool.h"

/* An ask without an answer for this long is sent again, TRIES times in all: datagrams are
   lost now and then. */
#define ANSWER_TIMEOUT_NS (60 * KCP_NS_PER_MS)
#define TRIES             3u
/* A VM that knows no recent use goes on, while no VM grants, by an even part of the limit
   divided by this. */
#define UNANSWERED_DIVISOR 2

struct kcp_quota_team
{
  uint64_t key;
  struct kcp_quota_limit limit;
  struct kcp_quota_pool pool;
  struct kcp_quota_bucket bucket; /* used while this VM grants */
  bool grants;
  GQueue waiting;    /* struct kcp_quota_wait, in the order of arrival */
  uint32_t sequence; /* of the newest ask */
  int64_t asked_ns;  /* when it was sent; 0: it is answered */
  unsigned tries;    /* asks since the last answer */
};

struct kcp_quotas
{
  struct kcp_quota_link link;
  GHashTable *teams; /* key -> struct kcp_quota_team */
};

static struct kcp_quota_team *ensure_team (struct kcp_quotas *quotas, uint64_t key);
static void ask (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns);
static void
ask_again (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns);
static void admit_waiting (struct kcp_quota_team *team, unsigned count, int64_t now_ns);
static void
refuse_waiting (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns);
static void
go_on_unanswered (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns);
static void decide (struct kcp_quota_team *team, bool admitted, int64_t return_ns);
static double
part_per_s (const struct kcp_quotas *quotas, const struct kcp_quota_team *team);
static void team_free (gpointer data);

/* Creates the quotas; what the link refers to must outlive them. */
struct kcp_quotas *
kcp_quotas_new (const struct kcp_quota_link *link)
{
  struct kcp_quotas *quotas = g_new0 (struct kcp_quotas, 1);

  quotas->link = *link;
  quotas->teams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, team_free);
  return quotas;
}

/* Frees the quotas; NULL is allowed. No request may wait. */
void
kcp_quotas_free (struct kcp_quotas *quotas)
{
  if (quotas == NULL)
    return;
  g_hash_table_unref (quotas->teams);
  g_free (quotas);
}

/* Returns the hash that identifies the team in messages between VMs. */
uint64_t
kcp_quota_team_key (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

/* Decides about a request of wait->cost. If it waits, wait->decided is called later;
   if it is refused, return_ns is set to when its caller should return. */
enum kcp_quota_verdict
kcp_quotas_admit (struct kcp_quotas *quotas, const char *name,
                  const struct kcp_quota_limit *limit, struct kcp_quota_wait *wait,
                  int64_t *return_ns, int64_t now_ns)
{
  struct kcp_quota_team *team = ensure_team (quotas, kcp_quota_team_key (name));

  team->limit = *limit;
  if (limit->per_s == 0
      || (g_queue_is_empty (&team->waiting)
          && kcp_quota_pool_take (&team->pool, wait->cost, now_ns)))
    return KCP_QUOTA_ADMITTED;
  if (kcp_quota_pool_is_refused (&team->pool, now_ns))
    {
      *return_ns = kcp_quota_pool_promise (&team->pool, wait->cost,
                                           part_per_s (quotas, team), now_ns);
      return KCP_QUOTA_REFUSED;
    }
  wait->team = team;
  g_queue_push_tail (&team->waiting, wait);
  if (team->asked_ns == 0)
    ask (quotas, team, now_ns);
  return KCP_QUOTA_WAITS;
}

/* Removes a request that may wait; its callback is not called. */
void
kcp_quotas_cancel (struct kcp_quotas *quotas, struct kcp_quota_wait *wait)
{
  (void)quotas;
  if (wait->team == NULL)
    return;
  (void)g_queue_remove (&wait->team->waiting, wait);
  wait->team = NULL;
}

/* Gives back the cost of an admitted request that did not run. */
void
kcp_quotas_give_back (struct kcp_quotas *quotas, const char *name, int64_t cost,
                      int64_t now_ns)
{
  kcp_quota_pool_give_back (&ensure_team (quotas, kcp_quota_team_key (name))->pool, cost,
                            now_ns);
}

/* Gives up asks that were not answered in time. Returns true if requests wait. */
bool
kcp_quotas_tick (struct kcp_quotas *quotas, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer item;
  bool waits = false;

  g_hash_table_iter_init (&iter, quotas->teams);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct kcp_quota_team *team = item;

      if (team->asked_ns != 0 && now_ns - team->asked_ns >= ANSWER_TIMEOUT_NS)
        ask_again (quotas, team, now_ns);
      waits = waits || !g_queue_is_empty (&team->waiting);
    }
  return waits;
}

/* Takes the answer to an ask. What an answer to an older one grants counts too. */
void
kcp_quotas_receive (struct kcp_quotas *quotas, uint64_t key, uint32_t sequence,
                    const struct kcp_quota_grant *grant, int64_t now_ns)
{
  struct kcp_quota_team *team = ensure_team (quotas, key);

  kcp_quota_pool_receive (&team->pool, grant, now_ns);
  team->tries = 0;
  if (sequence == team->sequence)
    team->asked_ns = 0;
  admit_waiting (team, grant->count, now_ns);
  if (grant->retry_ms > 0)
    refuse_waiting (quotas, team, now_ns);
  if (!g_queue_is_empty (&team->waiting) && team->asked_ns == 0)
    ask (quotas, team, now_ns);
}

/* Takes the answer that the VM which was asked does not grant the team's quota. */
void
kcp_quotas_unanswered (struct kcp_quotas *quotas, uint64_t key, uint32_t sequence,
                       int64_t now_ns)
{
  struct kcp_quota_team *team = ensure_team (quotas, key);

  if (sequence == team->sequence && team->asked_ns != 0)
    go_on_unanswered (quotas, team, now_ns);
}

/* Sets a team's limit, whether this VM grants it, and which share of it the VMs in touch
   with this one may have. A VM that begins to grant has nothing ready: what the VM before
   it granted is not known. */
void
kcp_quotas_set_limit (struct kcp_quotas *quotas, const char *name,
                      const struct kcp_quota_limit *limit, bool grants, double share,
                      int64_t now_ns)
{
  struct kcp_quota_team *team = ensure_team (quotas, kcp_quota_team_key (name));

  team->limit = *limit;
  if (grants && !team->grants)
    kcp_quota_bucket_empty (&team->bucket, now_ns);
  team->grants = grants;
  kcp_quota_bucket_set (&team->bucket, limit, share, now_ns);
}

/* Answers an ask of another VM. Returns false if this VM does not grant the team's
   quota. */
bool
kcp_quotas_grant (struct kcp_quotas *quotas, uint64_t key,
                  const struct kcp_quota_ask *wanted, struct kcp_quota_grant *grant,
                  int64_t now_ns)
{
  struct kcp_quota_team *team = g_hash_table_lookup (quotas->teams, &key);

  if (team == NULL || !team->grants || team->limit.per_s == 0)
    return false;
  *grant = kcp_quota_bucket_ask (&team->bucket, wanted, now_ns);
  return true;
}

static struct kcp_quota_team *
ensure_team (struct kcp_quotas *quotas, uint64_t key)
{
  struct kcp_quota_team *team = g_hash_table_lookup (quotas->teams, &key);

  if (team != NULL)
    return team;
  team = g_new0 (struct kcp_quota_team, 1);
  team->key = key;
  g_queue_init (&team->waiting);
  g_hash_table_insert (quotas->teams, &team->key, team);
  return team;
}

/* Asks for what the waiting requests need: this VM itself, or the one that grants. */
static void
ask (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns)
{
  struct kcp_quota_ask wanted
      = { .reserve = kcp_quota_pool_reserve (&team->pool, now_ns) };
  struct kcp_quota_grant grant;

  for (const GList *item = team->waiting.head;
       item != NULL && wanted.count < KCP_QUOTA_ASK_MAX; item = item->next)
    wanted.costs[wanted.count++] = ((const struct kcp_quota_wait *)item->data)->cost;
  team->sequence++;
  team->tries++;
  team->asked_ns = now_ns;
  if (!team->grants
      && quotas->link.ask (quotas->link.self, team->key, team->sequence, &wanted))
    return;
  if (kcp_quotas_grant (quotas, team->key, &wanted, &grant, now_ns))
    kcp_quotas_receive (quotas, team->key, team->sequence, &grant, now_ns);
  else
    go_on_unanswered (quotas, team, now_ns);
}

/* Sends an ask again that was not answered, or goes on without an answer. */
static void
ask_again (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns)
{
  if (g_queue_is_empty (&team->waiting))
    team->asked_ns = 0;
  else if (team->tries < TRIES)
    ask (quotas, team, now_ns);
  else
    go_on_unanswered (quotas, team, now_ns);
}

/* Admits the first count requests, as far as their cost was granted: some that were asked
   for may have been cancelled. */
static void
admit_waiting (struct kcp_quota_team *team, unsigned count, int64_t now_ns)
{
  const struct kcp_quota_wait *first;

  for (; count > 0 && (first = g_queue_peek_head (&team->waiting)) != NULL
         && kcp_quota_pool_take (&team->pool, first->cost, now_ns);
       count--)
    decide (team, true, 0);
}

static void
refuse_waiting (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns)
{
  const struct kcp_quota_wait *first;

  while ((first = g_queue_peek_head (&team->waiting)) != NULL)
    decide (team, false,
            kcp_quota_pool_promise (&team->pool, first->cost, part_per_s (quotas, team),
                                    now_ns));
}

/* Decides about all waiting requests without a grant. Their limit may have been lifted.
 */
static void
go_on_unanswered (struct kcp_quotas *quotas, struct kcp_quota_team *team, int64_t now_ns)
{
  const struct kcp_quota_wait *first;

  team->asked_ns = 0;
  while ((first = g_queue_peek_head (&team->waiting)) != NULL
         && (team->limit.per_s == 0
             || kcp_quota_pool_take_unanswered (
                 &team->pool, first->cost, part_per_s (quotas, team) / UNANSWERED_DIVISOR,
                 now_ns)))
    decide (team, true, 0);
  refuse_waiting (quotas, team, now_ns);
}

/* Decides about the first waiting request. */
static void
decide (struct kcp_quota_team *team, bool admitted, int64_t return_ns)
{
  struct kcp_quota_wait *wait = g_queue_pop_head (&team->waiting);

  wait->team = NULL;
  wait->decided (wait->user, admitted, return_ns);
}

/* Returns an even part of the limit, in units a second. */
static double
part_per_s (const struct kcp_quotas *quotas, const struct kcp_quota_team *team)
{
  return (double)team->limit.per_s / quotas->link.vms (quotas->link.self);
}

static void
team_free (gpointer data)
{
  struct kcp_quota_team *team = data;

  g_queue_clear (&team->waiting);
  g_free (team);
}
