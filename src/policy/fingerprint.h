/* Identity of a request across its copies: callers send a request again under a new
   request id, and through any VM. Also that of a part of a prompt, which differs from
   that of every request. */
#ifndef KCP_POLICY_FINGERPRINT_H
#define KCP_POLICY_FINGERPRINT_H

#include <stdint.h>

#include "base/str.h"

#define KCP_FINGERPRINT_TEXT_SIZE                                                        \
  17u /* 16 hexadecimal digits and the final null byte                                   \
       */

struct kcp_request_identity
{
  struct kcp_str team; /* empty: none */
  struct kcp_str method;
  struct kcp_str host;
  struct kcp_str target; /* path and query */
  struct kcp_str body;
};

uint64_t kcp_fingerprint_request (const struct kcp_request_identity *identity);
uint64_t kcp_fingerprint_part (struct kcp_str id);
const char *
kcp_fingerprint_text (uint64_t fingerprint, char out[KCP_FINGERPRINT_TEXT_SIZE]);

#endif
