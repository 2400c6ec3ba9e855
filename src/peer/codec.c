#include "peer/codec.h"

#include <string.h>

#define PLAIN_MAX           (KCP_WIRE_BOX_MAX - crypto_secretbox_MACBYTES)
#define RPC_CALL_BYTES      40 /* header of an ONC RPC call without credentials */
#define BOX_LENGTH_BYTES    4
#define IP_UDP_HEADER_BYTES 28 /* IPv4 and UDP */

G_STATIC_ASSERT (KCP_WIRE_NONCE == crypto_secretbox_NONCEBYTES);
G_STATIC_ASSERT (KCP_WIRE_BUCKETS == KCP_FACTS_BUCKETS);
G_STATIC_ASSERT (KCP_WIRE_CHUNK_MAX == KCP_MESSAGE_CHUNK_MAX);
G_STATIC_ASSERT (KCP_WIRE_FACTS_MAX == KCP_MESSAGE_FACTS_MAX);

static bool encode (const struct kcp_message *message, char *plain, size_t *len);
static void to_wire_body (const struct kcp_message *message, struct kcp_wire_body *wire);
static void to_wire_fact (const struct kcp_fact *fact, struct kcp_wire_fact *wire);
static bool from_wire (const struct kcp_wire_message *wire, struct kcp_message *message);
static bool
from_wire_body (const struct kcp_wire_body *wire, struct kcp_message *message);
static bool from_wire_fact (const struct kcp_wire_fact *wire, struct kcp_fact *fact);
static bool copy_text (char *out, size_t size, const char *text);
static bool copy_id (char *out, const char *text);

/* Parses a key of 64 hexadecimal digits. Returns false if hex is not such a key. */
bool
kcp_peer_key_parse (const char *hex, struct kcp_peer_key *key)
{
  size_t len;

  return sodium_hex2bin (key->bytes, sizeof key->bytes, hex, strlen (hex), NULL, &len,
                         NULL)
             == 0
         && len == sizeof key->bytes;
}

/* Encodes, encrypts and authenticates a message. sealed->box.box_val must have room for
   KCP_WIRE_BOX_MAX bytes. Returns false if the message does not fit. */
bool
kcp_codec_seal (const struct kcp_peer_key *key, const struct kcp_message *message,
                struct kcp_wire_sealed *sealed)
{
  char plain[PLAIN_MAX];
  size_t len;

  if (!encode (message, plain, &len))
    return false;
  randombytes_buf (sealed->nonce, sizeof sealed->nonce);
  (void)crypto_secretbox_easy ((unsigned char *)sealed->box.box_val,
                               (unsigned char *)plain, len,
                               (unsigned char *)sealed->nonce, key->bytes);
  sealed->box.box_len = (u_int)(len + crypto_secretbox_MACBYTES);
  return true;
}

/* Authenticates, decrypts and decodes a message. On success the caller must release it
   with kcp_message_clear(). Returns false, with nothing to release, if the message is not
   authentic or cannot be decoded. */
bool
kcp_codec_open (const struct kcp_peer_key *key, const struct kcp_wire_sealed *sealed,
                struct kcp_message *message)
{
  char plain[PLAIN_MAX];
  struct kcp_wire_message wire = { 0 };
  size_t len = sealed->box.box_len;
  bool ok = false;
  XDR xdr;

  *message = (struct kcp_message){ .facts = NULL };
  if (len < crypto_secretbox_MACBYTES || len > KCP_WIRE_BOX_MAX)
    return false;
  if (crypto_secretbox_open_easy ((unsigned char *)plain,
                                  (const unsigned char *)sealed->box.box_val, len,
                                  (const unsigned char *)sealed->nonce, key->bytes)
      != 0)
    return false;
  xdrmem_create (&xdr, plain, (u_int)(len - crypto_secretbox_MACBYTES), XDR_DECODE);
  if (xdr_kcp_wire_message (&xdr, &wire))
    ok = from_wire (&wire, message);
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_kcp_wire_message, &wire);
  if (!ok)
    kcp_message_clear (message);
  return ok;
}

/* Returns the size of a sealed message on the network in bytes, including the RPC, UDP
   and IP headers. */
size_t
kcp_codec_bytes (const struct kcp_wire_sealed *sealed)
{
  size_t padded = (sealed->box.box_len + BYTES_PER_XDR_UNIT - 1) / BYTES_PER_XDR_UNIT
                  * BYTES_PER_XDR_UNIT;

  return IP_UDP_HEADER_BYTES + RPC_CALL_BYTES + KCP_WIRE_NONCE + BOX_LENGTH_BYTES
         + padded;
}

