#include "base/id.h"

#include <sodium.h>
#include <string.h>

/* Writes a random 128-bit identifier to out as hexadecimal digits. */
void
kcp_id_random (char out[KCP_ID_LEN + 1])
{
  unsigned char bytes[KCP_ID_LEN / 2];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (out, KCP_ID_LEN + 1, bytes, sizeof bytes);
}

/* Returns a cryptographically random 64-bit number. */
uint64_t
kcp_id_random_u64 (void)
{
  uint64_t value;

  randombytes_buf (&value, sizeof value);
  return value;
}

/* Writes the BLAKE2b-256 hash of text to out as hexadecimal digits. */
void
kcp_id_hash (struct kcp_str text, char out[KCP_HASH_HEX_LEN + 1])
{
  unsigned char hash[crypto_generichash_BYTES];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)text.data, text.len, NULL,
                      0);
  sodium_bin2hex (out, KCP_HASH_HEX_LEN + 1, hash, sizeof hash);
}

/* Returns true if two hexadecimal hashes are equal. The digits are compared in constant
   time. A string of another length than KCP_HASH_HEX_LEN equals nothing. */
bool
kcp_id_hash_equal (const char *a, const char *b)
{
  if (strlen (a) != KCP_HASH_HEX_LEN || strlen (b) != KCP_HASH_HEX_LEN)
    return false;
  return sodium_memcmp (a, b, KCP_HASH_HEX_LEN) == 0;
}
