/* Declarations shared by the mesh_*.c files. */
#ifndef KCP_FORWARD_MESH_PRIVATE_H
#define KCP_FORWARD_MESH_PRIVATE_H

#include <netinet/in.h>

#include "forward/mesh.h"
#include "forward/mesh_message.h"

/* Minimum time without a gossip message after which a VM is presumed dead. */
#define KCP_MESH_MIN_DEAD_AFTER_NS (1500 * KCP_NS_PER_MS)

/* Another VM. */
struct kcp_mesh_peer
{
  char vm[64]; /* IP:PORT of its socket */
  struct sockaddr_in address;
  char data_center[64];
  uint64_t start_ms;        /* start time of its process */
  uint64_t sequence;        /* of its newest gossip message */
  uint64_t update_sequence; /* of its newest update message; 0: none */
  int64_t received_ns; /* arrival of its process's newest gossip message; 0: none has */
  int64_t interval_ns; /* moving average of the time between them; 0: not known */
  int64_t added_ns;
  int64_t parts_ns; /* arrival of the newest one with cached parts; 0: none has */
  bool alive;
  bool quota_answered;       /* this process of the VM has sent a quota message */
  unsigned quota_unanswered; /* asks sent to it so far */
  struct kcp_server
      *hop;          /* the VM, as one that requests are passed on to; NULL: none was */
  GHashTable *needs; /* server key -> struct kcp_peer_needs; NULL: none known */
  struct kcp_mesh_message last_message; /* contents of its newest gossip message */
};

/* Token bucket that bounds the bytes sent to a group of VMs, and the round-robin position
   within the list of VMs. */
struct kcp_mesh_budget
{
  int64_t bytes;
  int64_t refilled_ns; /* when it was last refilled; unused by gossip */
  guint next_peer;     /* index of the VM at which the next round begins */
};

/* The summed state of the VMs of another data center. */
struct kcp_mesh_dc_state
{
  int64_t received_ns;            /* arrival of the newest summary */
  struct kcp_mesh_message newest; /* contents of that summary */
};

/* What the summary messages need. */
struct kcp_mesh_summary_state
{
  GPtrArray *dc_states; /* struct kcp_mesh_dc_state, one for each data center heard of */
  uint64_t sequence;    /* of the newest summary that this VM sent */
  uint64_t ticks;       /* of the timer */
  struct kcp_loop_timer timer;
};

/* What the suspects messages need. */
struct kcp_mesh_suspect_state
{
  struct kcp_mesh_budget budget;
  GArray *changed; /* struct kcp_suspect, to be sent at once */
  /* Facts of each kind that were repeated in this round. */
  guint repeat_positions[KCP_SUSPECT_KINDS];
  struct kcp_loop_timer flush_timer;
  struct kcp_loop_timer repeat_timer;
};

/* What the notices messages need. */
struct kcp_mesh_notice_state
{
  struct kcp_mesh_budget budget;
  struct kcp_mesh_notices changed; /* to be sent at once */
  bool repeating;                  /* repeat_timer is set */
  guint next_server;               /* index of the server repeated first */
  guint next_user;                 /* index of the VM that is told needs first */
  struct kcp_loop_timer flush_timer;
  struct kcp_loop_timer repeat_timer;
  bool exchange_scheduled; /* exchange_timer is set */
  struct kcp_loop_timer exchange_timer;
};

/* What the outcomes messages need. */
struct kcp_mesh_outcome_state
{
  struct kcp_mesh_budget budget;
  int64_t at_ns; /* when the timer ends; 0: it is not set */
  struct kcp_loop_timer timer;
};

/* What the speeds messages need. */
struct kcp_mesh_speed_state
{
  struct kcp_mesh_budget budget;
  bool scheduled; /* the timer is set */
  struct kcp_loop_timer timer;
};

struct kcp_mesh
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  int fd;
  char own[64];      /* IP:PORT of this VM's socket */
  uint64_t start_ms; /* start time of this process */
  uint64_t sequence; /* of the newest gossip message */
  int64_t started_ns;
  struct kcp_mesh_budget local_budget;
  struct kcp_mesh_budget load_budget; /* of messages without cached parts */
  struct kcp_mesh_budget remote_budget;
  struct kcp_mesh_budget update_budget;
  struct kcp_mesh_summary_state summaries;
  struct kcp_mesh_suspect_state suspects;
  struct kcp_mesh_notice_state notices;
  struct kcp_mesh_outcome_state outcomes;
  struct kcp_mesh_speed_state speeds;
  struct kcp_mesh_update pending; /* changes to be sent in the next update message */
  bool peer_load_stale;   /* the peers' load has changed since it was last added up */
  int64_t peer_load_ns;   /* when it was last added up */
  int64_t oldest_load_ns; /* arrival of the oldest report that counted then; 0: none */
  bool leader;            /* this VM was the leader of its data center when last logged */
  bool leaving;
  bool registered;                           /* the store's list contains this VM */
  bool listed;                               /* the store's list has been read */
  kcp_mesh_records_handler *records_handler; /* NULL: records are dropped */
  void *records_user;
  GPtrArray *peers;
  struct kcp_loop_timer gossip_timer;
  struct kcp_loop_timer list_timer;
  struct kcp_loop_timer flush; /* timer that sends pending */
};

