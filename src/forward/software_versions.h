/* The software versions in service: for each service, the versions that servers in the
   list have or recently had. They are kept in the platform's store too, so that a VM that
   has just started knows of versions whose servers have just left. Used on the event
   loop's thread only. */
#ifndef KCP_FORWARD_SOFTWARE_VERSIONS_H
#define KCP_FORWARD_SOFTWARE_VERSIONS_H

#include "forward/gateway.h"

/* Size of the text of a key: 16 hexadecimal digits. */
#define KCP_SOFTWARE_TEXT_SIZE 17

struct kcp_software_versions;

/* What can begin a stream; see kcp_software_key(). */
struct kcp_stream_origin
{
  uint64_t service;
  uint64_t software;
};

/* Called when the store has been read; answered is false if it did not answer. */
typedef void kcp_software_versions_read (void *user, bool answered);

struct kcp_software_versions *
kcp_software_versions_start (struct kcp_gateway *gateway, const struct kcp_store *store);
void kcp_software_versions_stop (struct kcp_software_versions *versions);
uint64_t kcp_software_key (const char *text);
const char *kcp_software_key_text (uint64_t key, char text[KCP_SOFTWARE_TEXT_SIZE]);
void kcp_software_versions_note (struct kcp_software_versions *versions,
                                 const struct kcp_server *server);
unsigned kcp_software_versions_count (const struct kcp_software_versions *versions,
                                      uint64_t service, uint64_t *software);
unsigned kcp_software_versions_of_route (const struct kcp_software_versions *versions,
                                         const struct kcp_route *route,
                                         struct kcp_stream_origin *origin);
void kcp_software_versions_note_listed (struct kcp_software_versions *versions);
void kcp_software_versions_read_store (struct kcp_software_versions *versions,
                                       kcp_software_versions_read *done, void *user);

#endif
