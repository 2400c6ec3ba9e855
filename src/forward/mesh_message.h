/* Encodes and decodes the messages that VMs exchange about the servers: ONC RPC calls
   without a reply. A gossip message holds the sender's whole state, so that the newest
   message of a VM replaces its earlier ones and a lost message does no harm. An update
   message holds only changes; if it is lost, the next gossip messages make up for it. A
   records message relays what one VM has read of the servers' list. A suspects message
   tells which requests, or which parts of prompts, were in flight at servers that
   crashed, and a notices message what servers say of the requests that they take. A needs
   message tells one user of a limit the needs of another. A summary message adds up the
   state of all VMs of a data center for the VMs of another one. */
#ifndef KCP_FORWARD_MESH_MESSAGE_H
#define KCP_FORWARD_MESH_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "forward/server_notices.h"
#include "policy/limit_needs.h"
#include "policy/quarantine.h"
#include "policy/suspect.h"
#include "quota/bucket.h"

#define KCP_MESH_MESSAGE_MAX  8192u /* bytes */
#define KCP_MESH_ROWS_MAX     128u
#define KCP_MESH_PARTS_MAX    512u /* in all rows of a message together, so that it fits */
#define KCP_MESH_CHANGES_MAX  64u  /* changes in an update message */
#define KCP_MESH_RECORDS_MAX  64u
#define KCP_MESH_SUSPECTS_MAX 64u /* facts in a suspects message */
#define KCP_MESH_NOTICES_MAX  64u /* notices in a notices message */
#define KCP_MESH_NEEDS_MAX    64u /* servers in a needs message */
#define KCP_MESH_SPEEDS_MAX   32u /* servers in a speeds message */
#define KCP_MESH_OUTCOMES_MAX 64u /* servers in an outcomes message */
/* Incarnations that the fact of a request names. */
#define KCP_MESH_REQUEST_CRASHES_MAX 3u

enum kcp_mesh_procedure
{
  KCP_MESH_INVALID,       /* not a call of this RPC program */
  KCP_MESH_GOSSIP,        /* struct kcp_mesh_message */
  KCP_MESH_UPDATE,        /* struct kcp_mesh_update */
  KCP_MESH_RECORDS,       /* struct kcp_mesh_records */
  KCP_MESH_SUSPECTS,      /* struct kcp_mesh_suspects, of requests */
  KCP_MESH_PART_SUSPECTS, /* struct kcp_mesh_suspects, of parts of prompts */
  KCP_MESH_NOTICES,       /* struct kcp_mesh_notices */
  KCP_MESH_NEEDS,         /* struct kcp_mesh_needs */
  KCP_MESH_SUMMARY,       /* struct kcp_mesh_summary */
  KCP_MESH_REMOTE_UPDATE, /* struct kcp_mesh_update, to be forwarded */
  KCP_MESH_OUTCOMES,      /* struct kcp_mesh_outcomes */
  KCP_MESH_QUOTA,         /* struct kcp_mesh_quota */
  KCP_MESH_SPEEDS         /* struct kcp_mesh_speeds */
};

/* The state of one server as seen by the sending VM. */
struct kcp_mesh_row
{
  uint64_t server;    /* see kcp_server_key() */
  uint32_t in_flight; /* the VM's requests in flight at the server */
  /* Prompt tokens of these requests that are still to be prefilled. */
  uint32_t prefill_tokens_pending;
  uint32_t version;    /* version of the weights, if learned recently; 0: not given */
  uint32_t loading_ms; /* expected time until new weights are loaded; 0: no load */
  bool has_parts;      /* the VM reads the server's cache events; parts is valid */
  GArray *parts;       /* uint64_t, long prompt parts that the server has cached */
};

/* A gossip message: the whole state of one VM. */
struct kcp_mesh_message
{
  char vm[64]; /* IP:PORT of the VM's own socket */
  char data_center[64];
  uint64_t start_ms; /* start time of the VM's process; grows with each restart */
  uint64_t sequence; /* number of the message, counted from the start */
  bool leaving;
  GArray *rows; /* struct kcp_mesh_row */
};

/* A summary message: the state of all VMs of the sender's data center. */
struct kcp_mesh_summary
{
  struct kcp_mesh_message state; /* vm, start_ms and sequence are the sender's */
  bool forwarded;                /* by a VM of the receiver's data center */
};

