/* Encodes messages as XDR and seals them with the key that all VMs share. */
#ifndef KCP_PEER_CODEC_H
#define KCP_PEER_CODEC_H

#include <sodium.h>

#include "peer/gen/wire.h"
#include "peer/message.h"

struct kcp_peer_key
{
  unsigned char bytes[crypto_secretbox_KEYBYTES];
};

bool kcp_peer_key_parse (const char *hex, struct kcp_peer_key *key);
bool kcp_codec_seal (const struct kcp_peer_key *key, const struct kcp_message *message,
                     struct kcp_wire_sealed *sealed);
bool kcp_codec_open (const struct kcp_peer_key *key, const struct kcp_wire_sealed *sealed,
                     struct kcp_message *message);
size_t kcp_codec_bytes (const struct kcp_wire_sealed *sealed);

#endif
