#include "peer/fact.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct fact_kind
{
  const char *name;
  bool is_local; /* sent only to VMs of the same data center */
};

static const struct fact_kind kinds[KCP_FACT_KINDS] = {
  [KCP_FACT_VM] = { "vm", false },
  [KCP_FACT_CONFIG] = { "config", false },
  [KCP_FACT_BACKEND] = { "backend", true },
  [KCP_FACT_QUARANTINE] = { "quarantine", false },
  [KCP_FACT_LOAD] = { "load", false },
};

static const char *const state_names[KCP_VM_STATES] = {
  [KCP_VM_ALIVE] = "alive",
  [KCP_VM_LEAVING] = "leaving",
  [KCP_VM_SUSPECT] = "suspect",
  [KCP_VM_DEAD] = "dead",
};

static int compare_u64 (uint64_t a, uint64_t b);
static int compare_content (const struct kcp_fact *a, const struct kcp_fact *b);
static int
compare_endpoint (const struct kcp_vm_endpoint *a, const struct kcp_vm_endpoint *b);
static uint64_t hash_text (uint64_t hash, const char *text);
static uint64_t hash_u64 (uint64_t hash, uint64_t value);

/* Compares two facts with the same key by number, state, expiry and content, in this
   order. This is a total order: of two different facts one is always greater. Returns a
   negative value, 0 or a positive value, as strcmp() does. */
int
kcp_fact_compare (const struct kcp_fact *a, const struct kcp_fact *b)
{
  int order = compare_u64 (a->number, b->number);

  if (order == 0)
    order = compare_u64 (a->state, b->state);
  if (order == 0)
    order = compare_u64 ((uint64_t)a->expires_ms, (uint64_t)b->expires_ms);
  if (order == 0)
    order = compare_content (a, b);
  return order;
}

/* Returns a hash of the complete fact that is the same on every VM. */
uint64_t
kcp_fact_hash (const struct kcp_fact *fact)
{
  uint64_t hash = kcp_fact_key_hash (fact);

  hash = hash_u64 (hash, fact->number);
  hash = hash_u64 (hash, fact->state);
  hash = hash_u64 (hash, (uint64_t)fact->expires_ms);
  switch (fact->kind)
    {
    case KCP_FACT_VM:
      hash = hash_text (hash, fact->content.vm.data_center);
      hash = hash_text (hash, fact->content.vm.address);
      hash = hash_u64 (hash, fact->content.vm.port);
      break;
    case KCP_FACT_CONFIG:
      hash = hash_u64 (hash, fact->content.config.version);
      hash = hash_u64 (hash, fact->content.config.digest);
      hash = hash_u64 (hash, fact->content.config.loaded);
      break;
    case KCP_FACT_BACKEND:
      hash = hash_text (hash, fact->content.incarnation);
      break;
    case KCP_FACT_LOAD:
      hash = hash_u64 (hash, (uint64_t)fact->content.load.running);
      hash = hash_u64 (hash, (uint64_t)fact->content.load.waiting);
      break;
    case KCP_FACT_QUARANTINE:
    case KCP_FACT_KINDS:
      break;
    }
  return hash;
}

/* Returns a hash of the kind and id that is the same on every VM. */
uint64_t
kcp_fact_key_hash (const struct kcp_fact *fact)
{
  return XXH64 (fact->id, strlen (fact->id), (XXH64_hash_t)fact->kind);
}

/* Returns true if two facts have the same key, that is, kind and id. */
bool
kcp_fact_has_same_key (const struct kcp_fact *a, const struct kcp_fact *b)
{
  return a->kind == b->kind && strcmp (a->id, b->id) == 0;
}

/* Returns true if facts of a kind are sent only to VMs of the same data center. */
bool
kcp_fact_kind_is_local (enum kcp_fact_kind kind)
{
  return kinds[kind].is_local;
}

const char *
kcp_fact_kind_name (enum kcp_fact_kind kind)
{
  return kinds[kind].name;
}

const char *
kcp_vm_state_name (enum kcp_vm_state state)
{
  return state_names[state];
}

static int
compare_u64 (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_content (const struct kcp_fact *a, const struct kcp_fact *b)
{
  int order = 0;

  switch (a->kind)
    {
    case KCP_FACT_VM:
      order = compare_endpoint (&a->content.vm, &b->content.vm);
      break;
    case KCP_FACT_CONFIG:
      order = compare_u64 (a->content.config.version, b->content.config.version);
      if (order == 0)
        order = compare_u64 (a->content.config.digest, b->content.config.digest);
      if (order == 0)
        order = compare_u64 (a->content.config.loaded, b->content.config.loaded);
      break;
    case KCP_FACT_BACKEND:
      order = strcmp (a->content.incarnation, b->content.incarnation);
      break;
    case KCP_FACT_LOAD:
      order = compare_u64 ((uint64_t)a->content.load.running,
                           (uint64_t)b->content.load.running);
      if (order == 0)
        order = compare_u64 ((uint64_t)a->content.load.waiting,
                             (uint64_t)b->content.load.waiting);
      break;
    case KCP_FACT_QUARANTINE:
    case KCP_FACT_KINDS:
      break;
    }
  return order;
}

static int
compare_endpoint (const struct kcp_vm_endpoint *a, const struct kcp_vm_endpoint *b)
{
  int order = strcmp (a->data_center, b->data_center);

  if (order == 0)
    order = strcmp (a->address, b->address);
  if (order == 0)
    order = (a->port > b->port) - (a->port < b->port);
  return order;
}

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  return XXH64 (text, strlen (text), hash);
}

/* Hashes the value in little-endian byte order, which makes the result portable. */
static uint64_t
hash_u64 (uint64_t hash, uint64_t value)
{
  uint64_t little_endian = GUINT64_TO_LE (value);

  return XXH64 (&little_endian, sizeof little_endian, hash);
}
