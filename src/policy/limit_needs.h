/* Keeps the needs by which VMs divide a server's limit of requests a second. The result
   depends on the arguments alone.

   Load pattern: the callers of many VMs come and go within seconds, and messages between
   the VMs are late or lost. If each VM used its present needs and what it last heard of
   the others, all would find themselves needier than the others while needs grow, and
   their shares would add up to a multiple of the limit. So a VM states its needs to the
   other users of the limit and counts for itself only what all of them have taken over:
   the least needs that any of them may still assume. Greater needs count once all have
   acknowledged them, smaller ones at once. The shares then add up to the limit at most,
   however old the statements are. A user that knows no statement of another assumes the
   needs that every VM starts with. */
#ifndef KCP_POLICY_LIMIT_NEEDS_H
#define KCP_POLICY_LIMIT_NEEDS_H

#include <stdbool.h>
#include <stdint.h>

/* A VM's needs: its recent requests for the service of one server. */
struct kcp_needs_statement
{
  uint32_t sequence; /* number of the statement; 0: there is none */
  uint32_t needs;
};

/* This VM's own needs. All members are 0 at the start. */
struct kcp_own_needs
{
  struct kcp_needs_statement newest;
  uint32_t agreed; /* the least that another user may assume; 0: the initial needs */
  int64_t stated_ns;
};

/* The needs of another VM, as this VM knows them. All members are 0 at the start. */
struct kcp_peer_needs
{
  struct kcp_needs_statement newest;
  uint32_t acknowledged; /* the statement of this VM that the other one has */
  uint32_t told;         /* the statement of this VM that it was told last */
  int64_t told_ns;
  bool owes_acknowledgement;
};

/* A message to another VM. */
struct kcp_needs_message
{
  struct kcp_needs_statement statement; /* of the sender, if it has to be acknowledged */
  uint32_t acknowledged; /* the receiver's statement that the sender has; 0: none */
};

bool kcp_own_needs_update (struct kcp_own_needs *own, unsigned needs, bool acknowledged,
                           int64_t now_ns);
unsigned kcp_own_needs_agreed (const struct kcp_own_needs *own);
bool kcp_own_needs_are_acknowledged (const struct kcp_own_needs *own,
                                     const struct kcp_peer_needs *peer);
bool kcp_own_needs_tell (const struct kcp_own_needs *own, struct kcp_peer_needs *peer,
                         int64_t now_ns, struct kcp_needs_message *message);
void kcp_peer_needs_receive (struct kcp_peer_needs *peer,
                             const struct kcp_needs_message *message);
unsigned kcp_peer_needs_assumed (const struct kcp_peer_needs *peer);

#endif
