#include "forward/server_notices.h"

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/mesh.h"

/* The value of a notice that a limit was lifted. */
#define LIFTED UINT32_MAX
/* Other VMs are told for this long that a limit was lifted. */
#define TELL_LIFTED_NS (10 * KCP_NS_PER_S)
/* Extensions of a backoff by less than this are neither told at once nor taken over. */
#define TELL_BACKOFF_NS (250 * KCP_NS_PER_MS)
/* Interval at which this VM's share of a limit is computed. */
#define SHARE_INTERVAL_NS (200 * KCP_NS_PER_MS)

/* One kind of notice. */
struct notice_row
{
  /* Fills in the value and the age. Returns false if there is nothing to tell. */
  bool (*read) (const struct kcp_server *server, int64_t now_ns,
                struct kcp_server_notice *notice);
  /* Applies what another VM tells. */
  void (*apply) (struct kcp_gateway *gateway, struct kcp_server *server,
                 const struct kcp_server_notice *notice);
};

static bool name_limit (struct kcp_gateway *gateway, struct kcp_server *server,
                        int64_t per_1000s, int64_t at_ns);
static bool read_limit (const struct kcp_server *server, int64_t now_ns,
                        struct kcp_server_notice *notice);
static void apply_limit (struct kcp_gateway *gateway, struct kcp_server *server,
                         const struct kcp_server_notice *notice);
static bool read_backoff (const struct kcp_server *server, int64_t now_ns,
                          struct kcp_server_notice *notice);
static void apply_backoff (struct kcp_gateway *gateway, struct kcp_server *server,
                           const struct kcp_server_notice *notice);
static bool read_leaving (const struct kcp_server *server, int64_t now_ns,
                          struct kcp_server_notice *notice);
static void apply_leaving (struct kcp_gateway *gateway, struct kcp_server *server,
                           const struct kcp_server_notice *notice);
static uint32_t age_ms (int64_t since_ns, int64_t now_ns);
static int64_t
said_ns (const struct kcp_gateway *gateway, const struct kcp_server_notice *notice);
static unsigned
count_needs (struct kcp_gateway *gateway, const struct kcp_server *server);
static void log_limit (struct kcp_gateway *gateway, const struct kcp_server *server,
                       const char *source);

static const struct notice_row rows[KCP_NOTICE_KINDS] = {
  [KCP_NOTICE_LIMIT] = { read_limit, apply_limit },
  [KCP_NOTICE_BACKOFF] = { read_backoff, apply_backoff },
  [KCP_NOTICE_LEAVING] = { read_leaving, apply_leaving },
};

/* Records what the head of an answer says of the server's limit. sent_ns is the time at
   which the request was sent. A limit that cannot be read changes nothing. */
void
kcp_server_notices_hear_limit (struct kcp_gateway *gateway, struct kcp_server *server,
                               const struct kcp_answer_head *head, int64_t sent_ns)
{
  bool changed;

  if (head->has_limit && head->limit_per_1000s < 0)
    return;
  if (head->has_limit)
    changed = name_limit (gateway, server, head->limit_per_1000s,
                          kcp_loop_now (gateway->loop));
  else
    changed = kcp_server_limit_lift (&server->limit, sent_ns);
  if (!changed)
    return;
  server->limit_shared_ns = 0;
  kcp_counter_add (KCP_COUNT_SERVER_LIMITS, head->has_limit);
  log_limit (gateway, server, "answer");
  kcp_mesh_announce_notice (gateway->mesh, server, KCP_NOTICE_LIMIT);
}

/* Records that the server wants no requests for retry_after_ms. Small extensions, as of
   the answers to requests that were on their way, are not told at once. */
void
kcp_server_notices_hear_backoff (struct kcp_gateway *gateway, struct kcp_server *server,
                                 int64_t retry_after_ms)
{
  int64_t before_ns = server->backoff_until_ns;

  kcp_server_record_retry_after (server, retry_after_ms, kcp_loop_now (gateway->loop));
  if (server->backoff_until_ns - before_ns > TELL_BACKOFF_NS)
    kcp_mesh_announce_notice (gateway->mesh, server, KCP_NOTICE_BACKOFF);
}

/* Records that the server has said that it is leaving. */
void
kcp_server_notices_hear_leaving (struct kcp_gateway *gateway, struct kcp_server *server)
{
  if (server->leaving_since_ns != 0)
    return;
  kcp_server_record_leaving (server, kcp_loop_now (gateway->loop), "answer");
  kcp_mesh_announce_notice (gateway->mesh, server, KCP_NOTICE_LEAVING);
}

/* Stores what this VM tells others of a server. Returns false if that is nothing. */
bool
kcp_server_notices_read (struct kcp_gateway *gateway, const struct kcp_server *server,
                         enum kcp_notice_kind kind, struct kcp_server_notice *notice)
{
  *notice = (struct kcp_server_notice){ .server = server->key, .kind = kind };
  if (!rows[kind].read (server, kcp_loop_now (gateway->loop), notice))
    return false;
  notice->needs = count_needs (gateway, server);
  return true;
}

