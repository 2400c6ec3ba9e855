#include "booking/layout.h"

#include "booking/entry.h"

#define STREAM        "booking-layout"
#define STEP          "booking"
#define RETRY_AFTER_S 1

static bool
read_first (struct kcp_platform_log *log, int64_t *partitions, struct kcp_error *error);

/* Appends this VM's number of partitions to the layout stream. Regular appends keep the
   stream from being trimmed until it is empty. Blocks. Returns false and sets error on
   failure. */
bool
kcp_layout_append (struct kcp_platform_log *log, int64_t partitions,
                   struct kcp_error *error)
{
  json_t *record = json_pack ("{sI}", "partitions", (json_int_t)partitions);
  uint64_t offset;
  bool done = kcp_platform_log_append (log, STREAM, record, &offset, error);

  json_decref (record);
  return done;
}

/* Returns true if the first number of partitions that the log holds is equal to this
   VM's. Otherwise sets error; for a different number, its execution is
   KCP_EXECUTION_NOT_RUN. Blocks. */
bool
kcp_layout_check (struct kcp_platform_log *log, int64_t partitions,
                  struct kcp_error *error)
{
  int64_t first = 0;

  if (!read_first (log, &first, error))
    return false;
  if (first == partitions)
    return true;
  kcp_error_set (error, KCP_ERR_INTERNAL, STEP, NULL,
                 "booking.partitions is %d here and %d in the log", (int)partitions,
                 (int)first);
  error->retry_after_s = RETRY_AFTER_S;
  return false;
}

static bool
read_first (struct kcp_platform_log *log, int64_t *partitions, struct kcp_error *error)
{
  struct kcp_log_batch batch;
  const json_t *item;
  bool done = kcp_platform_log_read (log, STREAM, 0, 0, &batch, error);

  if (!done && error->code == KCP_ERR_TRIMMED)
    done = kcp_platform_log_read (log, STREAM, batch.first, 0, &batch, error);
  if (!done)
    return false;
  item = json_array_get (batch.records, 0);
  *partitions = kcp_entry_int (json_object_get (item, "record"), "partitions");
  kcp_log_batch_clear (&batch);
  return true;
}
