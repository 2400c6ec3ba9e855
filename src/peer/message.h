/* One message between two VMs. None waits for an answer: an acknowledgement is a message
   of its own. */
#ifndef KCP_PEER_MESSAGE_H
#define KCP_PEER_MESSAGE_H

#include "peer/facts.h"

#define KCP_MESSAGE_FACTS_MAX 64
#define KCP_MESSAGE_CHUNK_MAX 1024 /* bytes */

enum kcp_message_kind
{
  KCP_MESSAGE_PROBE,          /* asks for an acknowledgement */
  KCP_MESSAGE_ACK,            /* answers a probe; target: who is reachable */
  KCP_MESSAGE_INDIRECT_PROBE, /* asks the receiver to probe the target */
  KCP_MESSAGE_FACTS,          /* carries nothing else */
  KCP_MESSAGE_DIGEST,         /* compares the tables of facts */
  KCP_MESSAGE_PULL,           /* asks for pieces of the configuration */
  KCP_MESSAGE_CHUNK,          /* one piece of the configuration */
  KCP_MESSAGE_KINDS
};

struct kcp_message_probe
{
  uint64_t number; /* the sender's, given back in the acknowledgement */
  char target[KCP_FACT_ID_MAX];
  int64_t config_age_ns; /* of the acknowledging VM's configuration; -1: unknown */
  uint64_t facts;        /* hash of the sender's facts */
};

struct kcp_message_digest
{
  bool answer; /* the receiver sends no digest back */
  struct kcp_facts_digest digest;
};

struct kcp_message_pull
{
  uint64_t number; /* the same for all pieces of one answer */
  uint64_t since;  /* version; asks for what changed after it */
  uint32_t first;  /* chunk */
  uint32_t count;  /* of chunks */
};

struct kcp_message_chunk
{
  uint64_t number;   /* of the pull */
  uint64_t snapshot; /* identity of the text that the chunk is of */
  uint32_t total;    /* bytes of the whole text */
  uint32_t index;    /* of this chunk */
  uint32_t len;      /* bytes of this chunk */
  char data[KCP_MESSAGE_CHUNK_MAX];
};

struct kcp_message
{
  char from[KCP_FACT_ID_MAX];
  char to[KCP_FACT_ID_MAX];
  uint64_t from_session; /* of the sender's process */
  uint64_t to_session;   /* of the receiver's process; 0: not known to the sender */
  uint64_t sequence;     /* grows within a session */
  uint64_t stamp;        /* hybrid logical clock */
  enum kcp_message_kind kind;
  union
  {
    struct kcp_message_probe probe; /* probe, acknowledgement, indirect probe */
    struct kcp_message_digest digest;
    struct kcp_message_pull pull;
    struct kcp_message_chunk chunk;
  } of;
  GArray *facts; /* struct kcp_fact; owned */
};

void kcp_message_clear (struct kcp_message *message);

#endif