/* Applies what another VM tells of a server. One that is not known is ignored. */
void
kcp_server_notices_apply (struct kcp_gateway *gateway,
                          const struct kcp_server_notice *notice)
{
  struct kcp_server *server = kcp_servers_find_by_key (gateway->servers, notice->server);

  if (server != NULL)
    rows[notice->kind].apply (gateway, server, notice);
}

/* Records that the server has named a limit. Returns true if this is news. */
static bool
name_limit (struct kcp_gateway *gateway, struct kcp_server *server, int64_t per_1000s,
            int64_t at_ns)
{
  double phase
      = server->limit.named ? 0 : kcp_mesh_limit_phase (gateway->mesh, server, per_1000s);

  return kcp_server_limit_name (&server->limit, per_1000s, at_ns, phase);
}

static bool
read_limit (const struct kcp_server *server, int64_t now_ns,
            struct kcp_server_notice *notice)
{
  const struct kcp_server_limit *limit = &server->limit;

  if (kcp_server_limit_is_in_force (limit, now_ns))
    {
      notice->value = (uint32_t)MIN (limit->per_1000s, LIFTED - 1);
      notice->age_ms = age_ms (limit->heard_ns, now_ns);
      return true;
    }
  notice->value = LIFTED;
  notice->age_ms = age_ms (limit->lifted_ns, now_ns);
  return limit->heard_ns != 0 && now_ns - limit->heard_ns < TELL_LIFTED_NS;
}

static void
apply_limit (struct kcp_gateway *gateway, struct kcp_server *server,
             const struct kcp_server_notice *notice)
{
  int64_t at_ns = said_ns (gateway, notice);
  bool changed = notice->value == LIFTED
                     ? kcp_server_limit_lift (&server->limit, at_ns)
                     : name_limit (gateway, server, notice->value, at_ns);

  if (changed)
    log_limit (gateway, server, "another VM");
}

static bool
read_backoff (const struct kcp_server *server, int64_t now_ns,
              struct kcp_server_notice *notice)
{
  int64_t left_ms = (server->backoff_until_ns - now_ns) / KCP_NS_PER_MS;

  notice->value = (uint32_t)CLAMP (left_ms, 0, UINT32_MAX);
  return left_ms > 0;
}

static void
apply_backoff (struct kcp_gateway *gateway, struct kcp_server *server,
               const struct kcp_server_notice *notice)
{
  int64_t now = kcp_loop_now (gateway->loop);
  int64_t until_ns = now + notice->value * KCP_NS_PER_MS;

  if (until_ns - server->backoff_until_ns > TELL_BACKOFF_NS)
    kcp_server_record_retry_after (server, notice->value, now);
}

static bool
read_leaving (const struct kcp_server *server, int64_t now_ns,
              struct kcp_server_notice *notice)
{
  notice->age_ms = age_ms (server->leaving_since_ns, now_ns);
  return server->leaving_since_ns != 0;
}

static void
apply_leaving (struct kcp_gateway *gateway, struct kcp_server *server,
               const struct kcp_server_notice *notice)
{
  kcp_server_record_leaving (server, said_ns (gateway, notice), "another VM");
}

/* Returns when the server said what another VM tells, as this VM's clock shows. */
static int64_t
said_ns (const struct kcp_gateway *gateway, const struct kcp_server_notice *notice)
{
  return kcp_loop_now (gateway->loop) - notice->age_ms * KCP_NS_PER_MS;
}

static uint32_t
age_ms (int64_t since_ns, int64_t now_ns)
{
  return (uint32_t)CLAMP ((now_ns - since_ns) / KCP_NS_PER_MS, 0, UINT32_MAX);
}

/* Computes this VM's share of a server's limit anew, if there is one and the last time is
   long enough ago. */
void
kcp_server_notices_share_limit (struct kcp_gateway *gateway, struct kcp_server *server)
{
  int64_t now;

  if (!server->limit.named)
    return;
  now = kcp_loop_now (gateway->loop);
  if (now < server->limit_shared_ns + SHARE_INTERVAL_NS)
    return;
  server->limit_shared_ns = now;
  kcp_server_limit_set_share (
      &server->limit,
      kcp_mesh_divide_limit (gateway->mesh, server, count_needs (gateway, server), now),
      now);
}

/* Returns the number of this VM's recent requests for the server's service. */
static unsigned
count_needs (struct kcp_gateway *gateway, const struct kcp_server *server)
{
  return kcp_resend_budget_requests (
      kcp_gateway_retry_budget (gateway, server->entry.service),
      kcp_loop_now (gateway->loop));
}

/* Logs what is known of a server's limit. source is "answer" or "another VM". */
static void
log_limit (struct kcp_gateway *gateway, const struct kcp_server *server,
           const char *source)
{
  struct kcp_server_notice notice;

  if (!kcp_server_notices_read (gateway, server, KCP_NOTICE_LIMIT, &notice))
    return;
  KCP_LOG ("server_limit", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_INT ("value", notice.value == LIFTED ? -1 : (int64_t)notice.value),
           KCP_LOG_INT ("age_ms", notice.age_ms), KCP_LOG_INT ("needs", notice.needs),
           KCP_LOG_TEXT ("source", source));
}
