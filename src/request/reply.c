#include "request/reply.h"

#include <pthread.h>
#include <string.h>

#include "base/ref.h"

#define IDLE_BUFFER_MAX_BYTES 4096 /* larger buffers are freed once they are empty */

struct kcp_reply
{
  pthread_mutex_t lock;
  size_t limit; /* size of the buffer in bytes; see kcp_reply_new() */
  kcp_reply_suspend *suspend;
  kcp_reply_resume *resume;
  void *reader; /* argument of suspend and resume */
  kcp_reply_drained *drained;
  void *drained_user;
  unsigned status; /* 0 until the reply has begun */
  char *content_type;
  GPtrArray *headers; /* alternating names and values */
  GString *buffer;
  size_t consumed; /* bytes of buffer that have been read */
  bool finished;
  bool reader_waiting;
  bool writer_waiting;
};

static void clear (gpointer data);
static void compact (struct kcp_reply *reply);
static void suspend_reader (struct kcp_reply *reply);
static void resume_reader (struct kcp_reply *reply, bool was_waiting);

/* Creates an empty reply with a limit in bytes. The writer is asked to pause once half of
   the limit is unread, because the buffer grows by doubling its size. A single write is
   always accepted, however large it is. suspend and resume are called with reader as
   their argument. */
struct kcp_reply *
kcp_reply_new (size_t limit, kcp_reply_suspend *suspend, kcp_reply_resume *resume,
               void *reader)
{
  struct kcp_reply *reply = kcp_ref_new (sizeof (struct kcp_reply));

  pthread_mutex_init (&reply->lock, NULL);
  reply->limit = limit;
  reply->suspend = suspend;
  reply->resume = resume;
  reply->reader = reader;
  reply->headers = g_ptr_array_new_with_free_func (g_free);
  reply->buffer = g_string_new (NULL);
  return reply;
}

/* Acquires a reference. */
struct kcp_reply *
kcp_reply_ref (struct kcp_reply *reply)
{
  return kcp_ref_acquire (reply);
}

/* Releases a reference. reply may be NULL. */
void
kcp_reply_unref (struct kcp_reply *reply)
{
  if (reply != NULL)
    kcp_ref_release (reply, clear);
}

/* Sets the callback for a paused writer: it is called when the unread bytes have fallen
   to a quarter of the limit. */
void
kcp_reply_on_drained (struct kcp_reply *reply, kcp_reply_drained *drained, void *user)
{
  pthread_mutex_lock (&reply->lock);
  reply->drained = drained;
  reply->drained_user = user;
  pthread_mutex_unlock (&reply->lock);
}

/* Sets the status and content type. Returns false, and changes nothing, if the reply has
   already begun. */
bool
kcp_reply_begin (struct kcp_reply *reply, unsigned status, const char *content_type)
{
  bool first;
  bool was_waiting;

  pthread_mutex_lock (&reply->lock);
  first = reply->status == 0;
  if (first)
    {
      reply->status = status;
      reply->content_type = g_strdup (content_type);
    }
  was_waiting = reply->reader_waiting;
  reply->reader_waiting = false;
  pthread_mutex_unlock (&reply->lock);
  resume_reader (reply, was_waiting);
  return first;
}

/* Adds a response header. Must be called before the reply begins. */
void
kcp_reply_add_header (struct kcp_reply *reply, const char *name, const char *value)
{
  pthread_mutex_lock (&reply->lock);
  g_ptr_array_add (reply->headers, g_strdup (name));
  g_ptr_array_add (reply->headers, g_strdup (value));
  pthread_mutex_unlock (&reply->lock);
}

/* Appends bytes to the body, all of which are accepted. Returns false if the writer
   should pause until the drained callback is called. */
