/* One backend server and what this VM knows about it. Not thread-safe: it is used on the
   event loop's thread only. */
#ifndef KCP_FORWARD_SERVER_H
#define KCP_FORWARD_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "policy/entry_order.h"
#include "policy/limit_needs.h"
#include "policy/reach.h"
#include "policy/server_health.h"
#include "policy/server_limit.h"
#include "policy/server_speed.h"
#include "policy/weights_belief.h"

enum kcp_server_state
{
  KCP_SERVER_READY,
  KCP_SERVER_DRAINING /* accepts no new requests */
};

struct kcp_server_weights
{
  char *model;
  int64_t version; /* as the server wrote it */
  /* Of a server in the table: what its entry and all else that is known show. */
  struct kcp_weights_belief belief;
};

/* A server's entry in the servers' list, as the server writes it. */
struct kcp_server_entry
{
  char *id; /* incarnation, which a request can require */
  char *service;
  char *address; /* IP:PORT */
  char *data_center;
  char *software; /* version of its software; empty: it names none */
  enum kcp_server_state state;
  int64_t slots;
  int64_t started_ms; /* Unix time at which the server started; 0: not given */
  int64_t sequence;   /* number of the entry since then, or KCP_ENTRY_UNNUMBERED */
  GArray *weights;    /* struct kcp_server_weights */
};

/* A long prompt part that another VM has sent to a server. */
struct kcp_sent_part
{
  uint64_t part;
  int64_t sent_ns;
};

struct kcp_end_asker;

struct kcp_server
{
  struct kcp_server_entry entry;
  uint64_t key;           /* see kcp_server_key() */
  uint64_t entry_hash;    /* of its newest entry */
  bool removed;           /* no longer in any table */
  int64_t entry_since_ns; /* since when entries have been like that */
  int64_t remove_at_ns;   /* when to remove it, as its entry was deleted; 0: never */
  int64_t held_until_ns;  /* its entry is back, but may be one that was written late */
  unsigned in_flight;     /* this VM's requests at the server */
  int64_t prefill_tokens_pending;  /* of their prompts, while no answer has begun */
  unsigned failures;               /* consecutive */
  struct kcp_server_health health; /* what attempts there came to */
  struct kcp_server_health untold; /* of this VM alone, since others were told */
  struct kcp_server_speed speed;   /* how fast answers of it begin */
  int64_t slowness;                /* by it, see policy/server_speed.h; 0: not computed */
  struct kcp_speed_samples untold_speed; /* of this VM alone, since others were told */
  bool told_unreached;                   /* others were told that it is not reached */
  struct kcp_reach reach;                /* the path to it; see forward/reach_watch.h */
  int64_t suspected_until_ns;
  int64_t backoff_until_ns;       /* it has asked for no requests until then */
  struct kcp_server_limit limit;  /* requests that it takes from all VMs together */
  struct kcp_own_needs own_needs; /* by which this VM has a share of it */
  int64_t limit_shared_ns;        /* when that share was last computed */
  int64_t leaving_since_ns;  /* when an answer said that it is leaving; 0: none has */
  int64_t last_answer_ns;    /* when its newest part of an answer arrived; 0: never */
  int64_t reported_start_ms; /* of its process, by its newest report; 0: none told */
  struct kcp_end_asker *end_asker; /* of forward/end_check.h; NULL: none */
  int64_t probe_after_ns;       /* it is not probed before; see forward/crash_watch.h */
  int64_t loading_until_ns;     /* it counts as loading new weights until then */
  int64_t own_loading_until_ns; /* the same, for an order of this VM */
  int64_t version_changed_ns;   /* when it last showed a new version; 0: never */
  unsigned peers_in_flight;     /* other VMs' requests at the server */
  int64_t peers_prefill_tokens_pending;
  GArray *cached_parts;           /* uint64_t, keys of prompt parts; NULL: not known */
  bool reads_cache_events;        /* this VM reads its cache events */
  int64_t cached_parts_ns;        /* when cached_parts was last confirmed */
  GArray *peers_sent_parts;       /* struct kcp_sent_part, oldest first; NULL: none */
  int64_t peers_prefill_until_ns; /* end of prefill of other VMs' long prompts */
  int64_t orders_taken;           /* since it started, by its reports; -1: not known */
  bool version_doubted; /* it turned a request away, and has shown no other version */
  bool version_checked; /* it is being asked; see forward/version_check.h */
  int64_t version_check_after_ns; /* it is not asked before */
  unsigned versions_confirmed;    /* checks in a row that its entry does not agree with */
  int64_t failed_orders_version;  /* version that the failed orders were to load */
  unsigned failed_orders;         /* orders of this VM that ended without that version */
};

void kcp_server_entry_init (struct kcp_server_entry *entry);
void kcp_server_entry_clear (struct kcp_server_entry *entry);
void kcp_server_entry_add_weights (struct kcp_server_entry *entry, const char *model,
                                   int64_t version);
struct kcp_server *kcp_server_ref (struct kcp_server *server);
void kcp_server_unref (struct kcp_server *server);
uint64_t kcp_server_make_key (const char *id, int64_t started_ms);
uint64_t kcp_server_key (const struct kcp_server *server);
int64_t kcp_server_first_version (const struct kcp_server *server);
void kcp_server_update_first_version (struct kcp_server *server, int64_t version,
                                      int64_t now_ns);
void kcp_server_set_cached_parts (struct kcp_server *server, const GArray *parts,
                                  int64_t now_ns);
bool kcp_server_has_cached_part (const struct kcp_server *server, uint64_t part);
void kcp_server_record_peer_prompt (struct kcp_server *server, uint64_t part,
                                    int64_t prefill_tokens_pending, int64_t now_ns);
bool
kcp_server_was_sent_part (const struct kcp_server *server, uint64_t part, int64_t now_ns);
int64_t kcp_server_peers_prefill_tokens (const struct kcp_server *server, int64_t now_ns);
int64_t kcp_server_version (const struct kcp_server *server, const char *model);
void kcp_server_update_version (struct kcp_server *server, const char *model,
                                int64_t version, int64_t now_ns);
void kcp_server_show_version (struct kcp_server *server, const char *model,
                              const struct kcp_weights_evidence *evidence);
void kcp_server_take_entry_versions (struct kcp_server *server,
                                     const struct kcp_server_entry *entry, int64_t now_ns,
                                     int64_t delay_ns);
void kcp_server_record_failed_order (struct kcp_server *server, int64_t version);
unsigned kcp_server_failed_orders (const struct kcp_server *server, int64_t version);
void kcp_server_record_failure (struct kcp_server *server, int64_t now_ns);
void kcp_server_record_refusal (struct kcp_server *server, int64_t now_ns);
void kcp_server_record_retry_after (struct kcp_server *server, int64_t retry_after_ms,
                                    int64_t now_ns);
void kcp_server_record_leaving (struct kcp_server *server, int64_t since_ns,
                                const char *source);
bool kcp_server_is_leaving (const struct kcp_server *server);
void kcp_server_record_answer (struct kcp_server *server);

#endif