static bool
encode (const struct kcp_message *message, char *plain, size_t *len)
{
  struct kcp_wire_fact facts[KCP_WIRE_FACTS_MAX];
  struct kcp_wire_message wire = {
    .from = (char *)message->from,
    .to = (char *)message->to,
    .from_session = message->from_session,
    .to_session = message->to_session,
    .sequence = message->sequence,
    .stamp = message->stamp,
    .facts.facts_val = facts,
  };
  bool ok;
  XDR xdr;

  wire.facts.facts_len = MIN (message->facts->len, KCP_WIRE_FACTS_MAX);
  for (u_int i = 0; i < wire.facts.facts_len; i++)
    to_wire_fact (&g_array_index (message->facts, struct kcp_fact, i), &facts[i]);
  to_wire_body (message, &wire.body);
  xdrmem_create (&xdr, plain, PLAIN_MAX, XDR_ENCODE);
  ok = xdr_kcp_wire_message (&xdr, &wire);
  *len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return ok;
}

static void
to_wire_body (const struct kcp_message *message, struct kcp_wire_body *wire)
{
  wire->kind = message->kind;
  switch (message->kind)
    {
    case KCP_MESSAGE_PROBE:
    case KCP_MESSAGE_ACK:
    case KCP_MESSAGE_INDIRECT_PROBE:
      wire->kcp_wire_body_u.probe = (struct kcp_wire_probe){
        .number = message->content.probe.number,
        .target = (char *)message->content.probe.target,
        .config_age_ns = message->content.probe.config_age_ns,
        .facts = message->content.probe.facts,
      };
      break;
    case KCP_MESSAGE_DIGEST:
      wire->kcp_wire_body_u.digest.answer = message->content.digest.answer;
      for (int i = 0; i < KCP_WIRE_BUCKETS; i++)
        wire->kcp_wire_body_u.digest.buckets[i]
            = message->content.digest.digest.buckets[i];
      break;
    case KCP_MESSAGE_PULL:
      wire->kcp_wire_body_u.pull = (struct kcp_wire_pull){
        .number = message->content.pull.number,
        .since = message->content.pull.since,
        .first = message->content.pull.first,
        .count = message->content.pull.count,
      };
      break;
    case KCP_MESSAGE_CHUNK:
      wire->kcp_wire_body_u.chunk = (struct kcp_wire_chunk){
        .number = message->content.chunk.number,
        .snapshot = message->content.chunk.snapshot,
        .total = message->content.chunk.total,
        .index = message->content.chunk.index,
        .data = { message->content.chunk.len, (char *)message->content.chunk.data },
      };
      break;
    case KCP_MESSAGE_FACTS:
    case KCP_MESSAGE_KINDS:
      break;
    }
}

static void
to_wire_fact (const struct kcp_fact *fact, struct kcp_wire_fact *wire)
{
  *wire = (struct kcp_wire_fact){
    .id = (char *)fact->id,
    .number = fact->number,
    .state = fact->state,
    .expires_ms = fact->expires_ms,
    .payload.kind = fact->kind,
  };
  switch (fact->kind)
    {
    case KCP_FACT_VM:
      wire->payload.kcp_wire_payload_u.vm = (struct kcp_wire_place){
        .data_center = (char *)fact->content.vm.data_center,
        .address = (char *)fact->content.vm.address,
        .port = fact->content.vm.port,
      };
      break;
    case KCP_FACT_CONFIG:
      wire->payload.kcp_wire_payload_u.config = (struct kcp_wire_config){
        .number = fact->content.config.version,
        .digest = fact->content.config.digest,
        .loaded = fact->content.config.loaded,
      };
      break;
    case KCP_FACT_BACKEND:
      wire->payload.kcp_wire_payload_u.incarnation = (char *)fact->content.incarnation;
      break;
    case KCP_FACT_LOAD:
      wire->payload.kcp_wire_payload_u.load = (struct kcp_wire_load){
        .running = fact->content.load.running,
        .waiting = fact->content.load.waiting,
      };
      break;
    case KCP_FACT_QUARANTINE:
    case KCP_FACT_KINDS:
      break;
    }
}

static bool
from_wire (const struct kcp_wire_message *wire, struct kcp_message *message)
{
  if (!copy_id (message->from, wire->from) || !copy_id (message->to, wire->to)
      || !from_wire_body (&wire->body, message))
    return false;
  message->from_session = wire->from_session;
  message->to_session = wire->to_session;
  message->sequence = wire->sequence;
  message->stamp = wire->stamp;
  message->facts
      = g_array_sized_new (FALSE, FALSE, sizeof (struct kcp_fact), wire->facts.facts_len);
  for (u_int i = 0; i < wire->facts.facts_len; i++)
    {
      struct kcp_fact fact;

      if (!from_wire_fact (&wire->facts.facts_val[i], &fact))
        return false;
      g_array_append_val (message->facts, fact);
    }
  return true;
}

