/* Tracks since when a topic of the platform's store may hold a record that is read now: a
   VM that did not run, or had no path to the store, learns of records late. The result
   depends on the arguments alone.

   Load pattern: operators write a record while a VM is frozen, cut off or turned away by
   the store. When it reads the record seconds later, the others have been bound by it for
   as long. In quiet times records are read as soon as they are written. */
#ifndef KCP_POLICY_TOPIC_END_H
#define KCP_POLICY_TOPIC_END_H

#include <stdbool.h>
#include <stdint.h>

/* Times in nanoseconds; 0: never. */
struct kcp_topic_end
{
  int64_t known_ns; /* the topic held no further records at this time */
  int64_t hold_ns;  /* reads sent before this time do not show this */
  bool followed;    /* the last read was answered, up to the end of the topic */
};

/* A read that was answered. The store answers as soon as there is a record, and without
   one after a wait. */
struct kcp_topic_read
{
  int64_t sent_ns;
  int64_t answered_ns;
  int64_t wait_ns;
  bool empty;   /* it was answered without records */
  bool to_end;  /* all records up to the end of the topic are known after it */
  bool stalled; /* this VM was frozen or slow at some time since known_ns */
};

int64_t kcp_topic_end_not_before_ns (const struct kcp_topic_end *end,
                                     const struct kcp_topic_read *read);
void kcp_topic_end_on_read (struct kcp_topic_end *end, const struct kcp_topic_read *read);
void kcp_topic_end_on_failed (struct kcp_topic_end *end);
void kcp_topic_end_on_new_era (struct kcp_topic_end *end, int64_t until_ns);

#endif
