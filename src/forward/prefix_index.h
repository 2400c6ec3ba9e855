/* Index of the servers to which this VM has recently sent each shared prompt part, used
   to place prompts and to fetch cached parts. Entries are estimates: a server drops parts
   from its cache when it runs out of memory. */
#ifndef KCP_FORWARD_PREFIX_INDEX_H
#define KCP_FORWARD_PREFIX_INDEX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define KCP_PREFIX_HOLDERS_MAX 6

struct kcp_prefix_holder
{
  uint64_t server; /* kcp_server_key(); 0: none */
  int64_t used_ns; /* when a prompt with the part was last sent to the server */
};

struct kcp_prefix_entry
{
  struct kcp_prefix_holder holders[KCP_PREFIX_HOLDERS_MAX];
  int64_t save_requested_ns; /* when a server was last asked to save the part; 0: never */
};

struct kcp_prefix_index;

struct kcp_prefix_index *kcp_prefix_index_new (size_t capacity);
void kcp_prefix_index_free (struct kcp_prefix_index *index);
struct kcp_prefix_entry *
kcp_prefix_index_find (struct kcp_prefix_index *index, uint64_t part);
struct kcp_prefix_entry *
kcp_prefix_index_ensure (struct kcp_prefix_index *index, uint64_t part);
void kcp_prefix_entry_add_holder (struct kcp_prefix_entry *entry, uint64_t server,
                                  int64_t now_ns);
bool kcp_prefix_entry_has_holder (const struct kcp_prefix_entry *entry, uint64_t server,
                                  int64_t since_ns);

#endif
