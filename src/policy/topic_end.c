#include "policy/topic_end.h"

static int64_t answer_made_ns (const struct kcp_topic_read *read);

/* Records an answered read. */
void
kcp_topic_end_on_read (struct kcp_topic_end *end, const struct kcp_topic_read *read)
{
  int64_t made_ns = answer_made_ns (read);

  if (read->to_end && made_ns > end->known_ns && read->sent_ns >= end->hold_ns)
    end->known_ns = made_ns;
}

/* Records that the topic lost its newest records, which may be written again until
   until_ns. Until then their absence does not show that they were not written before. */
void
kcp_topic_end_on_new_era (struct kcp_topic_end *end, int64_t until_ns)
{
  end->hold_ns = until_ns;
}

/* Returns the earliest time at which the store can have made the answer. It may have been
   on its way, or in this VM's buffers, for long. */
static int64_t
answer_made_ns (const struct kcp_topic_read *read)
{
  bool held_open = read->empty && read->answered_ns - read->sent_ns >= read->wait_ns;

  return held_open ? read->sent_ns + read->wait_ns : read->sent_ns;
}
