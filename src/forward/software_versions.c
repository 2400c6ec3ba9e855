#include "forward/software_versions.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/decision_log.h"
#include "base/id.h"
#include "forward/mesh.h"
#include "forward/stream_records.h"

#define CHECK_INTERVAL_NS (100 * KCP_NS_PER_MS)
/* A version is in service for this long after a server with it was last listed: longer
   than any caller goes on with a stream. */
#define RETIRE_NS (30 * KCP_NS_PER_S)
/* Delay after a failed call; a random delay of up to the same length is added. */
#define RETRY_MS 500
/* Key of a record: the keys of service and software in hexadecimal, and a dash. */
#define KEY_SIZE   34
#define HEX_DIGITS 16
#define HEX_BASE   16

/* A software version of a service. */
struct row
{
  uint64_t service;
  uint64_t software;
  int64_t listed_ns; /* when a server with it was last listed */
  bool stored;       /* the store has its record */
};

struct reader
{
  kcp_software_versions_read *done;
  void *user;
};

struct kcp_software_versions
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  GArray *rows; /* struct row */
  bool known;   /* the store was read since the start */
  bool writing; /* a call that writes is in progress */
  struct row written;
  bool deleting; /* it deletes the record of the row that it writes */
  int64_t write_after_ns;
  GArray *readers;         /* struct reader, for which the store is being listed */
  GArray *waiting_readers; /* struct reader, that have come since that began */
  char *last_key;          /* listed so far; NULL: the listing begins */
  struct kcp_loop_timer check_timer;
  struct kcp_loop_timer first_timer;
};

static void read_first (void *user);
static void on_first_read (void *user, bool answered);
static void begin_read (struct kcp_software_versions *versions);
static void list (struct kcp_software_versions *versions);
static void on_listed (void *user, const struct kcp_store_answer *answer);
static void read_record (struct kcp_software_versions *versions,
                         const struct kcp_store_record *record);
static void end_read (struct kcp_software_versions *versions, bool answered);
static void check (void *user);
static void write_next (struct kcp_software_versions *versions);
static void
append (struct kcp_software_versions *versions, const struct row *row, bool deleting);
static void on_written (void *user, const struct kcp_store_answer *answer);
static void on_new_era (void *user, int64_t era);
static struct row *ensure_row (struct kcp_software_versions *versions, uint64_t service,
                               uint64_t software, int64_t now_ns);
static bool
needs_origins (const struct kcp_software_versions *versions, uint64_t service);
static struct row *
find_row (struct kcp_software_versions *versions, uint64_t service, uint64_t software);
static bool is_retired (const struct row *row, int64_t now_ns);

/* Starts to keep the versions of the listed servers. gateway and store must outlive the
   result. */
struct kcp_software_versions *
kcp_software_versions_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_software_versions *versions = g_new0 (struct kcp_software_versions, 1);

  versions->gateway = gateway;
  versions->store = store;
  versions->rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  versions->readers = g_array_new (FALSE, FALSE, sizeof (struct reader));
  versions->waiting_readers = g_array_new (FALSE, FALSE, sizeof (struct reader));
  store->watch_era (store->self, on_new_era, versions);
  read_first (versions);
  check (versions);
  return versions;
}

/* Cancels the timers and frees the state; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_software_versions_stop (struct kcp_software_versions *versions)
{
  if (versions == NULL)
    return;
  kcp_loop_timer_cancel (&versions->check_timer);
  kcp_loop_timer_cancel (&versions->first_timer);
  g_array_unref (versions->rows);
  g_array_unref (versions->readers);
  g_array_unref (versions->waiting_readers);
  g_free (versions->last_key);
  g_free (versions);
}

/* Returns the key of a service's or software version's name, which may be NULL. */
uint64_t
kcp_software_key (const char *text)
{
  return text != NULL ? XXH3_64bits (text, strlen (text)) : XXH3_64bits ("", 0);
}

