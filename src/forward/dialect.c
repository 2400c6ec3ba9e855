#include "forward/dialect.h"

#include "forward/hop.h"

/* Frees the contents of a request. */
void
kcp_inbound_clear (struct kcp_inbound *inbound)
{
  kcp_hop_head_free (inbound->hop);
  g_free (inbound->method);
  g_free (inbound->target);
  g_free (inbound->host);
  curl_slist_free_all (inbound->forwarded);
  if (inbound->body != NULL)
    g_string_free (inbound->body, TRUE);
  g_free (inbound->id);
  g_free (inbound->key);
  g_free (inbound->resume_after);
  g_free (inbound->resumed_id);
  g_free (inbound->model);
  for (guint i = 0; inbound->parts != NULL && i < inbound->parts->len; i++)
    g_free (g_array_index (inbound->parts, struct kcp_prompt_part, i).id);
  if (inbound->parts != NULL)
    g_array_unref (inbound->parts);
}

/* Frees the contents of an answer's head. */
void
kcp_answer_head_clear (struct kcp_answer_head *head)
{
  g_free (head->request_id);
}
