#include "forward/answer.h"

/* Initializes an empty answer. changed is called with user after each change. */
void
kcp_answer_init (struct kcp_answer *answer, void (*changed) (void *user), void *user)
{
  *answer = (struct kcp_answer){ .changed = changed, .user = user };
  answer->headers = g_ptr_array_new_with_free_func (g_free);
  answer->body = g_string_new (NULL);
}

/* Frees the headers and the body of an answer. */
void
kcp_answer_clear (struct kcp_answer *answer)
{
  g_ptr_array_unref (answer->headers);
  g_string_free (answer->body, TRUE);
}

void
kcp_answer_add_header (struct kcp_answer *answer, const char *name, const char *value)
{
  g_ptr_array_add (answer->headers, g_strdup (name));
  g_ptr_array_add (answer->headers, g_strdup (value));
}
