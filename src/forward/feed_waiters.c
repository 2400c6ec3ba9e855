/* Those that wait until this VM has read the servers' list to its end. */
#include "forward/feed_private.h"

static GArray *new_waiters (void);

/* Creates the lists of waiters, which are empty. */
void
kcp_feed_init_waiters (struct kcp_feed *feed)
{
  feed->reading = new_waiters ();
  feed->waiting = new_waiters ();
}

/* Frees the lists; nobody is called any more. */
void
kcp_feed_clear_waiters (struct kcp_feed *feed)
{
  g_array_unref (feed->reading);
  g_array_unref (feed->waiting);
}

static GArray *
new_waiters (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct kcp_feed_waiter));
}

/* Has the servers' list read now, so that this VM knows all servers that any other VM
   knew when this function was called. done is called with the result. */
void
kcp_feed_read_servers (struct kcp_feed *feed, kcp_feed_servers_read *done, void *user)
{
  struct kcp_feed_waiter waiter = { .done = done, .user = user };

  g_array_append_val (feed->waiting, waiter);
  if (feed->servers.request_pending)
    return; /* its answer may be older; after it the next call is sent at once */
  kcp_loop_timer_cancel (&feed->servers.timer);
  kcp_feed_request (&feed->servers);
}

/* Notes that a call is about to be sent: its answer is new enough for all waiters. */
void
kcp_feed_begin_read (struct kcp_feed *feed)
{
  g_array_append_vals (feed->reading, feed->waiting->data, feed->waiting->len);
  g_array_set_size (feed->waiting, 0);
}

/* Returns true if the next call must not wait. */
bool
kcp_feed_has_waiters (const struct kcp_feed *feed)
{
  return feed->reading->len > 0 || feed->waiting->len > 0;
}

/* Calls those for which the list has been read; if the store did not answer, all: nobody
   waits for the next try. */
void
kcp_feed_end_read (struct kcp_feed *feed, bool answered)
{
  g_autoptr (GArray) done = feed->reading;

  feed->reading = new_waiters ();
  if (!answered)
    {
      g_array_append_vals (done, feed->waiting->data, feed->waiting->len);
      g_array_set_size (feed->waiting, 0);
    }
  for (guint i = 0; i < done->len; i++)
    {
      const struct kcp_feed_waiter *waiter
          = &g_array_index (done, struct kcp_feed_waiter, i);

      waiter->done (waiter->user, answered);
    }
}
