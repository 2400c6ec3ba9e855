/* The response to one caller: a buffer of bounded size that the request writes and the
   HTTP layer reads. */
#ifndef KCP_REQUEST_REPLY_H
#define KCP_REQUEST_REPLY_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "base/str.h"

/* Suspends the reader. Called on the reader's thread, with the reply's lock held. */
typedef void kcp_reply_suspend (void *user);
/* Resumes a suspended reader. Called on any thread, without the reply's lock. */
typedef void kcp_reply_resume (void *user);
/* Called on any thread, without the reply's lock, once a writer that was asked to pause
   can write again: at most a quarter of the limit is unread. */
typedef void kcp_reply_drained (void *user);

struct kcp_reply;

struct kcp_reply *kcp_reply_new (size_t limit, kcp_reply_suspend *suspend,
                                 kcp_reply_resume *resume, void *reader);
struct kcp_reply *kcp_reply_ref (struct kcp_reply *reply);
void kcp_reply_unref (struct kcp_reply *reply);
void
kcp_reply_on_drained (struct kcp_reply *reply, kcp_reply_drained *drained, void *user);

bool kcp_reply_begin (struct kcp_reply *reply, unsigned status, const char *content_type);
void kcp_reply_add_header (struct kcp_reply *reply, const char *name, const char *value);
bool kcp_reply_write (struct kcp_reply *reply, struct kcp_str data);
void kcp_reply_finish (struct kcp_reply *reply);
bool kcp_reply_has_begun (struct kcp_reply *reply);
bool kcp_reply_is_empty (struct kcp_reply *reply);

bool kcp_reply_wait_begun (struct kcp_reply *reply);
unsigned kcp_reply_status (struct kcp_reply *reply);
const char *kcp_reply_content_type (struct kcp_reply *reply);
char **kcp_reply_headers (struct kcp_reply *reply);
ssize_t kcp_reply_read (struct kcp_reply *reply, char *out, size_t max);

#define KCP_REPLY_END (-1) /* the complete body has been read */

#endif