/* Writes a key to text as records and the log have it, and returns text. */
const char *
kcp_software_key_text (uint64_t key, char text[KCP_SOFTWARE_TEXT_SIZE])
{
  (void)snprintf (text, KCP_SOFTWARE_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x", key);
  return text;
}

/* Notes that a server is listed. versions may be NULL. */
void
kcp_software_versions_note (struct kcp_software_versions *versions,
                            const struct kcp_server *server)
{
  int64_t now;

  if (versions == NULL)
    return;
  now = kcp_loop_now (versions->gateway->loop);
  ensure_row (versions, kcp_software_key (server->entry.service),
              kcp_software_key (server->entry.software), now)
      ->listed_ns
      = now;
}

/* Returns the number of versions of a service that are in service, and stores one of them
   in software. */
unsigned
kcp_software_versions_count (const struct kcp_software_versions *versions,
                             uint64_t service, uint64_t *software)
{
  unsigned count = 0;

  for (guint i = 0; i < versions->rows->len; i++)
    {
      const struct row *row = &g_array_index (versions->rows, struct row, i);

      if (row->service != service)
        continue;
      *software = row->software;
      count++;
    }
  return count;
}

/* Returns how many origins a stream of a route may have: the versions in service of all
   its services. Stores one of them in origin. versions may be NULL. */
unsigned
kcp_software_versions_of_route (const struct kcp_software_versions *versions,
                                const struct kcp_route *route,
                                struct kcp_stream_origin *origin)
{
  unsigned count = 0;

  for (guint i = 0; versions != NULL && i < route->targets->len; i++)
    {
      const struct kcp_target *target
          = &g_array_index (route->targets, struct kcp_target, i);
      uint64_t service = kcp_software_key (target->service);
      uint64_t software;
      unsigned of_service = kcp_software_versions_count (versions, service, &software);

      if (of_service > 0)
        *origin = (struct kcp_stream_origin){ .service = service, .software = software };
      count += of_service;
    }
  return count;
}

/* Notes all servers that are listed now. */
void
kcp_software_versions_note_listed (struct kcp_software_versions *versions)
{
  const GPtrArray *servers = kcp_servers_all (versions->gateway->servers);

  for (guint i = 0; i < servers->len; i++)
    kcp_software_versions_note (versions, g_ptr_array_index (servers, i));
}

/* Reads from the store the versions that are in service now or later. */
void
kcp_software_versions_read_store (struct kcp_software_versions *versions,
                                  kcp_software_versions_read *done, void *user)
{
  struct reader reader = { .done = done, .user = user };

  g_array_append_val (versions->waiting_readers, reader);
  if (versions->readers->len == 0)
    begin_read (versions);
}

/* Lists the store for those that wait. */
static void
begin_read (struct kcp_software_versions *versions)
{
  GArray *none = versions->readers;

  versions->readers = versions->waiting_readers;
  versions->waiting_readers = none;
  g_clear_pointer (&versions->last_key, g_free);
  list (versions);
}

/* Reads the store after the start, until that has succeeded. */
static void
read_first (void *user)
{
  struct kcp_software_versions *versions = user;

  if (!versions->known)
    kcp_software_versions_read_store (versions, on_first_read, versions);
}

static void
on_first_read (void *user, bool answered)
{
  struct kcp_software_versions *versions = user;
  struct kcp_loop *loop = versions->gateway->loop;
  int64_t wait_ms = RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS);

  if (!answered)
    kcp_loop_timer_set (loop, &versions->first_timer,
                        kcp_loop_now (loop) + wait_ms * KCP_NS_PER_MS, read_first,
                        versions);
}

static void
list (struct kcp_software_versions *versions)
{
  versions->store->list (versions->store->self, KCP_STORE_SOFTWARE, versions->last_key,
                         on_listed, versions);
}

static void
on_listed (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_software_versions *versions = user;

  if (answer->end != KCP_STORE_DONE)
    {
      KCP_LOG ("software_not_listed", KCP_LOG_TEXT ("reason", answer->reason));
      end_read (versions, false);
      return;
    }
  for (guint i = 0; i < answer->records->len; i++)
    read_record (versions, &g_array_index (answer->records, struct kcp_store_record, i));
  if (answer->more && answer->records->len > 0)
    {
      list (versions);
      return;
    }
  versions->known = true;
  end_read (versions, true);
}

static void
read_record (struct kcp_software_versions *versions,
             const struct kcp_store_record *record)
{
  char *dash;
  uint64_t service;
  struct row *row;

  g_free (versions->last_key);
  versions->last_key = kcp_str_dup (record->key);
  if (record->value.len == 0)
    return;
  service = g_ascii_strtoull (versions->last_key, &dash, HEX_BASE);
  if (record->key.len != KEY_SIZE - 1 || dash != versions->last_key + HEX_DIGITS)
    {
      KCP_LOG ("record_not_used", KCP_LOG_TEXT ("what", "software"),
               KCP_LOG_STR ("key", record->key), KCP_LOG_INT ("offset", record->offset),
               KCP_LOG_TEXT ("why", "not a service and a version"));
      return;
    }
  row = ensure_row (versions, service, g_ascii_strtoull (dash + 1, NULL, HEX_BASE),
                    kcp_loop_now (versions->gateway->loop));
  row->stored = true;
}

static void
end_read (struct kcp_software_versions *versions, bool answered)
{
  g_autoptr (GArray) readers = versions->readers;

  versions->readers = g_array_new (FALSE, FALSE, sizeof (struct reader));
  for (guint i = 0; i < readers->len; i++)
    {
      const struct reader *reader = &g_array_index (readers, struct reader, i);

      reader->done (reader->user, answered);
    }
  if (versions->readers->len == 0 && versions->waiting_readers->len > 0)
    begin_read (versions);
}

