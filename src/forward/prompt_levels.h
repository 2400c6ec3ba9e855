/* The levels of a prompt's shared prefix. Prompts share parts in a chain: all of a team
   may share the first, those of one document the second as well, and so on. A server can
   use a part only with all parts before it, so a level stands for the prefix up to its
   part. */
#ifndef KCP_FORWARD_PROMPT_LEVELS_H
#define KCP_FORWARD_PROMPT_LEVELS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/dialect.h"

/* Prefixes from this size on are worth a fetch. */
#define KCP_FETCHED_PREFIX_TOKENS 256
/* From this size on they are worth a place of their own and a save, too. */
#define KCP_LONG_PREFIX_TOKENS 1024

struct kcp_prompt_level
{
  const char *part;      /* id of its last part, borrowed from the request */
  int64_t prefix_tokens; /* of that part and all before it */
};

GArray *kcp_prompt_levels (const struct kcp_inbound *inbound);
bool kcp_prompt_is_long (const GArray *levels);
int64_t kcp_prompt_level_tokens (const GArray *levels, guint from, guint to);

#endif
