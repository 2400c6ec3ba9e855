#include "forward/server.h"

#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/decision_log.h"
#include "base/ref.h"
#include "policy/backoff.h"

/* Servers prefill about 48 prompt tokens per millisecond. */
#define PREFILL_NS_PER_TOKEN 21000
/* Within this time, a part that was sent to a server appears in its cache events. */
#define SENT_PART_VISIBLE_NS (1200 * KCP_NS_PER_MS)
#define SUSPECT_BASE_NS      (500 * KCP_NS_PER_MS)
#define SUSPECT_DOUBLINGS    3u
#define REFUSAL_SUSPECT_NS   (250 * KCP_NS_PER_MS)
#define VERSION_UNKNOWN      0

static int64_t prefill_ns (const struct kcp_server *server);
static struct kcp_server_weights *
find_weights (const struct kcp_server_entry *entry, const char *model);
static void on_risen (struct kcp_server *server, const struct kcp_server_weights *weights,
                      const char *source, int64_t now_ns);
static void server_clear (void *object);
static void weights_clear (gpointer data);

/* Initializes an empty entry. */
void
kcp_server_entry_init (struct kcp_server_entry *entry)
{
  memset (entry, 0, sizeof *entry);
  entry->sequence = KCP_ENTRY_UNNUMBERED;
  entry->weights = g_array_new (FALSE, TRUE, sizeof (struct kcp_server_weights));
  g_array_set_clear_func (entry->weights, weights_clear);
}

/* Frees what the entry owns, but not the entry itself. */
void
kcp_server_entry_clear (struct kcp_server_entry *entry)
{
  g_free (entry->id);
  g_free (entry->service);
  g_free (entry->address);
  g_free (entry->data_center);
  g_free (entry->software);
  g_array_unref (entry->weights);
}

/* Adds a model that the server has loaded and the version of its weights. */
void
kcp_server_entry_add_weights (struct kcp_server_entry *entry, const char *model,
                              int64_t version)
{
  struct kcp_server_weights weights = {
    .model = g_strdup (model),
    .version = version,
    .belief = { .version = version },
  };

  g_array_append_val (entry->weights, weights);
}

/* Acquires a reference and returns the server. */
struct kcp_server *
kcp_server_ref (struct kcp_server *server)
{
  return kcp_ref_acquire (server);
}

/* Releases a reference; NULL is allowed. */
void
kcp_server_unref (struct kcp_server *server)
{
  if (server != NULL)
    kcp_ref_release (server, server_clear);
}

/* Returns a hash of a server's id and start time. The hash of the id is the seed for the
   start time: a short text and a seed that differ in the same bits have equal hashes. */
uint64_t
kcp_server_make_key (const char *id, int64_t started_ms)
{
  return XXH3_64bits_withSeed (&started_ms, sizeof started_ms,
                               XXH3_64bits (id, strlen (id)));
}

/* Returns the hash that identifies the server in messages between VMs. */
uint64_t
kcp_server_key (const struct kcp_server *server)
{
  return server->key;
}

/* Returns the version of the first model in the server's entry, or 0 if it has none. */
int64_t
kcp_server_first_version (const struct kcp_server *server)
{
  if (server->entry.weights->len == 0)
    return VERSION_UNKNOWN;
  return g_array_index (server->entry.weights, struct kcp_server_weights, 0)
      .belief.version;
}

/* Updates the version of the first model in the server's entry, as reported by another
   VM. Does nothing if the entry has no model. */
void
kcp_server_update_first_version (struct kcp_server *server, int64_t version,
                                 int64_t now_ns)
{
  if (server->entry.weights->len > 0)
    kcp_server_update_version (
        server, g_array_index (server->entry.weights, struct kcp_server_weights, 0).model,
        version, now_ns);
}

/* Replaces the set of prompt parts that the server has cached. parts holds uint64_t keys
   and is copied. */
void
kcp_server_set_cached_parts (struct kcp_server *server, const GArray *parts,
                             int64_t now_ns)
{
  if (server->cached_parts == NULL)
    server->cached_parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_set_size (server->cached_parts, 0);
  g_array_append_vals (server->cached_parts, parts->data, parts->len);
  server->cached_parts_ns = now_ns;
}

/* Records that another VM sends a prompt with this part to the server, which still has to
   prefill prefill_tokens_pending of its tokens. It starts on them after the prompts that
   other VMs sent there earlier. */
void
kcp_server_record_peer_prompt (struct kcp_server *server, uint64_t part,
                               int64_t prefill_tokens_pending, int64_t now_ns)
{
  struct kcp_sent_part sent = { .part = part, .sent_ns = now_ns };
  guint expired = 0;

  server->peers_prefill_until_ns = MAX (server->peers_prefill_until_ns, now_ns)
                                   + prefill_tokens_pending * prefill_ns (server);
  if (server->peers_sent_parts == NULL)
    server->peers_sent_parts = g_array_new (FALSE, FALSE, sizeof (struct kcp_sent_part));
  while (
      expired < server->peers_sent_parts->len
      && g_array_index (server->peers_sent_parts, struct kcp_sent_part, expired).sent_ns
             < now_ns - SENT_PART_VISIBLE_NS)
    expired++;
  g_array_remove_range (server->peers_sent_parts, 0, expired);
  g_array_append_val (server->peers_sent_parts, sent);
}