/* A change at one server. */
struct kcp_mesh_change
{
  uint64_t server; /* see kcp_server_key() */
  uint64_t part;   /* long part of a prompt sent to the server; 0: none */
  /* Tokens of that prompt that the server still has to prefill. */
  uint32_t prefill_tokens_pending;
  uint32_t version;    /* version of the weights just loaded; 0: none */
  uint32_t loading_ms; /* expected duration of a load that has begun; 0: none */
};

/* An update message: changes that are sent without waiting for the next gossip round. */
struct kcp_mesh_update
{
  char vm[64];       /* IP:PORT of the VM's own socket */
  uint64_t start_ms; /* start time of the VM's process */
  uint64_t sequence; /* number of the update, counted from the start */
  GArray *changes;   /* struct kcp_mesh_change */
};

/* A record of the servers' list in the platform's store. */
struct kcp_mesh_record
{
  int64_t offset;
  /* Time until the server is removed; 0 unless value is empty. */
  uint32_t removal_delay_ms;
  struct kcp_str key;
  struct kcp_str value; /* empty: the entry is removed */
};

/* A range of the servers' list that one VM has read, sent to the other VMs of its data
   center. Records that change nothing are left out. */
struct kcp_mesh_records
{
  char vm[64];     /* IP:PORT of the VM's own socket */
  int64_t era;     /* era of the store to which the offsets belong */
  int64_t from;    /* first offset that was read */
  int64_t next;    /* offset after the last one that was read */
  GArray *records; /* struct kcp_mesh_record */
};

/* What one VM knows of requests, or of parts of prompts, that were in flight at servers
   that crashed. */
struct kcp_mesh_suspects
{
  enum kcp_suspect_kind kind;
  char vm[64];   /* IP:PORT of the VM's own socket */
  GArray *facts; /* struct kcp_quarantine_fact */
};

/* What one VM knows of what servers say. */
struct kcp_mesh_notices
{
  char vm[64];     /* IP:PORT of the VM's own socket */
  GArray *notices; /* struct kcp_server_notice */
};

/* The needs for one server. */
struct kcp_mesh_needs_row
{
  uint64_t server; /* see kcp_server_key() */
  struct kcp_needs_message message;
};

/* The needs of one VM, for one other VM. */
struct kcp_mesh_needs
{
  char vm[64];                /* IP:PORT of the VM's own socket */
  uint64_t start_ms;          /* start time of the VM's process */
  uint64_t receiver_start_ms; /* of the process for which the message is */
  GArray *rows;               /* struct kcp_mesh_needs_row */
};

/* What recent attempts of one VM at a server came to, in sixteenths of an attempt. */
struct kcp_mesh_outcome
{
  uint64_t server; /* see kcp_server_key() */
  uint32_t successes;
  uint32_t failures;
  uint32_t reached; /* not 0: it is reached again, after it was told not to be */
};

struct kcp_mesh_outcomes
{
  char vm[64];  /* IP:PORT of the VM's own socket */
  GArray *rows; /* struct kcp_mesh_outcome */
};

/* Samples of a server's speed that a VM has taken, see policy/server_speed.h. */
struct kcp_mesh_speed
{
  uint64_t server; /* see kcp_server_key() */
  uint32_t count;
  int32_t log_sum; /* in 256ths */
};

struct kcp_mesh_speeds
{
  char vm[64];  /* IP:PORT of the VM's own socket */
  GArray *rows; /* struct kcp_mesh_speed */
};

enum kcp_mesh_quota_kind
{
  KCP_MESH_QUOTA_ASK,          /* costs, count and reserve apply */
  KCP_MESH_QUOTA_GRANT,        /* count, granted and retry_ms apply */
  KCP_MESH_QUOTA_NOT_GRANTING, /* the VM that was asked does not grant this quota */
  KCP_MESH_QUOTA_KINDS
};

/* An ask for a part of a team's quota, or the answer to one. */
struct kcp_mesh_quota
{
  char vm[64]; /* IP:PORT of the VM's own socket */
  enum kcp_mesh_quota_kind kind;
  uint64_t team;                     /* see kcp_quota_team_key() */
  uint32_t sequence;                 /* of the ask */
  uint32_t costs[KCP_QUOTA_ASK_MAX]; /* see struct kcp_quota_ask */
  uint32_t count;                    /* of the costs asked for, or granted */
  uint32_t reserve;
  uint32_t granted; /* see struct kcp_quota_grant */
  uint32_t retry_ms;
};