/* mesh_gossip.c */
void kcp_mesh_gossip (void *user);
void kcp_mesh_send (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                    struct kcp_str bytes);
bool kcp_mesh_is_local (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer);
void kcp_mesh_add_own_rows (struct kcp_mesh *mesh, struct kcp_mesh_message *message);

/* mesh_summary.c */
void kcp_mesh_start_summaries (struct kcp_mesh *mesh);
void kcp_mesh_stop_summaries (struct kcp_mesh *mesh);
bool kcp_mesh_uses_summaries (const struct kcp_mesh *mesh);
void
kcp_mesh_apply_summary (struct kcp_mesh *mesh, const struct kcp_mesh_summary *summary);
void kcp_mesh_send_to_data_centers (struct kcp_mesh *mesh, struct kcp_str datagram);
const struct kcp_mesh_dc_state *
kcp_mesh_find_dc_state (const struct kcp_mesh *mesh, const char *data_center);

/* mesh.c */
unsigned kcp_mesh_count_alive (const struct kcp_mesh *mesh, bool local);
void kcp_mesh_expire_peers (struct kcp_mesh *mesh);
struct kcp_mesh_peer *kcp_mesh_find_peer (struct kcp_mesh *mesh, const char *vm);
struct kcp_mesh_peer *kcp_mesh_add_peer (struct kcp_mesh *mesh, const char *vm);

/* mesh_receive.c */
void kcp_mesh_apply_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row);
void kcp_mesh_receive (void *user, uint32_t events);

/* mesh_list.c */
void kcp_mesh_register (void *user);
void kcp_mesh_on_new_era (void *user, int64_t era);

/* mesh_update.c */
void kcp_mesh_start_updates (struct kcp_mesh *mesh);
void kcp_mesh_apply_update (struct kcp_mesh *mesh, const struct kcp_mesh_update *update);
void kcp_mesh_forward_update (struct kcp_mesh *mesh, struct kcp_mesh_update *update);
void kcp_mesh_refill_budget (struct kcp_mesh_budget *budget, int64_t now_ns,
                             int64_t bytes_per_s, int64_t max_bytes);

guint kcp_mesh_send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_budget *budget,
                                 struct kcp_str datagram, guint max_vms);

/* mesh_notices.c */
void kcp_mesh_start_notices (struct kcp_mesh *mesh);
void kcp_mesh_stop_notices (struct kcp_mesh *mesh);
void
kcp_mesh_apply_notices (struct kcp_mesh *mesh, const struct kcp_mesh_notices *message);
bool kcp_mesh_send_notice (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                           struct kcp_str datagram);

/* mesh_limits.c */
void kcp_mesh_apply_needs (struct kcp_mesh *mesh, const struct kcp_mesh_needs *message);
void kcp_mesh_exchange_needs (struct kcp_mesh *mesh);

/* mesh_quota.c */
void kcp_mesh_stop_quotas (struct kcp_mesh *mesh);
void kcp_mesh_apply_quota (struct kcp_mesh *mesh, const struct kcp_mesh_quota *message);

/* mesh_speeds.c */
void kcp_mesh_start_speeds (struct kcp_mesh *mesh);
void kcp_mesh_stop_speeds (struct kcp_mesh *mesh);
void kcp_mesh_apply_speeds (struct kcp_mesh *mesh, const struct kcp_mesh_speeds *message);

/* mesh_outcomes.c */
void kcp_mesh_start_outcomes (struct kcp_mesh *mesh);
void kcp_mesh_stop_outcomes (struct kcp_mesh *mesh);
void
kcp_mesh_apply_outcomes (struct kcp_mesh *mesh, const struct kcp_mesh_outcomes *message);

/* mesh_suspects.c */
void kcp_mesh_start_suspects (struct kcp_mesh *mesh);
void kcp_mesh_stop_suspects (struct kcp_mesh *mesh);
void
kcp_mesh_apply_suspects (struct kcp_mesh *mesh, const struct kcp_mesh_suspects *message);

#endif
