#include "http/etag.h"

#include <stdio.h>
#include <string.h>

/* Writes the ETag of a document version to out, including the quotes. */
void
kcp_etag_format (const struct kcp_config_base *base, char out[KCP_ETAG_MAX])
{
  (void)snprintf (out, KCP_ETAG_MAX, "\"%" G_GUINT64_FORMAT "-%s\"", base->version,
                  base->id);
}

/* Parses an ETag written by kcp_etag_format(). Returns false for any other text. */
bool
kcp_etag_parse (const char *text, struct kcp_config_base *base)
{
  g_autofree char *copy = g_strdup (text);
  size_t len = strlen (copy);
  char *dash = strchr (copy, '-');
  guint64 version;

  if (len < strlen ("\"1-\"") || copy[0] != '"' || copy[len - 1] != '"' || dash == NULL)
    return false;
  copy[len - 1] = '\0';
  *dash = '\0';
  if (strlen (dash + 1) >= sizeof base->id
      || !g_ascii_string_to_unsigned (copy + 1, 10, 1, G_MAXINT64, &version, NULL))
    return false;
  base->version = version;
  g_strlcpy (base->id, dash + 1, sizeof base->id);
  return true;
}
