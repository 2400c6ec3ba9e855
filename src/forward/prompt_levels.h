/* Determines the levels of a prompt's shared prefix. Prompts share parts as a chain: all
   prompts of a team may share the first part, those about one document also the second,
   and so on. A server can use a cached part only together with all parts before it, so a
   level is the prefix up to and including its part. */
#ifndef KCP_FORWARD_PROMPT_LEVELS_H
#define KCP_FORWARD_PROMPT_LEVELS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/dialect.h"

/* The shortest prefix that is fetched from another server or from the store. */
#define KCP_FETCH_PREFIX_TOKENS_MIN 256
/* The shortest prefix that also determines the placement and is saved to the store. */
#define KCP_LONG_PREFIX_TOKENS_MIN 1024

struct kcp_prompt_level
{
  const char *part;      /* id of the level's last part, borrowed from the request */
  int64_t prefix_tokens; /* tokens of that part and all before it */
};

GArray *kcp_prompt_levels (const struct kcp_inbound *inbound);
bool kcp_prompt_is_long (const GArray *levels);
int64_t kcp_prompt_level_tokens (const GArray *levels, guint from, guint to);

#endif
