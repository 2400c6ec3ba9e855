#include "forward/servers.h"

#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/decision_log.h"
#include "base/ref.h"
#include "forward/known_entries.h"

struct kcp_servers
{
  GPtrArray *all;     /* struct kcp_server, references */
  GPtrArray *stores;  /* KV cache stores, references; they take no requests */
  GHashTable *by_key; /* kcp_server_key() -> struct kcp_server of either list, borrowed */
  struct kcp_known_entries *known;
};

static void
add_server (struct kcp_servers *servers, GPtrArray *list, struct kcp_server *server);
static enum kcp_entry_age judge (const struct kcp_servers *servers, const char *id,
                                 const struct kcp_entry_order *order, bool listed);
static void log_older (const struct kcp_servers *servers,
                       const struct kcp_server_entry *entry, int64_t offset);
static bool apply_newer (struct kcp_servers *servers, struct kcp_server_entry *entry,
                         const struct kcp_entry_reading *reading, bool *added);
static void hold (struct kcp_server *server, const struct kcp_entry_reading *reading);
static uint64_t hash_entry (const struct kcp_server_entry *entry);
static bool
has_restarted (const struct kcp_server *server, const struct kcp_server_entry *entry);
static void replace_entry (struct kcp_server *server, struct kcp_server_entry *entry,
                           const struct kcp_entry_reading *reading);
static void remember_reach (struct kcp_servers *servers, const struct kcp_server *server);
static void log_change (const struct kcp_server *server, const char *what);
static struct kcp_server *
reuse_or_create_store (const GPtrArray *before, const struct kcp_service_info *service);
static void server_release (gpointer data);

/* Creates an empty table. */
struct kcp_servers *
kcp_servers_new (void)
{
  struct kcp_servers *servers = g_new0 (struct kcp_servers, 1);

  servers->all = g_ptr_array_new_with_free_func (server_release);
  servers->stores = g_ptr_array_new_with_free_func (server_release);
  servers->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  servers->known = kcp_known_entries_new ();
  return servers;
}

/* Frees the table; NULL is allowed. Servers that requests hold a reference to remain
   valid. */
void
kcp_servers_free (struct kcp_servers *servers)
{
  if (servers == NULL)
    return;
  g_ptr_array_unref (servers->all);
  g_ptr_array_unref (servers->stores);
  g_hash_table_unref (servers->by_key);
  kcp_known_entries_free (servers->known);
  g_free (servers);
}

/* Adds a server or updates it from an entry that was read, unless the entry is older than
   what is known of the server. Takes ownership of what entry owns. A server that
   restarted under its old id is replaced by a new one without any state. One whose entry
   returned after its removal, and that no outage explains, is held: it gets no requests
   until the list would have dropped the entry of a server that is gone. Returns false if
   the entry changes nothing. */
bool
kcp_servers_read (struct kcp_servers *servers, struct kcp_server_entry *entry,
                  const struct kcp_entry_reading *reading)
{
  struct kcp_entry_order order = {
    .started_ms = entry->started_ms,
    .sequence = entry->sequence,
    .offset = reading->offset,
    .draining = entry->state == KCP_SERVER_DRAINING,
    .in_copy = reading->in_copy,
  };
  enum kcp_entry_age age = judge (servers, entry->id, &order, reading->listed);
  g_autofree char *id = NULL;
  bool added = false;
  bool changed;

  if (age == KCP_ENTRY_OLDER)
    {
      log_older (servers, entry, reading->offset);
      kcp_server_entry_clear (entry);
      return false;
    }
  id = g_strdup (entry->id);
  kcp_known_entries_put (servers->known, id, &order, reading->now_ms);
  changed = apply_newer (servers, entry, reading, &added);
  if (added && age == KCP_ENTRY_RETURNED && reading->hold_ns > 0)
    hold (kcp_servers_find (servers, id), reading);
  return changed;
}

/* As kcp_servers_read() for an entry that is in no record, by a clock that no start is
   ahead of. */
bool
kcp_servers_apply (struct kcp_servers *servers, struct kcp_server_entry *entry)
{
  return kcp_servers_read (servers, entry,
                           &(struct kcp_entry_reading){ .offset = KCP_ENTRY_NO_OFFSET,
                                                        .now_ms = INT64_MAX,
                                                        .listed = true });
}

static enum kcp_entry_age
judge (const struct kcp_servers *servers, const char *id,
       const struct kcp_entry_order *order, bool listed)
{
  const struct kcp_known_entry *known = kcp_known_entries_find (servers->known, id);

  if (known != NULL)
    return kcp_entry_order_judge (known, order);
  return listed ? KCP_ENTRY_NEWER : kcp_entry_order_judge_unknown (order);
}

