#include "peer/config_pull.h"

#include <string.h>

#include "base/clock.h"

#define BATCH_CHUNKS   32
#define RETRY_NS       (100 * KCP_NS_PER_MS)
#define REQUESTS_MAX   5
#define TEXT_BYTES_MAX (64u << 20)

static bool
accept_size (struct kcp_config_pull *pull, const struct kcp_message_chunk *chunk);
static bool batch_is_present (const struct kcp_config_pull *pull);
static uint32_t chunk_count (uint32_t total);

/* Starts to fetch the changes made after version since from a VM. number identifies the
   pull and must be random. */
void
kcp_config_pull_start (struct kcp_config_pull *pull, const char *from, uint64_t number,
                       uint64_t since)
{
  kcp_config_pull_clear (pull);
  *pull = (struct kcp_config_pull){
    .state = KCP_PULL_ACTIVE,
    .number = number,
    .since = since,
    .text = g_byte_array_new (),
    .present = g_byte_array_new (),
  };
  g_strlcpy (pull->from, from, sizeof pull->from);
}

/* Fills in the next request and returns true if one is due: the first request, one for
   the next batch of chunks, or a retry after chunks were lost. The pull fails after
   REQUESTS_MAX consecutive requests without a chunk in response. */
bool
kcp_config_pull_request (struct kcp_config_pull *pull, int64_t now_ns,
                         struct kcp_message_pull *request)
{
  if (pull->state != KCP_PULL_ACTIVE)
    return false;
  if (pull->requested > 0 && !batch_is_present (pull)
      && now_ns - pull->sent_ns < RETRY_NS)
    return false;
  if (pull->unanswered_requests >= REQUESTS_MAX)
    {
      pull->state = KCP_PULL_FAILED;
      return false;
    }
  while (pull->first < pull->present->len && pull->present->data[pull->first] != 0)
    pull->first++;
  pull->requested = BATCH_CHUNKS;
  pull->unanswered_requests++;
  pull->sent_ns = now_ns;
  *request = (struct kcp_message_pull){
    .number = pull->number,
    .since = pull->since,
    .first = pull->first,
    .count = pull->requested,
  };
  return true;
}

/* Stores a received chunk. A chunk of another pull or of the wrong size is ignored. */
void
kcp_config_pull_accept (struct kcp_config_pull *pull, const char *from,
                        const struct kcp_message_chunk *chunk)
{
  uint32_t offset = chunk->index * KCP_MESSAGE_CHUNK_MAX;

  if (pull->state != KCP_PULL_ACTIVE || chunk->number != pull->number
      || strcmp (from, pull->from) != 0 || !accept_size (pull, chunk)
      || chunk->index >= pull->present->len || pull->present->data[chunk->index] != 0
      || chunk->len != MIN (pull->total - offset, KCP_MESSAGE_CHUNK_MAX))
    return;
  memcpy (pull->text->data + offset, chunk->data, chunk->len);
  pull->present->data[chunk->index] = 1;
  pull->unanswered_requests = 0;
  if (--pull->missing_chunks == 0)
    pull->state = KCP_PULL_DONE;
}

/* Returns the text of a completed pull, valid until the pull is cleared. */
struct kcp_str
kcp_config_pull_text (const struct kcp_config_pull *pull)
{
  return (struct kcp_str){ (const char *)pull->text->data, pull->total };
}

/* Frees the buffers of the pull and resets its state to idle. */
void
kcp_config_pull_clear (struct kcp_config_pull *pull)
{
  g_clear_pointer (&pull->text, g_byte_array_unref);
  g_clear_pointer (&pull->present, g_byte_array_unref);
  pull->state = KCP_PULL_IDLE;
}

/* Takes the size and hash of the text from the first chunk. Returns false if the size is
   invalid or a later chunk belongs to another text. */
static bool
accept_size (struct kcp_config_pull *pull, const struct kcp_message_chunk *chunk)
{
  if (pull->total != 0)
    return chunk->total == pull->total && chunk->snapshot == pull->snapshot;
  if (chunk->total == 0 || chunk->total > TEXT_BYTES_MAX)
    return false;
  pull->total = chunk->total;
  pull->snapshot = chunk->snapshot;
  pull->missing_chunks = chunk_count (chunk->total);
  g_byte_array_set_size (pull->text, pull->total);
  g_byte_array_set_size (pull->present, pull->missing_chunks);
  memset (pull->present->data, 0, pull->present->len);
  return true;
}

/* Returns true if all chunks of the last request were received. */
static bool
batch_is_present (const struct kcp_config_pull *pull)
{
  uint32_t end = MIN (pull->first + pull->requested, pull->present->len);

  for (uint32_t i = pull->first; i < end; i++)
    if (pull->present->data[i] == 0)
      return false;
  return pull->total != 0;
}

static uint32_t
chunk_count (uint32_t total)
{
  return (total + KCP_MESSAGE_CHUNK_MAX - 1) / KCP_MESSAGE_CHUNK_MAX;
}
