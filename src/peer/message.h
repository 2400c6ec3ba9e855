/* A message between two VMs. An answer, such as an acknowledgement, is a separate
   message, and no sender blocks on one. */
#ifndef KCP_PEER_MESSAGE_H
#define KCP_PEER_MESSAGE_H

#include "peer/facts.h"

#define KCP_MESSAGE_FACTS_MAX 64
#define KCP_MESSAGE_CHUNK_MAX 1024 /* bytes */

enum kcp_message_kind
{
  KCP_MESSAGE_PROBE,          /* requests an acknowledgement */
  KCP_MESSAGE_ACK,            /* acknowledges a probe of the target */
  KCP_MESSAGE_INDIRECT_PROBE, /* requests that the receiver probe the target */
  KCP_MESSAGE_FACTS,          /* carries facts only */
  KCP_MESSAGE_DIGEST,         /* carries the digest of the sender's fact table */
  KCP_MESSAGE_PULL,           /* requests chunks of the configuration */
  KCP_MESSAGE_CHUNK,          /* carries one chunk of the configuration */
  KCP_MESSAGE_KINDS
};

struct kcp_message_probe
{
  uint64_t number; /* assigned by the sender and echoed in the acknowledgement */
  char target[KCP_FACT_ID_MAX];
  int64_t config_age_ns; /* of the acknowledging VM's configuration; -1 if unknown */
  uint64_t facts;        /* hash of the sender's fact table */
};

struct kcp_message_digest
{
  bool answer; /* answers a digest; the receiver does not send its own back */
  struct kcp_facts_digest digest;
};

struct kcp_message_pull
{
  uint64_t number; /* identifies the pull; the chunks that answer it carry it too */
  uint64_t since;  /* version; changes made after it are requested */
  uint32_t first;  /* index of the first requested chunk */
  uint32_t count;  /* number of requested chunks */
};

struct kcp_message_chunk
{
  uint64_t number;   /* number of the pull that is answered */
  uint64_t snapshot; /* hash of the complete text */
  uint32_t total;    /* size of the complete text in bytes */
  uint32_t index;    /* position of this chunk, from 0 */
  uint32_t len;      /* size of this chunk in bytes */
  char data[KCP_MESSAGE_CHUNK_MAX];
};

struct kcp_message
{
  char from[KCP_FACT_ID_MAX];
  char to[KCP_FACT_ID_MAX];
  uint64_t from_session; /* session of the sender's process */
  uint64_t to_session;   /* session of the receiver's process; 0 if unknown */
  uint64_t sequence;     /* increases within a session */
  uint64_t stamp;        /* hybrid logical clock of the sender */
  enum kcp_message_kind kind;
  union
  {
    struct kcp_message_probe probe; /* for PROBE, ACK and INDIRECT_PROBE */
    struct kcp_message_digest digest;
    struct kcp_message_pull pull;
    struct kcp_message_chunk chunk;
  } content;
  GArray *facts; /* of struct kcp_fact; owned */
};

void kcp_message_clear (struct kcp_message *message);

#endif