static void
log_older (const struct kcp_servers *servers, const struct kcp_server_entry *entry,
           int64_t offset)
{
  const struct kcp_known_entry *known
      = kcp_known_entries_find (servers->known, entry->id);

  kcp_counter_add (KCP_COUNT_ENTRIES_OLDER, 1);
  KCP_LOG ("older_entry", KCP_LOG_TEXT ("server", entry->id),
           KCP_LOG_INT ("offset", offset), KCP_LOG_INT ("started_ms", entry->started_ms),
           KCP_LOG_INT ("sequence", entry->sequence),
           KCP_LOG_INT ("draining", entry->state == KCP_SERVER_DRAINING),
           KCP_LOG_INT ("known_offset", known->order.offset),
           KCP_LOG_INT ("known_started_ms", known->order.started_ms),
           KCP_LOG_INT ("known_sequence", known->order.sequence),
           KCP_LOG_INT ("known_draining", known->order.draining),
           KCP_LOG_INT ("known_removed", known->removed));
}

/* Applies an entry that is not older than the known one, and sets added if its server was
   not in the table. */
static bool
apply_newer (struct kcp_servers *servers, struct kcp_server_entry *entry,
             const struct kcp_entry_reading *reading, bool *added)
{
  struct kcp_server *server = kcp_servers_find (servers, entry->id);
  uint64_t entry_hash = hash_entry (entry);
  bool changed;

  if (server != NULL && has_restarted (server, entry))
    {
      log_change (server, "restarted");
      g_hash_table_remove (servers->by_key, &server->key);
      g_ptr_array_remove_fast (servers->all, server);
      server = NULL;
    }
  if (server == NULL)
    {
      server = kcp_ref_new (sizeof *server);
      server->entry = *entry;
      server->entry_hash = entry_hash;
      server->entry_since_ns = reading->now_ns;
      server->orders_taken = -1;
      add_server (servers, servers->all, server);
      log_change (server, "added");
      *added = true;
      return true;
    }
  changed = server->entry_hash != entry_hash || server->remove_at_ns != 0;
  if (server->entry_hash != entry_hash)
    server->entry_since_ns = reading->now_ns;
  server->entry_hash = entry_hash;
  replace_entry (server, entry, reading);
  return changed;
}

static void
hold (struct kcp_server *server, const struct kcp_entry_reading *reading)
{
  server->held_until_ns = reading->now_ns + reading->hold_ns;
  kcp_counter_add (KCP_COUNT_SERVERS_HELD, 1);
  KCP_LOG ("server_held", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_INT ("sequence", server->entry.sequence),
           KCP_LOG_INT ("offset", reading->offset),
           KCP_LOG_INT ("for_ms", reading->hold_ns / KCP_NS_PER_MS));
}

/* Records that the removal of an entry was read. offset is that of its record, or the
   last one of a listing that lacks the entry. Returns false if the removal is older than
   what is known of the server. */
bool
kcp_servers_read_removal (struct kcp_servers *servers, const char *id, int64_t offset)
{
  const struct kcp_known_entry *known = kcp_known_entries_find (servers->known, id);

  if (known != NULL && !kcp_entry_order_removal_is_newer (known, offset))
    {
      kcp_counter_add (KCP_COUNT_ENTRIES_OLDER, 1);
      KCP_LOG ("older_removal", KCP_LOG_TEXT ("server", id),
               KCP_LOG_INT ("offset", offset),
               KCP_LOG_INT ("known_offset", known->order.offset));
      return false;
    }
  kcp_known_entries_remove (servers->known, id, offset);
  return true;
}

/* Forgets the offsets of all records, which mean other records in the store's new era. */
void
kcp_servers_forget_offsets (struct kcp_servers *servers)
{
  kcp_known_entries_forget_offsets (servers->known);
}

/* Schedules the removal of a server at at_ns; an entry that is applied earlier cancels
   it. Returns false if the server is not known or its removal is already scheduled. */
bool
kcp_servers_remove_at (struct kcp_servers *servers, const char *id, int64_t at_ns)
{
  struct kcp_server *server = kcp_servers_find (servers, id);

  if (server == NULL || server->remove_at_ns != 0)
    return false;
  server->remove_at_ns = at_ns;
  log_change (server, "entry_removed");
  return true;
}

/* Removes the servers whose scheduled removal time has passed. Returns the earliest time
   at which one of the others is to be removed; 0: none is. */
int64_t
kcp_servers_remove_due (struct kcp_servers *servers, int64_t now_ns)
{
  int64_t next_ns = 0;

  for (guint i = servers->all->len; i > 0; i--)
    {
      struct kcp_server *server = g_ptr_array_index (servers->all, i - 1);

      if (server->remove_at_ns == 0)
        continue;
      if (now_ns < server->remove_at_ns)
        {
          next_ns
              = next_ns == 0 ? server->remove_at_ns : MIN (next_ns, server->remove_at_ns);
          continue;
        }
      log_change (server, "gone");
      remember_reach (servers, server);
      g_hash_table_remove (servers->by_key, &server->key);
      g_ptr_array_remove_index_fast (servers->all, i - 1);
    }
  return next_ns;
}

/* Remembers whether a server that is being removed has answered last: one that has not
   may have lost the store too, and its entry then returns. */
static void
remember_reach (struct kcp_servers *servers, const struct kcp_server *server)
{
  struct kcp_known_entry *known
      = kcp_known_entries_find (servers->known, server->entry.id);

  if (known != NULL && known->removed)
    known->unreached = kcp_reach_has_failed (&server->reach) || server->failures > 0;
}