/* Notes the servers that are listed now, and has the store brought up to date. */
static void
check (void *user)
{
  struct kcp_software_versions *versions = user;
  struct kcp_gateway *gateway = versions->gateway;
  int64_t now = kcp_loop_now (gateway->loop);

  kcp_software_versions_note_listed (versions);
  for (guint i = versions->rows->len; i > 0; i--)
    {
      const struct row *row = &g_array_index (versions->rows, struct row, i - 1);

      if (is_retired (row, now) && (!row->stored || !kcp_mesh_is_leader (gateway->mesh)))
        g_array_remove_index_fast (versions->rows, i - 1);
    }
  write_next (versions);
  kcp_loop_timer_set (gateway->loop, &versions->check_timer, now + CHECK_INTERVAL_NS,
                      check, versions);
}

/* Writes or deletes the next record, one at a time. The leaders do that for all VMs. */
static void
write_next (struct kcp_software_versions *versions)
{
  int64_t now = kcp_loop_now (versions->gateway->loop);

  if (versions->writing || !versions->known || now < versions->write_after_ns
      || !kcp_mesh_is_leader (versions->gateway->mesh))
    return;
  for (guint i = 0; i < versions->rows->len && !versions->writing; i++)
    {
      const struct row *row = &g_array_index (versions->rows, struct row, i);

      if (is_retired (row, now) == row->stored)
        append (versions, row, row->stored);
    }
}

static void
append (struct kcp_software_versions *versions, const struct row *row, bool deleting)
{
  char key[KEY_SIZE];
  struct kcp_str value = { 0 }; /* deletes the key */

  if (!deleting)
    value = KCP_STR ("{}");
  (void)snprintf (key, sizeof key,
                  "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x", row->service,
                  row->software);
  versions->writing = true;
  versions->written = *row;
  versions->deleting = deleting;
  KCP_LOG ("software_version",
           KCP_LOG_TEXT ("change", deleting ? "retired" : "in_service"),
           KCP_LOG_TEXT ("key", key));
  versions->store->append (versions->store->self, KCP_STORE_SOFTWARE,
                           KCP_STORE_UNCONDITIONAL, kcp_str_from_c (key), value,
                           on_written, versions);
}

static void
on_written (void *user, const struct kcp_store_answer *answer)
{
  struct kcp_software_versions *versions = user;
  struct row *row
      = find_row (versions, versions->written.service, versions->written.software);
  int64_t now = kcp_loop_now (versions->gateway->loop);

  versions->writing = false;
  if (answer->end != KCP_STORE_DONE)
    {
      KCP_LOG ("software_not_written", KCP_LOG_TEXT ("reason", answer->reason));
      versions->write_after_ns
          = now + (RETRY_MS + (int64_t)(kcp_id_random_u64 () % RETRY_MS)) * KCP_NS_PER_MS;
      return;
    }
  if (row != NULL)
    row->stored = !versions->deleting;
  write_next (versions);
}

/* Has the records written again that the store may have lost. */
static void
on_new_era (void *user, int64_t era)
{
  struct kcp_software_versions *versions = user;
  bool several = false;

  (void)era;
  for (guint i = 0; i < versions->rows->len; i++)
    {
      struct row *row = &g_array_index (versions->rows, struct row, i);

      row->stored = false;
      several = several || needs_origins (versions, row->service);
    }
  if (several)
    kcp_stream_records_write_own (versions->gateway->stream_records);
}

/* Returns the row of a version. With a second version of a service, the origin of streams
   has to be known from now on, also of those that are in progress. */
static struct row *
ensure_row (struct kcp_software_versions *versions, uint64_t service, uint64_t software,
            int64_t now_ns)
{
  struct row row = { .service = service, .software = software, .listed_ns = now_ns };
  struct row *known = find_row (versions, service, software);

  if (known != NULL)
    return known;
  g_array_append_val (versions->rows, row);
  if (needs_origins (versions, service))
    kcp_stream_records_write_own (versions->gateway->stream_records);
  return &g_array_index (versions->rows, struct row, versions->rows->len - 1);
}

/* Returns true if streams of the service, or of a split route, may have several
   origins. */
static bool
needs_origins (const struct kcp_software_versions *versions, uint64_t service)
{
  const struct kcp_routes *routes = versions->gateway->routes;
  struct kcp_stream_origin origin;
  uint64_t other;

  if (kcp_software_versions_count (versions, service, &other) > 1)
    return true;
  for (guint i = 0; routes != NULL && i < routes->routes->len; i++)
    {
      const struct kcp_route *route = g_ptr_array_index (routes->routes, i);

      if (route->repeat == KCP_REPEAT_RESUMABLE && route->targets->len > 1
          && kcp_software_versions_of_route (versions, route, &origin) > 1)
        return true;
    }
  return false;
}

static struct row *
find_row (struct kcp_software_versions *versions, uint64_t service, uint64_t software)
{
  for (guint i = 0; i < versions->rows->len; i++)
    {
      struct row *row = &g_array_index (versions->rows, struct row, i);

      if (row->service == service && row->software == software)
        return row;
    }
  return NULL;
}

static bool
is_retired (const struct row *row, int64_t now_ns)
{
  return now_ns - row->listed_ns > RETIRE_NS;
}
