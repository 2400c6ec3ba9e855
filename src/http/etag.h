/* ETags of configuration documents. An ETag consists of the version of the document and
   the id of its publication. */
#ifndef KCP_HTTP_ETAG_H
#define KCP_HTTP_ETAG_H

#include "profile/config_record.h"

#define KCP_ETAG_MAX 64 /* bytes, with the quotes and the final NUL */

void kcp_etag_format (const struct kcp_config_base *base, char out[KCP_ETAG_MAX]);
bool kcp_etag_parse (const char *text, struct kcp_config_base *base);

#endif