/* Returns true if another VM has sent the server a prompt with this part so recently that
   the server's cache events may not show it yet. */
bool
kcp_server_was_sent_part (const struct kcp_server *server, uint64_t part, int64_t now_ns)
{
  for (guint i = 0; server->peers_sent_parts != NULL && i < server->peers_sent_parts->len;
       i++)
    {
      const struct kcp_sent_part *sent
          = &g_array_index (server->peers_sent_parts, struct kcp_sent_part, i);

      if (sent->part == part && now_ns - sent->sent_ns <= SENT_PART_VISIBLE_NS)
        return true;
    }
  return false;
}

/* Returns the number of tokens of other VMs' prompts that the server still has to
   prefill: the greater of what those VMs reported and what is left of the prompts that
   they announced. */
int64_t
kcp_server_peers_prefill_tokens (const struct kcp_server *server, int64_t now_ns)
{
  int64_t announced
      = MAX (server->peers_prefill_until_ns - now_ns, 0) / prefill_ns (server);

  return MAX (server->peers_prefill_tokens_pending, announced);
}

/* Returns the time that the server takes for the prefill of a token. */
static int64_t
prefill_ns (const struct kcp_server *server)
{
  if (server->slowness == 0)
    return PREFILL_NS_PER_TOKEN;
  return PREFILL_NS_PER_TOKEN * server->slowness / KCP_SLOWNESS_USUAL;
}

/* Returns true if the part is in the server's known set of cached parts. */
bool
kcp_server_has_cached_part (const struct kcp_server *server, uint64_t part)
{
  for (guint i = 0; server->cached_parts != NULL && i < server->cached_parts->len; i++)
    if (g_array_index (server->cached_parts, uint64_t, i) == part)
      return true;
  return false;
}

/* Returns the version of the model's weights that the server is believed to have, or 0 if
   it does not serve the model. */
int64_t
kcp_server_version (const struct kcp_server *server, const char *model)
{
  const struct kcp_server_weights *weights = find_weights (&server->entry, model);

  return weights != NULL ? weights->belief.version : VERSION_UNKNOWN;
}

static struct kcp_server_weights *
find_weights (const struct kcp_server_entry *entry, const char *model)
{
  for (guint i = 0; i < entry->weights->len; i++)
    {
      struct kcp_server_weights *weights
          = &g_array_index (entry->weights, struct kcp_server_weights, i);

      if (strcmp (weights->model, model) == 0)
        return weights;
    }
  return NULL;
}

/* Raises the version of the model's weights to one that another VM tells. */
void
kcp_server_update_version (struct kcp_server *server, const char *model, int64_t version,
                           int64_t now_ns)
{
  struct kcp_server_weights *weights = find_weights (&server->entry, model);

  if (weights == NULL
      || !kcp_weights_belief_accepts_told (&weights->belief, version, now_ns))
    return;
  weights->belief.version = version;
  weights->belief.seen_ns = now_ns;
  on_risen (server, weights, "another VM", now_ns);
}

/* Applies what the server itself has shown, in an answer or a report. A version that is
   not positive says nothing. */
void
kcp_server_show_version (struct kcp_server *server, const char *model,
                         const struct kcp_weights_evidence *evidence)
{
  struct kcp_server_weights *weights = find_weights (&server->entry, model);
  int64_t before;

  if (weights == NULL || evidence->version <= 0)
    return;
  before = weights->belief.version;
  switch (kcp_weights_belief_apply (&weights->belief, evidence))
    {
    case KCP_WEIGHTS_SAME:
      break;
    case KCP_WEIGHTS_ROSE:
      on_risen (server, weights, "server", evidence->until_ns);
      break;
    case KCP_WEIGHTS_FELL:
      server->version_doubted = false;
      kcp_counter_add (KCP_COUNT_VERSIONS_FELL, 1);
      KCP_LOG ("server_weights_fell", KCP_LOG_TEXT ("server", server->entry.id),
               KCP_LOG_TEXT ("model", model), KCP_LOG_INT ("version", evidence->version),
               KCP_LOG_INT ("before", before), KCP_LOG_INT ("listed", weights->version));
      break;
    }
}

static void
on_risen (struct kcp_server *server, const struct kcp_server_weights *weights,
          const char *source, int64_t now_ns)
{
  server->loading_until_ns = 0;
  server->own_loading_until_ns = 0;
  server->version_changed_ns = now_ns;
  server->version_doubted = false;
  KCP_LOG ("server_weights", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("model", weights->model),
           KCP_LOG_INT ("version", weights->belief.version),
           KCP_LOG_INT ("listed", weights->version), KCP_LOG_TEXT ("source", source));
}

