/* Checkpoints of a booking stream: the state as of an offset, written as a series of
   records, so that older records can be trimmed. */
#ifndef KCP_BOOKING_CHECKPOINT_H
#define KCP_BOOKING_CHECKPOINT_H

#include <jansson.h>
#include <stdint.h>

struct kcp_checkpoint_writer;
struct kcp_checkpoint_reader;

struct kcp_checkpoint_writer *
kcp_checkpoint_writer_new (const char *id, uint64_t as_of, int64_t time_ms);
void kcp_checkpoint_writer_add (struct kcp_checkpoint_writer *writer, json_t *entry);
json_t *kcp_checkpoint_writer_end (struct kcp_checkpoint_writer *writer);

struct kcp_checkpoint_reader *kcp_checkpoint_reader_new (void);
void kcp_checkpoint_reader_free (struct kcp_checkpoint_reader *reader);
void kcp_checkpoint_reader_clear (struct kcp_checkpoint_reader *reader);
json_t *
kcp_checkpoint_reader_add (struct kcp_checkpoint_reader *reader, const json_t *record);
uint64_t kcp_checkpoint_as_of (const json_t *record);
int64_t kcp_checkpoint_time_ms (const json_t *record);

#endif
