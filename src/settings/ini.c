#include "settings/ini.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "base/str.h"

#define PORT_MAX 65535

static void *build (const struct kcp_ini_table *table, const char *path, const char *text,
                    GKeyFile *file, GPtrArray *errors);
static void read_key (const char *path, const char *text, GKeyFile *file,
                      const struct kcp_ini_key *kind, void *settings, GPtrArray *errors);
static void read_int (const char *path, const char *text, const char *value,
                      const struct kcp_ini_key *kind, int64_t *out, GPtrArray *errors);
static void read_real (const char *path, const char *text, const char *value,
                       const struct kcp_ini_key *kind, double *out, GPtrArray *errors);
static bool text_is_valid (const struct kcp_ini_key *kind, const char *value);
static bool address_is_valid (const char *value);
static const char *allowed_text (enum kcp_ini_type type);
static void find_unknown (const struct kcp_ini_table *table, const char *path,
                          const char *text, GKeyFile *file, GPtrArray *errors);
static void find_repeated (const char *path, const char *text, GPtrArray *errors);
static void find_malformed (const char *path, const char *text, GPtrArray *errors);
static const struct kcp_ini_key *
find_kind (const struct kcp_ini_table *table, const char *group, const char *key);
static int find_line (const char *text, const char *group, const char *key);
static void add_error (GPtrArray *errors, const char *path, int line, const char *group,
                       const char *key, const char *what);

/* Reads and checks the file at path. Appends every error found, as an owned text
   "file:line: group.key: what, allowed range", to errors; returns NULL if there is one.
 */
void *
kcp_ini_load (const struct kcp_ini_table *table, const char *path, GPtrArray *errors)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      g_ptr_array_add (errors, g_strdup_printf ("%s: %s", path, error->message));
      return NULL;
    }
  return kcp_ini_parse (table, path, text, errors);
}

/* Checks settings given as text; path only names the file in errors. No error shows a
   text of the file that may be a secret, so GKeyFile's own messages are not used. */
void *
kcp_ini_parse (const struct kcp_ini_table *table, const char *path, const char *text,
               GPtrArray *errors)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  guint before = errors->len;

  find_malformed (path, text, errors);
  if (errors->len > before)
    return NULL;
  if (!g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, NULL))
    {
      g_ptr_array_add (errors, g_strdup_printf ("%s: not a valid INI file", path));
      return NULL;
    }
  return build (table, path, text, file, errors);
}

