#include "booking/entry.h"

/* Returns a new record and takes ownership of entries. now_ms is the writer's time of
   day. */
json_t *
kcp_entry_record (const char *writer, uint64_t seq, int64_t now_ms, json_t *entries)
{
  return json_pack ("{sssIsIso}", "writer", writer, "seq", (json_int_t)seq, "ms",
                    (json_int_t)now_ms, "entries", entries);
}

/* Returns a new entry that claims a key. */
json_t *
kcp_entry_claim (const struct kcp_claim_entry *claim)
{
  return json_pack ("{sssssssssssssI}", "op", KCP_OP_CLAIM, "key", claim->key, "body",
                    claim->body_hash, "claim", claim->claim, "vm", claim->vm, "writer",
                    claim->writer, "until", (json_int_t)claim->deadline_ms);
}

/* Returns a new entry that records the encrypted outcome of a held claim. */
json_t *
kcp_entry_outcome (const char *key, const char *claim, const char *outcome)
{
  return json_pack ("{ssssssss}", "op", KCP_OP_OUTCOME, "key", key, "claim", claim,
                    "outcome", outcome);
}

/* Returns a new entry that releases a claim whose call was not dispatched. */
json_t *
kcp_entry_release (const char *key, const char *claim)
{
  return json_pack ("{ssssss}", "op", KCP_OP_RELEASE, "key", key, "claim", claim);
}

/* Returns a string member of an entry, or the empty string if there is none. */
const char *
kcp_entry_text (const json_t *entry, const char *member)
{
  const char *text = json_string_value (json_object_get (entry, member));

  return text != NULL ? text : "";
}

/* Returns an integer member of an entry, or 0 if there is none. */
int64_t
kcp_entry_int (const json_t *entry, const char *member)
{
  return json_integer_value (json_object_get (entry, member));
}
