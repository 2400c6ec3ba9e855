#include "booking/uuid7.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define TEXT_LEN     36 /* characters */
#define TIME_DIGITS  12
#define VERSION_AT   14 /* index of the character that holds the version */
#define VARIANT_AT   19 /* index of the character that holds the variant */
#define BITS_PER_HEX 4

/* Returns the time at which a UUIDv7 was created, in milliseconds since the epoch, or 0
   if text is not a UUIDv7. */
int64_t
kcp_uuid7_time_ms (const char *text)
{
  int64_t ms = 0;
  int digits = 0;

  if (strlen (text) != TEXT_LEN || text[VERSION_AT] != '7'
      || strchr ("89abAB", text[VARIANT_AT]) == NULL)
    return 0;
  for (int i = 0; i < TEXT_LEN; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;

      if (dash ? text[i] != '-' : !g_ascii_isxdigit (text[i]))
        return 0;
      if (!dash && digits++ < TIME_DIGITS)
        ms = ms << BITS_PER_HEX | g_ascii_xdigit_value (text[i]);
    }
  return ms;
}
