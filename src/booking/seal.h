/* Encrypts and authenticates outcomes with a key of the deployment. Outcomes are
   encrypted because the platform's log may be stored outside the data centers that the
   profile allows. */
#ifndef KCP_BOOKING_SEAL_H
#define KCP_BOOKING_SEAL_H

#include <jansson.h>
#include <sodium.h>

struct kcp_seal
{
  unsigned char key[crypto_secretbox_KEYBYTES];
};

void kcp_seal_init (struct kcp_seal *seal, const char *peers_key);
void kcp_seal_clear (struct kcp_seal *seal);
char *kcp_seal_encrypt (const struct kcp_seal *seal, const char *scope, json_t *document);
json_t *
kcp_seal_decrypt (const struct kcp_seal *seal, const char *scope, const char *sealed);

#endif
