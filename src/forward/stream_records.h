/* The servers' software versions that began streams. Each VM keeps those of its own
   recent streams from their first event on; while a service has several versions in
   service, it writes them to a topic of the platform's store, many in one record, which
   VMs read when a caller resumes a stream. A stream begins once, so what is written of it
   never changes. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_STREAM_RECORDS_H
#define KCP_FORWARD_STREAM_RECORDS_H

#include "forward/software_versions.h"

struct kcp_stream_records;

/* What a VM knows of a stream. */
struct kcp_stream_record
{
  struct kcp_stream_origin origin;
  bool own; /* a server has begun it for this VM */
  bool
      contradicted; /* another record has another origin, and nothing tells which holds */
};

/* Called when the store has been read; answered is false if it did not answer. */
typedef void kcp_stream_records_read (void *user, bool answered);

struct kcp_stream_records *
kcp_stream_records_start (struct kcp_gateway *gateway, const struct kcp_store *store);
void kcp_stream_records_stop (struct kcp_stream_records *records);
void kcp_stream_records_note (struct kcp_stream_records *records, const char *id,
                              const struct kcp_stream_origin *origin, bool write);
void kcp_stream_records_write_own (struct kcp_stream_records *records);
const struct kcp_stream_record *
kcp_stream_records_find (const struct kcp_stream_records *records, const char *id);
void kcp_stream_records_read_store (struct kcp_stream_records *records,
                                    kcp_stream_records_read *done, void *user);

#endif
