#include "policy/fingerprint.h"

#include <inttypes.h>
#include <stdio.h>
#include <xxhash.h>

static uint64_t add_part (uint64_t hash, struct kcp_str part);

/* Returns a hash of the request that does not depend on its id, equal on all VMs. */
uint64_t
kcp_fingerprint_request (const struct kcp_request_identity *identity)
{
  uint64_t hash = 0;

  hash = add_part (hash, identity->team);
  hash = add_part (hash, identity->method);
  hash = add_part (hash, identity->host);
  hash = add_part (hash, identity->target);
  return add_part (hash, identity->body);
}

/* Returns a hash of a prompt part's id, equal on all VMs and for all requests that share
   the part. */
uint64_t
kcp_fingerprint_part (struct kcp_str id)
{
  return add_part (add_part (0, KCP_STR ("prompt part")), id);
}

/* Writes a fingerprint as the log shows it to out, and returns out. */
const char *
kcp_fingerprint_text (uint64_t fingerprint, char out[KCP_FINGERPRINT_TEXT_SIZE])
{
  (void)snprintf (out, KCP_FINGERPRINT_TEXT_SIZE, "%016" PRIx64, fingerprint);
  return out;
}

/* Each part is hashed with the hash of the parts before it as the seed, so that text
   cannot move from one part to the next without changing the result. */
static uint64_t
add_part (uint64_t hash, struct kcp_str part)
{
  return XXH3_64bits_withSeed (part.data, part.len, hash);
}
