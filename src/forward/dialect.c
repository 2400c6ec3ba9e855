#include "forward/dialect.h"

/* Frees what a request owns. */
void
kcp_ask_clear (struct kcp_ask *ask)
{
  g_free (ask->method);
  g_free (ask->target);
  g_free (ask->host);
  curl_slist_free_all (ask->forwarded);
  if (ask->body != NULL)
    g_string_free (ask->body, TRUE);
  g_free (ask->id);
  g_free (ask->key);
  g_free (ask->resume_after);
  g_free (ask->model);
  for (guint i = 0; ask->parts != NULL && i < ask->parts->len; i++)
    g_free (g_array_index (ask->parts, struct kcp_prompt_part, i).id);
  if (ask->parts != NULL)
    g_array_unref (ask->parts);
}

/* Frees what an answer's head owns. */
void
kcp_answer_head_clear (struct kcp_answer_head *head)
{
  g_free (head->request_id);
}
