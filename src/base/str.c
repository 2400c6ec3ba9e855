#include "base/str.h"

#include <glib.h>
#include <string.h>

/* Returns a view of a NUL-terminated string, or of the empty string if text is NULL. */
struct kcp_str
kcp_str_from_c (const char *text)
{
  return (struct kcp_str){ .data = text ? text : "", .len = text ? strlen (text) : 0 };
}

/* Returns true if both strings consist of the same bytes. */
bool
kcp_str_equal (struct kcp_str a, struct kcp_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Returns true if s and text are equal, regardless of the case of ASCII letters. */
bool
kcp_str_equals_ignoring_case (struct kcp_str s, const char *text)
{
  return strlen (text) == s.len && g_ascii_strncasecmp (s.data, text, s.len) == 0;
}

/* Returns true if s starts with prefix. */
bool
kcp_str_has_prefix (struct kcp_str s, struct kcp_str prefix)
{
  return s.len >= prefix.len && memcmp (s.data, prefix.data, prefix.len) == 0;
}

/* Returns s without its first count bytes, or the empty string if s is not longer. */
struct kcp_str
kcp_str_skip (struct kcp_str s, size_t count)
{
  size_t skipped = count < s.len ? count : s.len;

  return (struct kcp_str){ .data = s.data + skipped, .len = s.len - skipped };
}

/* Returns s without leading and trailing white space. */
struct kcp_str
kcp_str_trim (struct kcp_str s)
{
  while (s.len > 0 && g_ascii_isspace (s.data[0]))
    s = kcp_str_skip (s, 1);
  while (s.len > 0 && g_ascii_isspace (s.data[s.len - 1]))
    s.len--;
  return s;
}

/* Stores the value of an HTTP header line in value, without surrounding white space.
   Returns false if the line has a header of another name; the comparison ignores case. */
bool
kcp_str_header_value (struct kcp_str line, struct kcp_str name, struct kcp_str *value)
{
  if (line.len <= name.len || line.data[name.len] != ':'
      || g_ascii_strncasecmp (line.data, name.data, name.len) != 0)
    return false;
  *value = kcp_str_trim (kcp_str_skip (line, name.len + 1));
  return true;
}

/* Returns a NUL-terminated copy of s that the caller frees with g_free(). */
char *
kcp_str_dup (struct kcp_str s)
{
  return g_strndup (s.data, s.len);
}

/* Parses s as a decimal integer. Returns false if s is anything else or out of range. */
bool
kcp_str_to_int64 (struct kcp_str s, int64_t *out)
{
  g_autofree char *text = kcp_str_dup (s);

  return g_ascii_string_to_signed (text, 10, INT64_MIN, INT64_MAX, out, NULL);
}
