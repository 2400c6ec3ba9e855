#include "peer/config_source.h"

#include <string.h>
#include <xxhash.h>

#include "base/clock.h"

#define TEXTS_MAX        16
#define TEXT_IDLE_MAX_NS (5 * KCP_NS_PER_S)
#define BATCH_CHUNKS_MAX 32

/* A text that is being sent to one VM. */
struct text
{
  uint64_t pull_number;
  int64_t used_ns; /* when it was last requested, monotonic */
  char *bytes;     /* NULL if the slot is free */
  uint32_t len;
  uint64_t hash;
};

struct kcp_config_source
{
  kcp_config_text *text;
  void *user;
  struct text texts[TEXTS_MAX];
};

static struct text *find_text (struct kcp_config_source *source, int64_t now_ns,
                               const struct kcp_message_pull *request);

/* Creates a source that serves the texts that the callback text returns. */
struct kcp_config_source *
kcp_config_source_new (kcp_config_text *text, void *user)
{
  struct kcp_config_source *source = g_new0 (struct kcp_config_source, 1);

  source->text = text;
  source->user = user;
  return source;
}

/* Frees the source; NULL is allowed. */
void
kcp_config_source_free (struct kcp_config_source *source)
{
  if (source == NULL)
    return;
  for (int i = 0; i < TEXTS_MAX; i++)
    g_free (source->texts[i].bytes);
  g_free (source);
}

/* Fills in chunk number of the requested range, counted from 0. Returns false past the
   end of the range or text, or if all TEXTS_MAX slots are in use by other pulls. */
bool
kcp_config_source_chunk (struct kcp_config_source *source, int64_t now_ns,
                         const struct kcp_message_pull *request, uint32_t number,
                         struct kcp_message_chunk *chunk)
{
  const struct text *text = find_text (source, now_ns, request);
  uint64_t offset = ((uint64_t)request->first + number) * KCP_MESSAGE_CHUNK_MAX;

  if (text == NULL || number >= MIN (request->count, BATCH_CHUNKS_MAX)
      || offset >= text->len)
    return false;
  *chunk = (struct kcp_message_chunk){
    .number = request->number,
    .snapshot = text->hash,
    .total = text->len,
    .index = request->first + number,
    .len = (uint32_t)MIN (text->len - offset, KCP_MESSAGE_CHUNK_MAX),
  };
  memcpy (chunk->data, text->bytes + offset, chunk->len);
  return true;
}

/* Returns the text of a pull, which is created for a new pull, or NULL if all slots are
   in use. Texts that were not requested for TEXT_IDLE_MAX_NS are freed. */
static struct text *
find_text (struct kcp_config_source *source, int64_t now_ns,
           const struct kcp_message_pull *request)
{
  struct text *found = NULL;
  struct text *unused = NULL;

  for (int i = 0; i < TEXTS_MAX; i++)
    {
      struct text *text = &source->texts[i];

      if (text->bytes != NULL && now_ns - text->used_ns > TEXT_IDLE_MAX_NS)
        g_clear_pointer (&text->bytes, g_free);
      if (text->bytes == NULL)
        unused = text;
      else if (text->pull_number == request->number)
        found = text;
    }
  if (found == NULL && unused != NULL)
    {
      found = unused;
      found->pull_number = request->number;
      found->bytes = source->text (source->user, request->since);
      found->len = (uint32_t)strlen (found->bytes);
      found->hash = XXH64 (found->bytes, found->len, 0);
    }
  if (found != NULL)
    found->used_ns = now_ns;
  return found;
}
