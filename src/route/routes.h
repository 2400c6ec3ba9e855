/* The operators' configuration of routed traffic as one immutable document. It defines
   which service a request goes to, how the request may be repeated, and which key
   belongs to which team. */
#ifndef KCP_ROUTE_ROUTES_H
#define KCP_ROUTE_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "quota/bucket.h"

/* What may be repeated when the outcome of an attempt is unknown. */
enum kcp_repeat
{
  KCP_REPEAT_IDEMPOTENT, /* may run more than once */
  KCP_REPEAT_ONCE,       /* may run at most once */
  KCP_REPEAT_RESUMABLE   /* a stream; another server can continue after the last event */
};

struct kcp_target
{
  char *service;
  int64_t weight;
};

struct kcp_route
{
  char *name;
  char *host;
  char *path_prefix; /* begins and ends with a slash */
  enum kcp_repeat repeat;
  bool streaming;
  bool open;         /* requires no key */
  bool prompt;       /* carries a prompt for a model engine */
  int priority;      /* 0 is the most urgent */
  int max_runs;      /* maximum number of servers that run one request */
  int64_t limit_ms;  /* time until a request must have its final answer */
  int64_t target_ms; /* target time to the first byte */
  GArray *targets;   /* struct kcp_target, at least one */
};

/* What a team may send to all VMs together. */
struct kcp_team_quota
{
  struct kcp_quota_limit limit; /* in tokens or requests */
  bool counts_tokens;
  int64_t default_tokens; /* of a request that names none */
};

struct kcp_team_access
{
  char *name;
  int priority;  /* takes precedence over that of the route; or KCP_PRIORITY_NONE */
  bool isolated; /* shares no cache with other teams */
  struct kcp_team_quota quota;
};

#define KCP_PRIORITY_NONE (-1)

struct kcp_service_info
{
  char *name;
  char *cache_store; /* address of a KV cache store; NULL if this is not one */
  char *cache_store_dc;
  int64_t max_connections;
};

struct kcp_caller_limits
{
  int64_t max_header_bytes;
  int64_t max_body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
};

struct kcp_routes
{
  int64_t version;
  GPtrArray *routes;    /* struct kcp_route */
  GPtrArray *teams;     /* struct kcp_team_access */
  GHashTable *by_name;  /* name -> struct kcp_team_access, not owned */
  GHashTable *keys;     /* key -> struct kcp_team_access, not owned */
  GHashTable *services; /* name -> struct kcp_service_info */
  /* The same for the same isolated teams, in any order; 0: no team is isolated. */
  uint64_t isolated_digest;
  bool has_quotas; /* some team has one */
  bool keyed;      /* false: requests carry no keys */
  struct kcp_caller_limits limits;
};

struct kcp_routes *kcp_routes_new (int64_t version);
struct kcp_routes *kcp_routes_ref (struct kcp_routes *routes);
void kcp_routes_unref (struct kcp_routes *routes);
struct kcp_route *kcp_routes_add_route (struct kcp_routes *routes);
void kcp_routes_add_target (struct kcp_route *route, const char *service, int64_t weight);
struct kcp_team_access *kcp_routes_add_team (struct kcp_routes *routes, const char *name);
void kcp_routes_isolate (struct kcp_routes *routes, struct kcp_team_access *team);
bool kcp_routes_isolates (const struct kcp_routes *routes, const char *team);
void kcp_routes_add_key (struct kcp_routes *routes, struct kcp_team_access *team,
                         const char *key);
struct kcp_service_info *
kcp_routes_add_service (struct kcp_routes *routes, const char *name);
const struct kcp_route *kcp_routes_find (const struct kcp_routes *routes,
                                         struct kcp_str host, struct kcp_str path);
const struct kcp_team_access *
kcp_routes_team_named (const struct kcp_routes *routes, const char *name);
const struct kcp_team_access *
kcp_routes_team (const struct kcp_routes *routes, struct kcp_str key);
const char *kcp_route_service_named (const struct kcp_route *route, const char *name);
const char *kcp_route_target (const struct kcp_route *route, uint64_t random_value);

#endif
