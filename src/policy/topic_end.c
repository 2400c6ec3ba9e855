#include "policy/topic_end.h"

static bool
is_prompt (const struct kcp_topic_end *end, const struct kcp_topic_read *read);
static int64_t
answer_made_ns (const struct kcp_topic_end *end, const struct kcp_topic_read *read);

/* Returns the time before which the records of an answered read were not written. Must be
   called before kcp_topic_end_on_read(). */
int64_t
kcp_topic_end_not_before_ns (const struct kcp_topic_end *end,
                             const struct kcp_topic_read *read)
{
  return is_prompt (end, read) ? read->answered_ns : end->known_ns;
}

/* Records an answered read. */
void
kcp_topic_end_on_read (struct kcp_topic_end *end, const struct kcp_topic_read *read)
{
  int64_t made_ns = answer_made_ns (end, read);

  end->followed = read->to_end;
  if (read->to_end && made_ns > end->known_ns && read->sent_ns >= end->hold_ns)
    end->known_ns = made_ns;
}

/* Records that a read was not answered. */
void
kcp_topic_end_on_failed (struct kcp_topic_end *end)
{
  end->followed = false;
}

/* Records that the topic lost its newest records, which may be written again until
   until_ns. Until then their absence does not show that they were not written before. */
void
kcp_topic_end_on_new_era (struct kcp_topic_end *end, int64_t until_ns)
{
  end->hold_ns = until_ns;
  end->followed = false;
}

/* Returns true if an answer with records was made just now: the reads follow each other
   without a gap, and neither the store nor this VM was late. */
static bool
is_prompt (const struct kcp_topic_end *end, const struct kcp_topic_read *read)
{
  return end->followed && !read->stalled
         && read->answered_ns - end->known_ns <= read->wait_ns;
}

/* Returns the earliest time at which the store can have made the answer, which may have
   been on its way, or in this VM's buffers, for long. */
static int64_t
answer_made_ns (const struct kcp_topic_end *end, const struct kcp_topic_read *read)
{
  if (read->empty && read->answered_ns - read->sent_ns >= read->wait_ns)
    return read->sent_ns + read->wait_ns;
  return !read->empty && is_prompt (end, read) ? read->answered_ns : read->sent_ns;
}
