#include "forward/prompt_levels.h"

/* Returns the levels of the request's shared prefix that are worth a fetch, struct
   kcp_prompt_level, the shortest first; an empty array if there is none. The last part of
   a prompt belongs to one request or session, so that it is no level. */
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
      if (tokens >= KCP_FETCHED_PREFIX_TOKENS)
        g_array_append_val (levels, level);
    }
  return levels;
}

/* Tells whether the prefix is worth a place of its own. */
bool
kcp_prompt_is_long (const GArray *levels)
{
  return kcp_prompt_level_tokens (levels, 0, levels->len) >= KCP_LONG_PREFIX_TOKENS;
}

/* Returns the tokens of the prefix with the first to levels that are not in the one with
   the first from levels. */
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