/* Returns the known servers, struct kcp_server, in no particular order. */
const GPtrArray *
kcp_servers_all (const struct kcp_servers *servers)
{
  return servers->all;
}

/* Returns the server with this id, borrowed, or NULL. */
struct kcp_server *
kcp_servers_find (const struct kcp_servers *servers, const char *id)
{
  for (guint i = 0; i < servers->all->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers->all, i);

      if (strcmp (server->entry.id, id) == 0)
        return server;
    }
  return NULL;
}

/* Returns the KV cache stores, struct kcp_server. */
const GPtrArray *
kcp_servers_stores (const struct kcp_servers *servers)
{
  return servers->stores;
}

/* Replaces the KV cache stores by those of the configuration. A store whose address is
   still configured remains the same object and keeps its state. */
void
kcp_servers_set_stores (struct kcp_servers *servers, const struct kcp_routes *routes)
{
  GPtrArray *before = servers->stores;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < before->len; i++)
    g_hash_table_remove (servers->by_key,
                         &((struct kcp_server *)g_ptr_array_index (before, i))->key);
  servers->stores = g_ptr_array_new_with_free_func (server_release);
  g_hash_table_iter_init (&iter, routes->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct kcp_service_info *service = value;

      if (service->cache_store != NULL)
        add_server (servers, servers->stores, reuse_or_create_store (before, service));
    }
  g_ptr_array_unref (before);
  for (guint i = 0; i < servers->stores->len; i++)
    ((struct kcp_server *)g_ptr_array_index (servers->stores, i))->removed = false;
}

/* Returns a reference to the store of this service: the one in before that has the same
   address, or a new one. */
static struct kcp_server *
reuse_or_create_store (const GPtrArray *before, const struct kcp_service_info *service)
{
  struct kcp_server *store;

  for (guint i = 0; i < before->len; i++)
    {
      store = g_ptr_array_index (before, i);
      if (strcmp (store->entry.address, service->cache_store) == 0)
        return kcp_server_ref (store);
    }
  store = kcp_ref_new (sizeof *store);
  kcp_server_entry_init (&store->entry);
  store->entry.id = g_strdup (service->cache_store);
  store->entry.address = g_strdup (service->cache_store);
  store->entry.service = g_strdup (service->name);
  store->entry.data_center
      = g_strdup (service->cache_store_dc != NULL ? service->cache_store_dc : "");
  store->orders_taken = -1;
  return store;
}

/* Returns the server or store with this kcp_server_key(), borrowed, or NULL. */
struct kcp_server *
kcp_servers_find_by_key (const struct kcp_servers *servers, uint64_t key)
{
  return g_hash_table_lookup (servers->by_key, &key);
}

/* Returns a hash of the entry's fields without its id. */
static uint64_t
hash_entry (const struct kcp_server_entry *entry)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_printf (text, "%s %s %s %s %d %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                   entry->service, entry->address, entry->data_center, entry->software,
                   (int)entry->state, entry->slots, entry->started_ms);
  for (guint i = 0; i < entry->weights->len; i++)
    {
      const struct kcp_server_weights *weights
          = &g_array_index (entry->weights, struct kcp_server_weights, i);

      g_string_append_printf (text, " %s %" G_GINT64_FORMAT, weights->model,
                              weights->version);
    }
  return XXH3_64bits (text->str, text->len);
}

/* Adds a server to the list and takes ownership of the reference. */
static void
add_server (struct kcp_servers *servers, GPtrArray *list, struct kcp_server *server)
{
  server->key = kcp_server_make_key (server->entry.id, server->entry.started_ms);
  g_ptr_array_add (list, server);
  g_hash_table_replace (servers->by_key, &server->key, server);
}

static bool
has_restarted (const struct kcp_server *server, const struct kcp_server_entry *entry)
{
  return entry->started_ms != server->entry.started_ms
         || strcmp (entry->address, server->entry.address) != 0
         || strcmp (entry->service, server->entry.service) != 0;
}

/* Replaces the entry of a server. */
static void
replace_entry (struct kcp_server *server, struct kcp_server_entry *entry,
               const struct kcp_entry_reading *reading)
{
  enum kcp_server_state before = server->entry.state;

  kcp_server_take_entry_versions (server, entry, reading->now_ns, reading->delay_ns);
  kcp_server_entry_clear (&server->entry);
  server->entry = *entry;
  server->remove_at_ns = 0;
  if (before != server->entry.state)
    log_change (server,
                server->entry.state == KCP_SERVER_DRAINING ? "leaving" : "ready_again");
}

static void
log_change (const struct kcp_server *server, const char *what)
{
  KCP_LOG ("server", KCP_LOG_TEXT ("change", what),
           KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("service", server->entry.service),
           KCP_LOG_TEXT ("address", server->entry.address),
           KCP_LOG_TEXT ("software", server->entry.software),
           KCP_LOG_TEXT ("server_dc", server->entry.data_center));
}

static void
server_release (gpointer data)
{
  struct kcp_server *server = data;

  server->removed = true;
  kcp_server_unref (server);
}
