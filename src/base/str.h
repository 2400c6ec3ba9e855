/* Non-owning string views with an explicit length. Owned, growing strings are GString. */
#ifndef KCP_BASE_STR_H
#define KCP_BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct kcp_str
{
  const char *data;
  size_t len;
};

/* Makes a view of a string literal. */
#define KCP_STR(literal)                                                                 \
  ((struct kcp_str){ .data = (literal), .len = sizeof (literal) - 1 })

/* Expands to the two arguments of a "%.*s" conversion. */
#define KCP_STR_ARG(s) (int)(s).len, (s).data

struct kcp_str kcp_str_from_c (const char *text);
bool kcp_str_equal (struct kcp_str a, struct kcp_str b);
bool kcp_str_equals_ignoring_case (struct kcp_str s, const char *text);
bool kcp_str_has_prefix (struct kcp_str s, struct kcp_str prefix);
struct kcp_str kcp_str_skip (struct kcp_str s, size_t count);
struct kcp_str kcp_str_trim (struct kcp_str s);
bool
kcp_str_header_value (struct kcp_str line, struct kcp_str name, struct kcp_str *value);
char *kcp_str_dup (struct kcp_str s);
bool kcp_str_to_int64 (struct kcp_str s, int64_t *out);

#endif