enum kcp_mesh_procedure kcp_mesh_procedure_of (char *data, size_t len);
void kcp_mesh_update_init (struct kcp_mesh_update *update);
void kcp_mesh_update_clear (struct kcp_mesh_update *update);
size_t kcp_mesh_update_encode (struct kcp_mesh_update *update,
                               enum kcp_mesh_procedure procedure, char *out, size_t max);
bool kcp_mesh_update_decode (struct kcp_mesh_update *update,
                             enum kcp_mesh_procedure procedure, char *data, size_t len);

void kcp_mesh_records_init (struct kcp_mesh_records *records);
void kcp_mesh_records_clear (struct kcp_mesh_records *records);
size_t kcp_mesh_records_encode (struct kcp_mesh_records *records, char *out, size_t max);
bool kcp_mesh_records_decode (struct kcp_mesh_records *records, char *data, size_t len);
void
kcp_mesh_suspects_init (struct kcp_mesh_suspects *suspects, enum kcp_suspect_kind kind);
void kcp_mesh_suspects_clear (struct kcp_mesh_suspects *suspects);
size_t
kcp_mesh_suspects_encode (struct kcp_mesh_suspects *suspects, char *out, size_t max);
bool
kcp_mesh_suspects_decode (struct kcp_mesh_suspects *suspects, char *data, size_t len);

void kcp_mesh_notices_init (struct kcp_mesh_notices *notices);
void kcp_mesh_notices_clear (struct kcp_mesh_notices *notices);
size_t kcp_mesh_notices_encode (struct kcp_mesh_notices *notices, char *out, size_t max);
bool kcp_mesh_notices_decode (struct kcp_mesh_notices *notices, char *data, size_t len);

void kcp_mesh_needs_init (struct kcp_mesh_needs *needs);
void kcp_mesh_needs_clear (struct kcp_mesh_needs *needs);
size_t kcp_mesh_needs_encode (struct kcp_mesh_needs *needs, char *out, size_t max);
bool kcp_mesh_needs_decode (struct kcp_mesh_needs *needs, char *data, size_t len);

void kcp_mesh_outcomes_init (struct kcp_mesh_outcomes *outcomes);
void kcp_mesh_outcomes_clear (struct kcp_mesh_outcomes *outcomes);
size_t
kcp_mesh_outcomes_encode (struct kcp_mesh_outcomes *outcomes, char *out, size_t max);
bool
kcp_mesh_outcomes_decode (struct kcp_mesh_outcomes *outcomes, char *data, size_t len);

void kcp_mesh_speeds_init (struct kcp_mesh_speeds *speeds);
void kcp_mesh_speeds_clear (struct kcp_mesh_speeds *speeds);
size_t kcp_mesh_speeds_encode (struct kcp_mesh_speeds *speeds, char *out, size_t max);
bool kcp_mesh_speeds_decode (struct kcp_mesh_speeds *speeds, char *data, size_t len);

size_t kcp_mesh_quota_encode (struct kcp_mesh_quota *quota, char *out, size_t max);
bool kcp_mesh_quota_decode (struct kcp_mesh_quota *quota, char *data, size_t len);

void kcp_mesh_message_init (struct kcp_mesh_message *message);
void kcp_mesh_message_clear (struct kcp_mesh_message *message);
struct kcp_mesh_row *kcp_mesh_message_add_row (struct kcp_mesh_message *message);
void kcp_mesh_message_drop_parts (struct kcp_mesh_message *message);
size_t kcp_mesh_message_encode (struct kcp_mesh_message *message, char *out, size_t max);
bool kcp_mesh_message_decode (struct kcp_mesh_message *message, char *data, size_t len);

void kcp_mesh_summary_init (struct kcp_mesh_summary *summary);
void kcp_mesh_summary_clear (struct kcp_mesh_summary *summary);
size_t kcp_mesh_summary_encode (struct kcp_mesh_summary *summary, char *out, size_t max);
bool kcp_mesh_summary_decode (struct kcp_mesh_summary *summary, char *data, size_t len);

#endif
