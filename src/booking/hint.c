#include "booking/hint.h"

#include <glib.h>

#include "booking/entry.h"

#define NAME_FORMAT "%s-checkpoints"

static bool read_batch (struct kcp_platform_log *log, const char *name, uint64_t from,
                        struct kcp_log_batch *batch);

/* Records the offset of a checkpoint that is complete in the log. On failure, readers use
   an earlier checkpoint. Blocks. */
void
kcp_hint_write (struct kcp_platform_log *log, const char *stream, uint64_t as_of)
{
  g_autofree char *name = g_strdup_printf (NAME_FORMAT, stream);
  json_t *record = json_pack ("{sI}", "as_of", (json_int_t)as_of);
  uint64_t offset;

  (void)kcp_platform_log_append (log, name, record, &offset, NULL);
  json_decref (record);
}

/* Returns the offset of the last checkpoint recorded, or 0. Blocks. */
uint64_t
kcp_hint_read (struct kcp_platform_log *log, const char *stream)
{
  g_autofree char *name = g_strdup_printf (NAME_FORMAT, stream);
  struct kcp_log_batch batch;
  uint64_t as_of = 0;
  uint64_t from = 0;
  size_t count = 1;

  while (count > 0 && read_batch (log, name, from, &batch))
    {
      const json_t *item;

      count = json_array_size (batch.records);
      item = json_array_get (batch.records, count - 1);
      if (count > 0)
        {
          as_of = (uint64_t)kcp_entry_int (json_object_get (item, "record"), "as_of");
          from = (uint64_t)kcp_entry_int (item, "offset") + 1;
        }
      kcp_log_batch_clear (&batch);
    }
  return as_of;
}

/* Reads from an offset, or from the first offset kept if the given one was trimmed. */
static bool
read_batch (struct kcp_platform_log *log, const char *name, uint64_t from,
            struct kcp_log_batch *batch)
{
  struct kcp_error error;

  if (kcp_platform_log_read (log, name, from, 0, batch, &error))
    return true;
  return error.code == KCP_ERR_TRIMMED && batch->first > from
         && kcp_platform_log_read (log, name, batch->first, 0, batch, &error);
}
