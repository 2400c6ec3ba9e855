/* Random identifiers and BLAKE2b hashes, computed by libsodium. */
#ifndef KCP_BASE_ID_H
#define KCP_BASE_ID_H

#include "base/str.h"

#define KCP_ID_LEN       32 /* hexadecimal digits */
#define KCP_HASH_HEX_LEN 64 /* hexadecimal digits of a 256-bit hash */

void kcp_id_random (char out[KCP_ID_LEN + 1]);
uint64_t kcp_id_random_u64 (void);
void kcp_id_hash (struct kcp_str text, char out[KCP_HASH_HEX_LEN + 1]);
bool kcp_id_hash_equal (const char *a, const char *b);

#endif