/* Frees settings and their texts, clearing the secrets; NULL is allowed. */
void
kcp_ini_free (const struct kcp_ini_table *table, void *settings)
{
  if (settings == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    if (table->keys[i].type != KCP_INI_INT && table->keys[i].type != KCP_INI_REAL)
      {
        char **text = (char **)((char *)settings + table->keys[i].offset);

        if (*text != NULL)
          sodium_memzero (*text, strlen (*text));
        g_free (*text);
      }
  g_free (settings);
}

/* Tells whether two settings have the same value for the key. */
bool
kcp_ini_is_same (const struct kcp_ini_key *key, const void *a, const void *b)
{
  const void *first = (const char *)a + key->offset;
  const void *second = (const char *)b + key->offset;

  switch (key->type)
    {
    case KCP_INI_INT:
      return *(const int64_t *)first == *(const int64_t *)second;
    case KCP_INI_REAL:
      return *(const double *)first == *(const double *)second;
    case KCP_INI_TEXT:
    case KCP_INI_NAME:
    case KCP_INI_HEX_KEY:
    case KCP_INI_ADDRESS:
      break;
    }
  return g_strcmp0 (*(char *const *)first, *(char *const *)second) == 0;
}

/* Appends an error about a key, with the line on which line_key stands. */
void
kcp_ini_add_error (GPtrArray *errors, const char *path, const char *text,
                   const char *group, const char *line_key, const char *key,
                   const char *what)
{
  add_error (errors, path, find_line (text, group, line_key), group, key, what);
}

static void *
build (const struct kcp_ini_table *table, const char *path, const char *text,
       GKeyFile *file, GPtrArray *errors)
{
  void *settings = g_malloc0 (table->size);
  guint before = errors->len;

  find_unknown (table, path, text, file, errors);
  find_repeated (path, text, errors);
  for (size_t i = 0; i < table->count; i++)
    read_key (path, text, file, &table->keys[i], settings, errors);
  if (table->check != NULL)
    table->check (path, text, settings, errors);
  if (errors->len == before)
    return settings;
  kcp_ini_free (table, settings);
  return NULL;
}

static void
read_key (const char *path, const char *text, GKeyFile *file,
          const struct kcp_ini_key *kind, void *settings, GPtrArray *errors)
{
  void *member = (char *)settings + kind->offset;
  char *value = g_key_file_get_string (file, kind->group, kind->key, NULL);
  int line = find_line (text, kind->group, kind->key);

  if (kind->type == KCP_INI_INT || kind->type == KCP_INI_REAL)
    {
      if (kind->type == KCP_INI_INT)
        read_int (path, text, value, kind, member, errors);
      else
        read_real (path, text, value, kind, member, errors);
      g_free (value);
      return;
    }
  if (value == NULL && kind->required)
    add_error (errors, path, line, kind->group, kind->key,
               "missing, a value is required");
  if (value != NULL && !text_is_valid (kind, value))
    {
      add_error (errors, path, line, kind->group, kind->key, allowed_text (kind->type));
      g_free (value);
      value = NULL;
    }
  *(char **)member = value != NULL ? value : g_strdup (kind->fallback);
}

static void
read_int (const char *path, const char *text, const char *value,
          const struct kcp_ini_key *kind, int64_t *out, GPtrArray *errors)
{
  g_autofree char *what = NULL;
  int line = find_line (text, kind->group, kind->key);

  *out = kind->standard;
  if (value == NULL)
    return;
  if (g_ascii_string_to_signed (value, 10, kind->min, kind->max, out, NULL))
    return;
  what = g_strdup_printf ("'%s' is not a number in the allowed range %" G_GINT64_FORMAT
                          " to %" G_GINT64_FORMAT,
                          value, kind->min, kind->max);
  add_error (errors, path, line, kind->group, kind->key, what);
}

static void
read_real (const char *path, const char *text, const char *value,
           const struct kcp_ini_key *kind, double *out, GPtrArray *errors)
{
  g_autofree char *what = NULL;
  char *end = NULL;

  *out = kind->real_standard;
  if (value == NULL)
    return;
  *out = g_ascii_strtod (value, &end);
  if (end != value && *end == '\0' && *out >= (double)kind->min
      && *out <= (double)kind->max)
    return;
  what = g_strdup_printf ("'%s' is not a number in the allowed range %" G_GINT64_FORMAT
                          " to %" G_GINT64_FORMAT,
                          value, kind->min, kind->max);
  add_error (errors, path, find_line (text, kind->group, kind->key), kind->group,
             kind->key, what);
}

static bool
text_is_valid (const struct kcp_ini_key *kind, const char *value)
{
  size_t len = strlen (value);

  switch (kind->type)
    {
    case KCP_INI_TEXT:
      return len > 0;
    case KCP_INI_NAME:
      for (const char *c = value; *c != '\0'; c++)
        if (!g_ascii_isalnum (*c) && strchr ("-_.", *c) == NULL)
          return false;
      return len > 0 && len < 64;
    case KCP_INI_HEX_KEY:
      return len == 64 && strspn (value, "0123456789abcdefABCDEF") == 64;
    case KCP_INI_ADDRESS:
      return address_is_valid (value);
    case KCP_INI_INT:
    case KCP_INI_REAL:
      break;
    }
  return true;
}

static bool
address_is_valid (const char *value)
{
  const char *colon = strchr (value, ':');
  g_autofree char *host = colon != NULL ? g_strndup (value, colon - value) : NULL;
  struct in_addr ip;
  gint64 port;

  if (colon == NULL || inet_pton (AF_INET, host, &ip) != 1)
    return false;
  return g_ascii_string_to_signed (colon + 1, 10, 0, PORT_MAX, &port, NULL);
}

static const char *
allowed_text (enum kcp_ini_type type)
{
  switch (type)
    {
    case KCP_INI_HEX_KEY:
      return "not a key, 64 hexadecimal digits are allowed";
    case KCP_INI_ADDRESS:
      return "not an address, A.B.C.D:PORT is allowed";
    case KCP_INI_TEXT:
    case KCP_INI_NAME:
    case KCP_INI_INT:
    case KCP_INI_REAL:
      break;
    }
  return "not a valid text, 1 to 63 letters, digits, '-', '_' or '.' are allowed "
         "in names, and no empty text";
}

static void
find_unknown (const struct kcp_ini_table *table, const char *path, const char *text,
              GKeyFile *file, GPtrArray *errors)
{
  g_auto (GStrv) groups = g_key_file_get_groups (file, NULL);

  for (char **group = groups; *group != NULL; group++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (file, *group, NULL, NULL);

      for (char **key = keys; key != NULL && *key != NULL; key++)
        if (find_kind (table, *group, *key) == NULL)
          add_error (errors, path, find_line (text, *group, *key), *group, *key,
                     "unknown key");
    }
}

static void
find_repeated (const char *path, const char *text, GPtrArray *errors)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *group = g_strdup ("");

  for (int i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);
      char *equals = strchr (line, '=');
      char *name;

      if (line[0] == '[' && strchr (line, ']') != NULL)
        {
          g_free (group);
          group = g_strndup (line + 1, strchr (line, ']') - line - 1);
        }
      if (line[0] == '#' || line[0] == '[' || equals == NULL)
        continue;
      *equals = '\0';
      name = g_strdup_printf ("%s.%s", group, g_strstrip (line));
      if (!g_hash_table_add (seen, name))
        add_error (errors, path, i + 1, group, line, "given twice, one value is allowed");
    }
}

