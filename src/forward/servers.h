/* The table of known backend servers and of KV cache stores. Not thread-safe: it is used
   on the event loop's thread only. */
#ifndef KCP_FORWARD_SERVERS_H
#define KCP_FORWARD_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/server.h"
#include "route/routes.h"

struct kcp_servers;

/* How an entry was read. */
struct kcp_entry_reading
{
  int64_t offset; /* of its record, or KCP_ENTRY_NO_OFFSET */
  int64_t now_ns;
  int64_t now_ms;   /* Unix time */
  int64_t delay_ns; /* it was written at most so long ago */
  int64_t hold_ns;  /* for which a server is not used whose entry returned; 0: it is */
  bool listed;      /* in a listing, not in the records after it */
  bool in_copy;     /* in the listing of an older copy of the store */
};

struct kcp_servers *kcp_servers_new (void);
void kcp_servers_free (struct kcp_servers *servers);
bool kcp_servers_read (struct kcp_servers *servers, struct kcp_server_entry *entry,
                       const struct kcp_entry_reading *reading);
bool kcp_servers_apply (struct kcp_servers *servers, struct kcp_server_entry *entry);
bool
kcp_servers_read_removal (struct kcp_servers *servers, const char *id, int64_t offset);
void kcp_servers_forget_offsets (struct kcp_servers *servers);
bool kcp_servers_remove_at (struct kcp_servers *servers, const char *id, int64_t at_ns);
int64_t kcp_servers_remove_due (struct kcp_servers *servers, int64_t now_ns);
const GPtrArray *kcp_servers_all (const struct kcp_servers *servers);
const GPtrArray *kcp_servers_stores (const struct kcp_servers *servers);
void
kcp_servers_set_stores (struct kcp_servers *servers, const struct kcp_routes *routes);
struct kcp_server *
kcp_servers_find_by_key (const struct kcp_servers *servers, uint64_t key);
struct kcp_server *kcp_servers_find (const struct kcp_servers *servers, const char *id);

#endif