static bool
from_wire_body (const struct kcp_wire_body *wire, struct kcp_message *message)
{
  const struct kcp_wire_probe *probe = &wire->kcp_wire_body_u.probe;
  const struct kcp_wire_chunk *chunk = &wire->kcp_wire_body_u.chunk;

  if (wire->kind >= KCP_MESSAGE_KINDS)
    return false;
  message->kind = wire->kind;
  switch (message->kind)
    {
    case KCP_MESSAGE_PROBE:
    case KCP_MESSAGE_ACK:
    case KCP_MESSAGE_INDIRECT_PROBE:
      message->content.probe.number = probe->number;
      message->content.probe.config_age_ns = probe->config_age_ns;
      message->content.probe.facts = probe->facts;
      return copy_text (message->content.probe.target, KCP_FACT_ID_MAX, probe->target);
    case KCP_MESSAGE_DIGEST:
      message->content.digest.answer = wire->kcp_wire_body_u.digest.answer;
      for (int i = 0; i < KCP_WIRE_BUCKETS; i++)
        message->content.digest.digest.buckets[i]
            = wire->kcp_wire_body_u.digest.buckets[i];
      return true;
    case KCP_MESSAGE_PULL:
      message->content.pull = (struct kcp_message_pull){
        .number = wire->kcp_wire_body_u.pull.number,
        .since = wire->kcp_wire_body_u.pull.since,
        .first = wire->kcp_wire_body_u.pull.first,
        .count = wire->kcp_wire_body_u.pull.count,
      };
      return true;
    case KCP_MESSAGE_CHUNK:
      message->content.chunk = (struct kcp_message_chunk){
        .number = chunk->number,
        .snapshot = chunk->snapshot,
        .total = chunk->total,
        .index = chunk->index,
        .len = chunk->data.data_len,
      };
      if (chunk->data.data_len > 0)
        memcpy (message->content.chunk.data, chunk->data.data_val, chunk->data.data_len);
      return true;
    case KCP_MESSAGE_FACTS:
      return true;
    case KCP_MESSAGE_KINDS:
      break;
    }
  return false;
}

/* Decodes a fact. Unused bytes are set to zero, so that equal facts have equal bytes. */
static bool
from_wire_fact (const struct kcp_wire_fact *wire, struct kcp_fact *fact)
{
  const struct kcp_wire_place *place = &wire->payload.kcp_wire_payload_u.vm;
  const struct kcp_wire_config *config = &wire->payload.kcp_wire_payload_u.config;
  const struct kcp_wire_load *load = &wire->payload.kcp_wire_payload_u.load;

  if (wire->payload.kind >= KCP_FACT_KINDS || wire->expires_ms < 0)
    return false;
  memset (fact, 0, sizeof *fact);
  fact->kind = wire->payload.kind;
  fact->number = wire->number;
  fact->state = wire->state;
  fact->expires_ms = wire->expires_ms;
  if (!copy_id (fact->id, wire->id))
    return false;
  switch (fact->kind)
    {
    case KCP_FACT_VM:
      fact->content.vm.port = (uint16_t)place->port;
      return fact->state < KCP_VM_STATES && place->port <= UINT16_MAX
             && copy_id (fact->content.vm.data_center, place->data_center)
             && copy_text (fact->content.vm.address, KCP_FACT_ADDRESS_MAX,
                           place->address);
    case KCP_FACT_CONFIG:
      fact->content.config = (struct kcp_config_summary){
        .version = config->number,
        .digest = config->digest,
        .loaded = config->loaded,
      };
      return true;
    case KCP_FACT_BACKEND:
      return copy_text (fact->content.incarnation, KCP_FACT_INCARNATION_MAX,
                        wire->payload.kcp_wire_payload_u.incarnation);
    case KCP_FACT_LOAD:
      fact->content.load = (struct kcp_load_sums){
        .running = load->running,
        .waiting = load->waiting,
      };
      return true;
    case KCP_FACT_QUARANTINE:
      return true;
    case KCP_FACT_KINDS:
      break;
    }
  return false;
}

static bool
copy_text (char *out, size_t size, const char *text)
{
  return text != NULL && g_strlcpy (out, text, size) < size;
}

static bool
copy_id (char *out, const char *text)
{
  return copy_text (out, KCP_FACT_ID_MAX, text) && out[0] != '\0';
}
