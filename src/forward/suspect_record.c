#include "forward/suspect_record.h"

#include <string.h>

/* Fields of a line, separated by spaces. Times are Unix times in milliseconds, numbers
   without a comment decimal. */
enum field
{
  FIELD_KIND,
  FIELD_FINGERPRINT, /* hexadecimal */
  FIELD_RANK,
  FIELD_INCIDENTS,
  FIELD_INCIDENT_MS, /* first crash of the latest incident */
  FIELD_UNTIL_MS,    /* end of the fact */
  FIELD_COUNT
};

/* After the fields follow the incarnations that crashed, hexadecimal. */
#define FIELDS_MAX   (FIELD_COUNT + KCP_QUARANTINE_CRASHES_MAX)
#define KIND_REQUEST "request"
#define KIND_PART    "part"
#define HEX_BASE     16
#define DECIMAL_BASE 10

static bool read_kind (const char *text, enum kcp_suspect_kind *kind);
static bool read_number (const char *text, guint base, guint64 max, guint64 *number);

/* Adds the line of a fact as it is at the Unix time now_ms. */
void
kcp_suspect_record_add (GString *record, const struct kcp_suspect_fact *fact,
                        int64_t now_ms)
{
  const struct kcp_quarantine_fact *known = &fact->fact;

  g_string_append_printf (
      record, "%s %" G_GINT64_MODIFIER "x %u %u %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
      fact->kind == KCP_SUSPECT_PART ? KIND_PART : KIND_REQUEST, known->fingerprint,
      known->rank, known->incidents, now_ms - known->incident_age_ms,
      now_ms + known->remaining_ms);
  for (unsigned i = 0; i < kcp_quarantine_fact_crashes (known); i++)
    g_string_append_printf (record, " %" G_GINT64_MODIFIER "x", known->crashes[i]);
  g_string_append_c (record, '\n');
}

/* Reads a line. Returns false if it is no fact. One that has ended has no time left. */
bool
kcp_suspect_record_read (struct kcp_str line, int64_t now_ms,
                         struct kcp_suspect_fact *fact)
{
  g_autofree char *text = kcp_str_dup (line);
  g_auto (GStrv) fields = g_strsplit (text, " ", FIELDS_MAX + 1);
  guint count = g_strv_length (fields);
  struct kcp_quarantine_fact *known = &fact->fact;
  guint64 fingerprint;
  guint64 rank;
  guint64 incidents;
  guint64 incident_ms;
  guint64 until_ms;

  memset (fact, 0, sizeof *fact);
  if (count < FIELD_COUNT || !read_kind (fields[FIELD_KIND], &fact->kind)
      || !read_number (fields[FIELD_FINGERPRINT], HEX_BASE, G_MAXUINT64, &fingerprint)
      || !read_number (fields[FIELD_RANK], DECIMAL_BASE, UINT32_MAX, &rank)
      || !read_number (fields[FIELD_INCIDENTS], DECIMAL_BASE, UINT32_MAX, &incidents)
      || !read_number (fields[FIELD_INCIDENT_MS], DECIMAL_BASE, INT64_MAX, &incident_ms)
      || !read_number (fields[FIELD_UNTIL_MS], DECIMAL_BASE, INT64_MAX, &until_ms))
    return false;
  known->fingerprint = fingerprint;
  known->rank = (uint32_t)rank;
  known->incidents = (uint32_t)incidents;
  known->incident_age_ms
      = (uint32_t)CLAMP (now_ms - (int64_t)incident_ms, 0, (int64_t)UINT32_MAX);
  known->remaining_ms
      = (uint32_t)CLAMP ((int64_t)until_ms - now_ms, 0, (int64_t)UINT32_MAX);
  for (guint i = FIELD_COUNT; i < MIN (count, FIELDS_MAX); i++)
    if (!read_number (fields[i], HEX_BASE, G_MAXUINT64, &known->crashes[i - FIELD_COUNT]))
      return false;
  return true;
}

static bool
read_kind (const char *text, enum kcp_suspect_kind *kind)
{
  *kind = strcmp (text, KIND_PART) == 0 ? KCP_SUSPECT_PART : KCP_SUSPECT_REQUEST;
  return *kind == KCP_SUSPECT_PART || strcmp (text, KIND_REQUEST) == 0;
}

static bool
read_number (const char *text, guint base, guint64 max, guint64 *number)
{
  return g_ascii_string_to_unsigned (text, base, 0, max, number, NULL);
}

/* Takes the next line, without its end, from the text that is left. An empty one ends
   it. */
struct kcp_str
kcp_suspect_record_next_line (struct kcp_str *rest)
{
  const char *end = rest->len > 0 ? memchr (rest->data, '\n', rest->len) : NULL;
  struct kcp_str line = { .data = rest->data, .len = rest->len };

  if (end != NULL)
    line.len = (size_t)(end - rest->data);
  rest->data += line.len + (end != NULL);
  rest->len -= line.len + (end != NULL);
  return line;
}
