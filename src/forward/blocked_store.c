#include "forward/blocked_store.h"

#include <string.h>

#include "base/decision_log.h"
#include "forward/crash_suspects.h"
#include "forward/kept_records.h"
#include "policy/fingerprint.h"

#define RECORDS_MAX 4096u
#define HEX_BASE    16
#define PART_PREFIX "part-" /* before the fingerprint in the key of a part's record */

struct kcp_blocked_store
{
  struct kcp_gateway *gateway;
  struct kcp_kept_records *records;
};

static int64_t
read_record (void *user, struct kcp_str key, struct kcp_str value, const char **reason);
static char *make_key (struct kcp_suspect suspect);
static struct kcp_suspect read_key (const char *key);

/* Starts to read the blocked requests. gateway and store must outlive the result. */
struct kcp_blocked_store *
kcp_blocked_store_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_blocked_store *blocked = g_new0 (struct kcp_blocked_store, 1);

  blocked->gateway = gateway;
  blocked->records = kcp_kept_records_start (&(struct kcp_kept_records_spec){
      .gateway = gateway,
      .store = store,
      .topic = KCP_STORE_BLOCKED,
      .what = "blocked",
      .rows_max = RECORDS_MAX,
      .read = read_record,
      .user = blocked,
  });
  return blocked;
}

/* Cancels the timers and frees the state; NULL is allowed. The store's client must have
   ended its calls before. */
void
kcp_blocked_store_stop (struct kcp_blocked_store *blocked)
{
  if (blocked == NULL)
    return;
  kcp_kept_records_stop (blocked->records);
  g_free (blocked);
}

/* Writes a request or part that has just been blocked to the store, and repeats that
   until it has succeeded. Does nothing if blocked is NULL or it is known to be stored. */
void
kcp_blocked_store_add (struct kcp_blocked_store *blocked, struct kcp_suspect suspect,
                       int64_t remaining_ms)
{
  g_autofree char *key = make_key (suspect);
  g_autofree char *value = NULL;
  int64_t until_ms;

  if (blocked == NULL || kcp_kept_records_has (blocked->records, key))
    return;
  until_ms = kcp_clock_realtime_ms (blocked->gateway->clock) + remaining_ms;
  value = g_strdup_printf ("%" G_GINT64_FORMAT, until_ms);
  kcp_kept_records_put (blocked->records, key, value, until_ms);
}

/* Blocks the request or part of a record. The key of a record is the fingerprint as the
   log shows it, after PART_PREFIX if it is a part's, the value the Unix time in
   milliseconds at which the block ends. */
static int64_t
read_record (void *user, struct kcp_str key, struct kcp_str value, const char **reason)
{
  const struct kcp_blocked_store *blocked = user;
  g_autofree char *text = kcp_str_dup (key);
  int64_t until_ms;
  int64_t remaining_ms;

  *reason = "not a time";
  if (!kcp_str_to_int64 (value, &until_ms))
    return KCP_KEPT_RECORD_INVALID;
  remaining_ms = until_ms - kcp_clock_realtime_ms (blocked->gateway->clock);
  if (remaining_ms > 0)
    kcp_crash_suspects_restore (blocked->gateway, read_key (text), remaining_ms);
  return until_ms;
}

static char *
make_key (struct kcp_suspect suspect)
{
  char text[KCP_FINGERPRINT_TEXT_SIZE];

  return g_strconcat (suspect.kind == KCP_SUSPECT_PART ? PART_PREFIX : "",
                      kcp_fingerprint_text (suspect.fingerprint, text), NULL);
}

static struct kcp_suspect
read_key (const char *key)
{
  struct kcp_suspect suspect = { .kind = KCP_SUSPECT_REQUEST };

  if (g_str_has_prefix (key, PART_PREFIX))
    {
      suspect.kind = KCP_SUSPECT_PART;
      key += strlen (PART_PREFIX);
    }
  suspect.fingerprint = g_ascii_strtoull (key, NULL, HEX_BASE);
  return suspect;
}
