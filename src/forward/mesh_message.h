/* What the VMs tell each other of the servers, as ONC RPC calls without a reply. A
   message holds the whole state, so that a lost one does no harm and the newest one of a
   VM replaces its earlier ones. An update holds changes; one that is lost is made good by
   the next messages. */
#ifndef KCP_FORWARD_MESH_MESSAGE_H
#define KCP_FORWARD_MESH_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define KCP_MESH_MESSAGE_MAX 8192u /* bytes */
#define KCP_MESH_ROWS_MAX    128u
#define KCP_MESH_PARTS_MAX   512u /* of all rows together, so that the message fits */
#define KCP_MESH_UPDATES_MAX 64u
#define KCP_MESH_RECORDS_MAX 64u

enum kcp_mesh_procedure
{
  KCP_MESH_UNSOUND, /* no call of this program */
  KCP_MESH_TELL,    /* struct kcp_mesh_message */
  KCP_MESH_UPDATE,  /* struct kcp_mesh_update */
  KCP_MESH_RECORDS  /* struct kcp_mesh_records */
};

/* One server, as one VM sees it. */
struct kcp_mesh_row
{
  uint64_t server;        /* see kcp_server_key() */
  uint32_t in_flight;     /* the VM's requests in flight there */
  uint32_t unread_tokens; /* of their prompts, yet to be read */
  uint32_t version;       /* of the weights there; 0: not known */
  uint32_t loading_ms;    /* it takes new weights for that long yet */
  bool read;              /* the VM reads the server's cache events: parts stand */
  GArray *parts;          /* uint64_t, long parts of prompts that the server keeps */
};

struct kcp_mesh_message
{
  char vm[64]; /* IP:PORT of the VM's own socket */
  char data_center[64];
  uint64_t start;  /* of the VM's process; grows with each */
  uint64_t number; /* of the message, within the start */
  bool leaving;
  GArray *rows; /* struct kcp_mesh_row */
};

/* What has just changed at one server. */
struct kcp_mesh_change
{
  uint64_t server;        /* see kcp_server_key() */
  uint64_t part;          /* long part of a prompt that was sent there; 0: none */
  uint32_t unread_tokens; /* of that prompt, to be read there */
  uint32_t version;       /* of the weights that the server has taken; 0: none */
  uint32_t loading_ms;    /* it takes new weights for about so long; 0: it does not */
};

/* Changes that the others must not learn late, told at once. */
struct kcp_mesh_update
{
  char vm[64];     /* IP:PORT of the VM's own socket */
  uint64_t start;  /* of the VM's process */
  uint64_t number; /* of the update, within the start */
  GArray *changes; /* struct kcp_mesh_change */
};

/* A record of the servers' list in the platform's store. */
struct kcp_mesh_record
{
  int64_t offset;
  uint32_t hold_ms; /* the server is taken as gone that much later; entries: 0 */
  struct kcp_str key;
  struct kcp_str value; /* empty: the entry was removed */
};

/* What one VM has read of the servers' list, for the others of its data center. Records
   that change nothing are left out. */
struct kcp_mesh_records
{
  char vm[64];     /* IP:PORT of the VM's own socket */
  int64_t from;    /* the first offset that was read */
  int64_t next;    /* the one behind the last */
  GArray *records; /* struct kcp_mesh_record */
};

enum kcp_mesh_procedure kcp_mesh_procedure_of (char *data, size_t len);
void kcp_mesh_update_init (struct kcp_mesh_update *update);
void kcp_mesh_update_clear (struct kcp_mesh_update *update);
size_t kcp_mesh_update_encode (struct kcp_mesh_update *update, char *out, size_t max);
bool kcp_mesh_update_decode (struct kcp_mesh_update *update, char *data, size_t len);

void kcp_mesh_records_init (struct kcp_mesh_records *records);
void kcp_mesh_records_clear (struct kcp_mesh_records *records);
size_t kcp_mesh_records_encode (struct kcp_mesh_records *records, char *out, size_t max);
bool kcp_mesh_records_decode (struct kcp_mesh_records *records, char *data, size_t len);

void kcp_mesh_message_init (struct kcp_mesh_message *message);
void kcp_mesh_message_clear (struct kcp_mesh_message *message);
struct kcp_mesh_row *kcp_mesh_message_add_row (struct kcp_mesh_message *message);
size_t kcp_mesh_message_encode (struct kcp_mesh_message *message, char *out, size_t max);
bool kcp_mesh_message_decode (struct kcp_mesh_message *message, char *data, size_t len);

#endif