static void
find_malformed (const char *path, const char *text, GPtrArray *errors)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  bool grouped = false;

  for (int i = 0; lines[i] != NULL; i++)
    {
      const char *line = g_strstrip (lines[i]);
      const char *what = NULL;

      if (line[0] == '\0' || line[0] == '#')
        continue;
      if (line[0] == '[' && g_str_has_suffix (line, "]"))
        grouped = true;
      else if (strchr (line, '=') == NULL || line[0] == '=')
        what = "not a [group], a key=value or a # comment";
      else if (!grouped)
        what = "a key before the first [group]";
      if (what != NULL)
        g_ptr_array_add (errors, g_strdup_printf ("%s:%d: %s", path, i + 1, what));
    }
}

static const struct kcp_ini_key *
find_kind (const struct kcp_ini_table *table, const char *group, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->keys[i].group, group) == 0
        && strcmp (table->keys[i].key, key) == 0)
      return &table->keys[i];
  return NULL;
}

/* Returns the 1-based line of a key, or of its group's header if the key is absent, or 0.
   GKeyFile keeps no line numbers. */
static int
find_line (const char *text, const char *group, const char *key)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *header = g_strdup_printf ("[%s]", group);
  bool inside = false;
  int found = 0;

  for (int i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);
      size_t len = strlen (key);

      if (line[0] == '[')
        {
          inside = strcmp (line, header) == 0;
          if (inside && found == 0)
            found = i + 1;
        }
      else if (inside && strncmp (line, key, len) == 0
               && strchr (" \t=", line[len]) != NULL)
        return i + 1;
    }
  return found;
}

static void
add_error (GPtrArray *errors, const char *path, int line, const char *group,
           const char *key, const char *what)
{
  g_ptr_array_add (errors,
                   g_strdup_printf ("%s:%d: %s.%s: %s", path, line, group, key, what));
}
