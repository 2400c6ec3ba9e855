/* Tracks when a topic of the platform's store was last known to hold no further records.
   A record that is read later was written after that time: a VM that did not run, or had
   no path to the store, cannot tell more about its age. The result depends on the
   arguments alone.

   Load pattern: operators write a record while a VM is frozen, cut off or turned away by
   the store. When it reads the record seconds later, other processes may have been bound
   by it for as long. */
#ifndef KCP_POLICY_TOPIC_END_H
#define KCP_POLICY_TOPIC_END_H

#include <stdbool.h>
#include <stdint.h>

/* Times in nanoseconds; 0: never. */
struct kcp_topic_end
{
  int64_t known_ns; /* the topic held no further records at this time */
  int64_t hold_ns;  /* reads before this time show nothing */
};

/* A read that was answered. */
struct kcp_topic_read
{
  int64_t sent_ns;
  int64_t answered_ns;
  int64_t wait_ns; /* how long the store holds a read open while there is no record */
  bool empty;      /* it was answered without records */
  bool to_end;     /* all records up to the end of the topic are known after it */
};

void kcp_topic_end_on_read (struct kcp_topic_end *end, const struct kcp_topic_read *read);
void kcp_topic_end_on_new_era (struct kcp_topic_end *end, int64_t until_ns);

#endif
