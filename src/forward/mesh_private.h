/* What the files of the exchange between VMs share. */
#ifndef KCP_FORWARD_MESH_PRIVATE_H
#define KCP_FORWARD_MESH_PRIVATE_H

#include <netinet/in.h>

#include "forward/mesh.h"
#include "forward/mesh_message.h"

/* A VM that is silent for longer may be away. */
#define KCP_MESH_SILENT_LEAST_NS (1500 * KCP_NS_PER_MS)

/* Another VM. */
struct kcp_mesh_peer
{
  char vm[64]; /* IP:PORT */
  struct sockaddr_in address;
  char data_center[64];
  uint64_t start;
  uint64_t number;
  uint64_t update_number;
  int64_t heard_ns; /* 0: only listed */
  int64_t pause_ns; /* usual time between its messages; 0: not known */
  int64_t listed_ns;
  bool alive;
  struct kcp_mesh_message seen; /* its newest message */
};

/* Bytes that may be told to one group of VMs, and whose turn it is there. */
struct kcp_mesh_share
{
  int64_t bytes;
  guint turn; /* where in the list of VMs the next telling begins */
};

struct kcp_mesh
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  int fd;
  char own[64];
  uint64_t start;
  uint64_t number;
  struct kcp_mesh_share near;
  struct kcp_mesh_share far;
  struct kcp_mesh_share updates;
  int64_t updates_filled_ns;      /* when its share last grew */
  struct kcp_mesh_update pending; /* changes that go out with the next flush */
  bool sums_stale; /* messages came since what others have open was added up */
  bool first;      /* this VM acts for its data center, as last logged */
  bool leaving;
  bool entered;                        /* this VM stands in it */
  kcp_mesh_take_records *take_records; /* NULL: nobody wants them */
  void *records_user;
  GPtrArray *peers;
  struct kcp_loop_timer tell;
  struct kcp_loop_timer list;
  struct kcp_loop_timer flush;
};

/* mesh_tell.c */
void kcp_mesh_tell (void *user);
void kcp_mesh_send (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                    struct kcp_str bytes);
bool kcp_mesh_is_near (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer);

/* mesh.c */
unsigned kcp_mesh_count_alive (const struct kcp_mesh *mesh, bool near);
void kcp_mesh_check_peers (struct kcp_mesh *mesh);
struct kcp_mesh_peer *kcp_mesh_find_peer (struct kcp_mesh *mesh, const char *vm);
struct kcp_mesh_peer *kcp_mesh_make_peer (struct kcp_mesh *mesh, const char *vm);

/* mesh_list.c */
void kcp_mesh_enter_list (void *user);

/* mesh_update.c */
void kcp_mesh_take_update (struct kcp_mesh *mesh, const struct kcp_mesh_update *update);

#endif