/* Takes over what is believed of the versions in an entry that replaces the server's. A
   higher version is believed, unless the entry may have been written before the server
   lost it, up to delay_ns ago. A lower one is not: the entry may have been written before
   the higher version was loaded. If it stays, the server is asked; see
   forward/version_check.h. */
void
kcp_server_take_entry_versions (struct kcp_server *server,
                                const struct kcp_server_entry *entry, int64_t now_ns,
                                int64_t delay_ns)
{
  for (guint i = 0; i < entry->weights->len; i++)
    {
      struct kcp_server_weights *weights
          = &g_array_index (entry->weights, struct kcp_server_weights, i);
      const struct kcp_server_weights *known
          = find_weights (&server->entry, weights->model);

      if (known == NULL)
        continue;
      weights->belief = known->belief;
      if (weights->version <= weights->belief.version)
        continue;
      if (kcp_weights_belief_apply (&weights->belief,
                                    &(struct kcp_weights_evidence){
                                        .version = weights->version,
                                        .from_ns = now_ns - delay_ns,
                                        .until_ns = now_ns,
                                    })
          == KCP_WEIGHTS_SAME)
        continue;
      server->loading_until_ns = 0;
      server->version_doubted = false;
      KCP_LOG ("server_weights", KCP_LOG_TEXT ("server", entry->id),
               KCP_LOG_TEXT ("model", weights->model),
               KCP_LOG_INT ("version", weights->version),
               KCP_LOG_INT ("listed", weights->version),
               KCP_LOG_TEXT ("source", "entry"));
    }
}

/* Records that an order to load a version ended, and the server does not show it. The
   server may still carry it out. */
void
kcp_server_record_failed_order (struct kcp_server *server, int64_t version)
{
  server->failed_orders = kcp_server_failed_orders (server, version) + 1;
  server->failed_orders_version = version;
}

/* Returns how many of this VM's orders to load that version have failed. */
unsigned
kcp_server_failed_orders (const struct kcp_server *server, int64_t version)
{
  return server->failed_orders_version == version ? server->failed_orders : 0;
}

/* Records a failed connection or a missing answer. The server is suspected for a time
   that doubles with each consecutive failure, up to SUSPECT_DOUBLINGS times. */
void
kcp_server_record_failure (struct kcp_server *server, int64_t now_ns)
{
  unsigned doublings = MIN (server->failures, SUSPECT_DOUBLINGS);

  server->failures++;
  server->suspected_until_ns = now_ns + (SUSPECT_BASE_NS << doublings);
}

/* Records that the server refused a request before running it, and suspects it for a
   fixed time. */
void
kcp_server_record_refusal (struct kcp_server *server, int64_t now_ns)
{
  server->suspected_until_ns
      = MAX (server->suspected_until_ns, now_ns + REFUSAL_SUSPECT_NS);
}

/* Records that the server wants no requests for retry_after_ms; 0: it did not say so. */
void
kcp_server_record_retry_after (struct kcp_server *server, int64_t retry_after_ms,
                               int64_t now_ns)
{
  int64_t until_ns
      = kcp_backoff_until_ns (server->backoff_until_ns, retry_after_ms, now_ns);

  if (until_ns == server->backoff_until_ns)
    return;
  server->backoff_until_ns = until_ns;
  kcp_counter_add (KCP_COUNT_SERVER_BACKOFFS, 1);
  KCP_LOG ("server_backoff", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_INT ("retry_after_ms", retry_after_ms),
           KCP_LOG_INT ("for_ms", (until_ns - now_ns) / KCP_NS_PER_MS));
}

/* Records that the server has said in an answer at since_ns that it is leaving. This
   holds until it has ended, whatever its entry says: the list may lag. source is "answer"
   or "another VM". */
void
kcp_server_record_leaving (struct kcp_server *server, int64_t since_ns,
                           const char *source)
{
  if (server->leaving_since_ns != 0)
    return;
  server->leaving_since_ns = since_ns;
  KCP_LOG ("server", KCP_LOG_TEXT ("server", server->entry.id),
           KCP_LOG_TEXT ("change", "leaving"), KCP_LOG_TEXT ("source", source));
}

/* Returns true if the server is leaving, by its entry or by an answer. */
bool
kcp_server_is_leaving (const struct kcp_server *server)
{
  return server->entry.state == KCP_SERVER_DRAINING || server->leaving_since_ns != 0;
}

/* Records a valid answer, which ends any suspicion. */
void
kcp_server_record_answer (struct kcp_server *server)
{
  server->failures = 0;
  server->suspected_until_ns = 0;
}

static void
server_clear (void *object)
{
  struct kcp_server *server = object;

  kcp_server_entry_clear (&server->entry);
  if (server->cached_parts != NULL)
    g_array_unref (server->cached_parts);
  if (server->peers_sent_parts != NULL)
    g_array_unref (server->peers_sent_parts);
}

static void
weights_clear (gpointer data)
{
  struct kcp_server_weights *weights = data;

  g_free (weights->model);
}
