#include "request/reply.h"

#include <pthread.h>
#include <string.h>

#include "base/ref.h"

struct kcp_reply
{
  pthread_mutex_t lock;
  size_t limit; /* bytes held before the writer is asked to pause */
  kcp_reply_wait *wait;
  kcp_reply_wake *wake;
  void *reader; /* argument of both */
  kcp_reply_drained *drained;
  void *drained_user;
  unsigned status; /* 0 until the reply has begun */
  char *content_type;
  GPtrArray *headers; /* name and value in turn */
  GString *held;
  size_t taken; /* bytes of held already read */
  bool finished;
  bool reader_waits;
  bool writer_waits;
};

static void clear (gpointer data);
static void stop_reader (struct kcp_reply *reply);
static void wake_reader (struct kcp_reply *reply, bool waits);

/* Makes an empty reply that holds about limit bytes. wait and wake stop and resume the
   reader. */
struct kcp_reply *
kcp_reply_new (size_t limit, kcp_reply_wait *wait, kcp_reply_wake *wake, void *reader)
{
  struct kcp_reply *reply = kcp_ref_new (sizeof (struct kcp_reply));

  pthread_mutex_init (&reply->lock, NULL);
  reply->limit = limit;
  reply->wait = wait;
  reply->wake = wake;
  reply->reader = reader;
  reply->headers = g_ptr_array_new_with_free_func (g_free);
  reply->held = g_string_new (NULL);
  return reply;
}

/* Takes a further reference. */
struct kcp_reply *
kcp_reply_ref (struct kcp_reply *reply)
{
  return kcp_ref_acquire (reply);
}

/* Drops a reference; NULL is allowed. */
void
kcp_reply_unref (struct kcp_reply *reply)
{
  if (reply != NULL)
    kcp_ref_release (reply, clear);
}

/* Names whom to tell when a full reply has been read down to half its limit. */
void
kcp_reply_on_drained (struct kcp_reply *reply, kcp_reply_drained *drained, void *user)
{
  pthread_mutex_lock (&reply->lock);
  reply->drained = drained;
  reply->drained_user = user;
  pthread_mutex_unlock (&reply->lock);
}

/* Sets status and content type; false if the reply had begun before. */
bool
kcp_reply_begin (struct kcp_reply *reply, unsigned status, const char *content_type)
{
  bool first;
  bool waits;

  pthread_mutex_lock (&reply->lock);
  first = reply->status == 0;
  if (first)
    {
      reply->status = status;
      reply->content_type = g_strdup (content_type);
    }
  waits = reply->reader_waits;
  reply->reader_waits = false;
  pthread_mutex_unlock (&reply->lock);
  wake_reader (reply, waits);
  return first;
}

/* Adds a response header; allowed before the reply begins. */
void
kcp_reply_add_header (struct kcp_reply *reply, const char *name, const char *value)
{
  pthread_mutex_lock (&reply->lock);
  g_ptr_array_add (reply->headers, g_strdup (name));
  g_ptr_array_add (reply->headers, g_strdup (value));
  pthread_mutex_unlock (&reply->lock);
}

/* Adds bytes to the body. All are taken; false asks the writer to pause until it is told
   that the reply has drained. */
bool
kcp_reply_write (struct kcp_reply *reply, struct kcp_str data)
{
  bool waits;
  bool room;

  pthread_mutex_lock (&reply->lock);
  g_string_append_len (reply->held, data.data, (gssize)data.len);
  room = reply->held->len - reply->taken < reply->limit;
  reply->writer_waits = !room;
  waits = reply->reader_waits;
  reply->reader_waits = false;
  pthread_mutex_unlock (&reply->lock);
  wake_reader (reply, waits);
  return room;
}

/* Marks the end of the body. */
void
kcp_reply_finish (struct kcp_reply *reply)
{
  bool waits;

  pthread_mutex_lock (&reply->lock);
  reply->finished = true;
  waits = reply->reader_waits;
  reply->reader_waits = false;
  pthread_mutex_unlock (&reply->lock);
  wake_reader (reply, waits);
}

/* Tells whether status and headers are set. */
bool
kcp_reply_has_begun (struct kcp_reply *reply)
{
  return kcp_reply_status (reply) != 0;
}

/* Tells whether all that was written has been read. */
bool
kcp_reply_is_drained (struct kcp_reply *reply)
{
  bool drained;

  pthread_mutex_lock (&reply->lock);
  drained = reply->taken == reply->held->len;
  pthread_mutex_unlock (&reply->lock);
  return drained;
}

/* Tells whether the reply has begun; if not, the reader is stopped until it does. */
bool
kcp_reply_wait_begun (struct kcp_reply *reply)
{
  bool begun;

  pthread_mutex_lock (&reply->lock);
  begun = reply->status != 0;
  if (!begun)
    stop_reader (reply);
  pthread_mutex_unlock (&reply->lock);
  return begun;
}

/* Returns the status, or 0 before the reply has begun. */
unsigned
kcp_reply_status (struct kcp_reply *reply)
{
  unsigned status;

  pthread_mutex_lock (&reply->lock);
  status = reply->status;
  pthread_mutex_unlock (&reply->lock);
  return status;
}

/* Returns the content type of a reply that has begun. */
const char *
kcp_reply_content_type (struct kcp_reply *reply)
{
  return reply->content_type;
}

/* Returns names and values in turn, NULL-terminated, to be freed with g_strfreev(). */
char **
kcp_reply_headers (struct kcp_reply *reply)
{
  GStrvBuilder *builder = g_strv_builder_new ();
  char **headers;

  pthread_mutex_lock (&reply->lock);
  for (guint i = 0; i < reply->headers->len; i++)
    g_strv_builder_add (builder, g_ptr_array_index (reply->headers, i));
  pthread_mutex_unlock (&reply->lock);
  headers = g_strv_builder_end (builder);
  g_strv_builder_unref (builder);
  return headers;
}

/* Reads up to max bytes of the body. Returns 0 if there are none yet, until when the
   reader is stopped, or KCP_REPLY_END. */
ssize_t
kcp_reply_read (struct kcp_reply *reply, char *out, size_t max)
{
  ssize_t result = 0;
  kcp_reply_drained *drained = NULL;
  void *user = NULL;
  size_t left;

  pthread_mutex_lock (&reply->lock);
  left = reply->held->len - reply->taken;
  if (left == 0)
    {
      result = reply->finished ? KCP_REPLY_END : 0;
      if (!reply->finished)
        stop_reader (reply);
    }
  else
    {
      result = (ssize_t)MIN (left, max);
      memcpy (out, reply->held->str + reply->taken, (size_t)result);
      reply->taken += (size_t)result;
    }
  if (reply->taken == reply->held->len)
    {
      g_string_truncate (reply->held, 0);
      reply->taken = 0;
    }
  if (reply->writer_waits && reply->held->len - reply->taken <= reply->limit / 2)
    {
      reply->writer_waits = false;
      drained = reply->drained;
      user = reply->drained_user;
    }
  pthread_mutex_unlock (&reply->lock);
  if (drained != NULL)
    drained (user);
  return result;
}

static void
clear (gpointer data)
{
  struct kcp_reply *reply = data;

  g_free (reply->content_type);
  g_ptr_array_unref (reply->headers);
  g_string_free (reply->held, TRUE);
  pthread_mutex_destroy (&reply->lock);
}

static void
stop_reader (struct kcp_reply *reply)
{
  reply->reader_waits = true;
  reply->wait (reply->reader);
}

static void
wake_reader (struct kcp_reply *reply, bool waits)
{
  if (waits)
    reply->wake (reply->reader);
}