bool
kcp_reply_write (struct kcp_reply *reply, struct kcp_str data)
{
  bool was_waiting;
  bool has_room;

  pthread_mutex_lock (&reply->lock);
  g_string_append_len (reply->buffer, data.data, (gssize)data.len);
  has_room = reply->buffer->len - reply->consumed < reply->limit / 2;
  reply->writer_waiting = !has_room;
  was_waiting = reply->reader_waiting;
  reply->reader_waiting = false;
  pthread_mutex_unlock (&reply->lock);
  resume_reader (reply, was_waiting);
  return has_room;
}

/* Marks the end of the body. */
void
kcp_reply_finish (struct kcp_reply *reply)
{
  bool was_waiting;

  pthread_mutex_lock (&reply->lock);
  reply->finished = true;
  was_waiting = reply->reader_waiting;
  reply->reader_waiting = false;
  pthread_mutex_unlock (&reply->lock);
  resume_reader (reply, was_waiting);
}

/* Returns true if the status and headers are set. */
bool
kcp_reply_has_begun (struct kcp_reply *reply)
{
  return kcp_reply_status (reply) != 0;
}

/* Returns true if everything written so far has been read. */
bool
kcp_reply_is_empty (struct kcp_reply *reply)
{
  bool empty;

  pthread_mutex_lock (&reply->lock);
  empty = reply->consumed == reply->buffer->len;
  pthread_mutex_unlock (&reply->lock);
  return empty;
}

/* Returns true if the reply has begun. If not, the reader is suspended until it does. */
bool
kcp_reply_wait_begun (struct kcp_reply *reply)
{
  bool begun;

  pthread_mutex_lock (&reply->lock);
  begun = reply->status != 0;
  if (!begun)
    suspend_reader (reply);
  pthread_mutex_unlock (&reply->lock);
  return begun;
}

/* Returns the HTTP status, or 0 if the reply has not begun. */
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

/* Returns the response headers as alternating names and values, NULL-terminated. Free the
   result with g_strfreev(). */
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

/* Reads up to max bytes of the body and returns their number. Returns KCP_REPLY_END if
   the complete body has been read. Returns 0 if no bytes are available yet; the reader is
   then suspended until there are. */
ssize_t
kcp_reply_read (struct kcp_reply *reply, char *out, size_t max)
{
  ssize_t result = 0;
  kcp_reply_drained *drained = NULL;
  void *user = NULL;
  size_t unread;

  pthread_mutex_lock (&reply->lock);
  unread = reply->buffer->len - reply->consumed;
  if (unread == 0)
    {
      result = reply->finished ? KCP_REPLY_END : 0;
      if (!reply->finished)
        suspend_reader (reply);
    }
  else
    {
      result = (ssize_t)MIN (unread, max);
      memcpy (out, reply->buffer->str + reply->consumed, (size_t)result);
      reply->consumed += (size_t)result;
    }
  compact (reply);
  if (reply->writer_waiting && reply->buffer->len - reply->consumed <= reply->limit / 4)
    {
      reply->writer_waiting = false;
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
  g_string_free (reply->buffer, TRUE);
  pthread_mutex_destroy (&reply->lock);
}

/* Frees a large buffer once it is empty. Otherwise erases the bytes already read once
   they make up more than half of the buffer, so that the buffer does not keep growing
   while the reader lags behind. An erase moves fewer bytes than it removes, so that the
   cost per byte stays constant. */
static void
compact (struct kcp_reply *reply)
{
  if (reply->consumed == reply->buffer->len
      && reply->buffer->allocated_len > IDLE_BUFFER_MAX_BYTES)
    {
      g_string_free (reply->buffer, TRUE);
      reply->buffer = g_string_new (NULL);
      reply->consumed = 0;
    }
  if (reply->consumed <= reply->buffer->len / 2)
    return;
  g_string_erase (reply->buffer, 0, (gssize)reply->consumed);
  reply->consumed = 0;
}

static void
suspend_reader (struct kcp_reply *reply)
{
  reply->reader_waiting = true;
  reply->suspend (reply->reader);
}

static void
resume_reader (struct kcp_reply *reply, bool was_waiting)
{
  if (was_waiting)
    reply->resume (reply->reader);
}
