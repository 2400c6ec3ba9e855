#include "booking/seal.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CONTEXT   "kingcuppoint booking outcome 1"
#define NONCE_LEN crypto_secretbox_NONCEBYTES /* bytes */
#define MAC_LEN   crypto_secretbox_MACBYTES   /* bytes */

/* Derives the encryption key from the key of the deployment, given as hexadecimal
   digits. */
void
kcp_seal_init (struct kcp_seal *seal, const char *peers_key)
{
  unsigned char key[crypto_generichash_KEYBYTES] = { 0 };

  sodium_hex2bin (key, sizeof key, peers_key, strlen (peers_key), NULL, NULL, NULL);
  crypto_generichash (seal->key, sizeof seal->key, (const unsigned char *)CONTEXT,
                      strlen (CONTEXT), key, sizeof key);
  sodium_memzero (key, sizeof key);
}

/* Erases the key. */
void
kcp_seal_clear (struct kcp_seal *seal)
{
  sodium_memzero (seal, sizeof *seal);
}

/* Encrypts a document together with its scope. Returns the nonce and the ciphertext in
   base64, to be freed with g_free(). */
char *
kcp_seal_encrypt (const struct kcp_seal *seal, const char *scope, json_t *document)
{
  json_t *plain = json_pack ("{sssO}", "scope", scope, "document", document);
  char *text = json_dumps (plain, JSON_COMPACT);
  size_t len = strlen (text);
  size_t size = NONCE_LEN + MAC_LEN + len;
  unsigned char *box = g_malloc (size);
  char *sealed;

  randombytes_buf (box, NONCE_LEN);
  crypto_secretbox_easy (box + NONCE_LEN, (const unsigned char *)text, len, box,
                         seal->key);
  sealed = g_base64_encode (box, size);
  sodium_memzero (text, len);
  free (text);
  g_free (box);
  json_decref (plain);
  return sealed;
}

/* Decrypts a document. Returns a new value, or NULL if it was not encrypted with this key
   and for this scope. */
json_t *
kcp_seal_decrypt (const struct kcp_seal *seal, const char *scope, const char *sealed)
{
  gsize size = 0;
  g_autofree unsigned char *box = g_base64_decode (sealed, &size);
  g_autofree unsigned char *text = NULL;
  json_t *plain = NULL;
  json_t *document = NULL;

  if (size <= NONCE_LEN + MAC_LEN)
    return NULL;
  text = g_malloc (size);
  if (crypto_secretbox_open_easy (text, box + NONCE_LEN, size - NONCE_LEN, box, seal->key)
      == 0)
    plain = json_loadb ((const char *)text, size - NONCE_LEN - MAC_LEN, 0, NULL);
  if (g_strcmp0 (json_string_value (json_object_get (plain, "scope")), scope) == 0)
    document = json_incref (json_object_get (plain, "document"));
  sodium_memzero (text, size);
  json_decref (plain);
  return document;
}
