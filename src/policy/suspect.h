/* What may crash servers: one request, whose copies are alike, or one part of a prompt,
   which requests share that are otherwise different. */
#ifndef KCP_POLICY_SUSPECT_H
#define KCP_POLICY_SUSPECT_H

#include <stdint.h>

#define KCP_SUSPECT_KINDS 2u

enum kcp_suspect_kind
{
  KCP_SUSPECT_REQUEST,
  KCP_SUSPECT_PART
};

struct kcp_suspect
{
  enum kcp_suspect_kind kind;
  uint64_t fingerprint; /* see policy/fingerprint.h */
};

const char *kcp_suspect_kind_name (enum kcp_suspect_kind kind);

#endif
