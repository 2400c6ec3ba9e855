#include "forward/prompt_levels.h"

/* Returns the levels of the request's shared prefix that are long enough to be fetched,
   struct kcp_prompt_level, shortest first; the array is empty if there are none. The last
   part of a prompt belongs to a single request or session and is never a level. */
GArray *
kcp_prompt_levels (const struct kcp_inbound *inbound)
{
  GArray *levels = g_array_new (FALSE, FALSE, sizeof (struct kcp_prompt_level));
  int64_t tokens = 0;

  for (guint i = 0; inbound->parts != NULL && i + 1 < inbound->parts->len; i++)
    {
      const struct kcp_prompt_part *part
          = &g_array_index (inbound->parts, struct kcp_prompt_part, i);
      struct kcp_prompt_level level = { .part = part->id };

      tokens += part->tokens;
      level.prefix_tokens = tokens;
      if (tokens >= KCP_FETCH_PREFIX_TOKENS_MIN)
        g_array_append_val (levels, level);
    }
  return levels;
}

/* Returns true if the shared prefix is long enough to determine the placement. */
bool
kcp_prompt_is_long (const GArray *levels)
{
  return kcp_prompt_level_tokens (levels, 0, levels->len) >= KCP_LONG_PREFIX_TOKENS_MIN;
}

/* Returns the number of tokens in the levels of the half-open index range [from, to). */
int64_t
kcp_prompt_level_tokens (const GArray *levels, guint from, guint to)
{
  int64_t tokens = 0;

  if (to > 0)
    tokens = g_array_index (levels, struct kcp_prompt_level, to - 1).prefix_tokens;
  if (from > 0)
    tokens -= g_array_index (levels, struct kcp_prompt_level, from - 1).prefix_tokens;
  return tokens;
}
