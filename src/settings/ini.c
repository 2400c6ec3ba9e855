#include "settings/ini.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "base/str.h"

#define PORT_MAX 65535

static void *build_settings (const struct kcp_ini_table *table, const char *path,
                             const char *text, GKeyFile *file, GPtrArray *errors);
static void read_key (const char *path, const char *text, GKeyFile *file,
                      const struct kcp_ini_key *spec, void *settings, GPtrArray *errors);
static void read_int (const char *path, const char *text, const char *value,
                      const struct kcp_ini_key *spec, int64_t *out, GPtrArray *errors);
static void read_real (const char *path, const char *text, const char *value,
                       const struct kcp_ini_key *spec, double *out, GPtrArray *errors);
static bool string_is_valid (const struct kcp_ini_key *spec, const char *value);
static bool address_is_valid (const char *value);
static const char *invalid_value_message (enum kcp_ini_type type);
static void report_unknown_keys (const struct kcp_ini_table *table, const char *path,
                                 const char *text, GKeyFile *file, GPtrArray *errors);
static void report_repeated_keys (const char *path, const char *text, GPtrArray *errors);
static void
report_malformed_lines (const char *path, const char *text, GPtrArray *errors);
static const struct kcp_ini_key *
find_spec (const struct kcp_ini_table *table, const char *group, const char *key);
static int find_line (const char *text, const char *group, const char *key);
static void add_error (GPtrArray *errors, const char *path, int line, const char *group,
                       const char *key, const char *message);

/* Reads and checks the file at path. Returns a new settings struct that the caller frees
   with kcp_ini_free(), or NULL if there are errors. Every error is appended to errors as
   an allocated string of the form "file:line: group.key: what, allowed range". */
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

/* Parses and checks settings like kcp_ini_load(), but from a string; path is only used in
   error messages. Error messages never quote values that may be secrets, which is why
   those of GKeyFile are not used. */
void *
kcp_ini_parse (const struct kcp_ini_table *table, const char *path, const char *text,
               GPtrArray *errors)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  guint before = errors->len;

  report_malformed_lines (path, text, errors);
  if (errors->len > before)
    return NULL;
  if (!g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, NULL))
    {
      g_ptr_array_add (errors, g_strdup_printf ("%s: not a valid INI file", path));
      return NULL;
    }
  return build_settings (table, path, text, file, errors);
}

/* Overwrites all strings of the settings with zeros, as they may be secrets, and frees
   them and the settings. settings may be NULL. */
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

/* Returns true if two settings structs have the same value for the key. */
bool
kcp_ini_values_equal (const struct kcp_ini_key *key, const void *a, const void *b)
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

/* Appends an error message about a key, with the line number of line_key. The keys differ
   if key itself is missing. */
void
kcp_ini_add_error (GPtrArray *errors, const char *path, const char *text,
                   const char *group, const char *line_key, const char *key,
                   const char *message)
{
  add_error (errors, path, find_line (text, group, line_key), group, key, message);
}

static void *
build_settings (const struct kcp_ini_table *table, const char *path, const char *text,
                GKeyFile *file, GPtrArray *errors)
{
  void *settings = g_malloc0 (table->size);
  guint before = errors->len;

  report_unknown_keys (table, path, text, file, errors);
  report_repeated_keys (path, text, errors);
  for (size_t i = 0; i < table->count; i++)
    read_key (path, text, file, &table->keys[i], settings, errors);
  if (table->check != NULL)
    table->check (path, text, settings, errors);
  if (errors->len == before)
    return settings;
  kcp_ini_free (table, settings);
  return NULL;
}

/* Stores the value of a key, or its default, in its member of settings. */
static void
read_key (const char *path, const char *text, GKeyFile *file,
          const struct kcp_ini_key *spec, void *settings, GPtrArray *errors)
{
  void *member = (char *)settings + spec->offset;
  char *value = g_key_file_get_string (file, spec->group, spec->key, NULL);
  int line = find_line (text, spec->group, spec->key);

  if (spec->type == KCP_INI_INT || spec->type == KCP_INI_REAL)
    {
      if (spec->type == KCP_INI_INT)
        read_int (path, text, value, spec, member, errors);
      else
        read_real (path, text, value, spec, member, errors);
      g_free (value);
      return;
    }
  if (value == NULL && spec->required)
    add_error (errors, path, line, spec->group, spec->key,
               "missing, a value is required");
  if (value != NULL && !string_is_valid (spec, value))
    {
      add_error (errors, path, line, spec->group, spec->key,
                 invalid_value_message (spec->type));
      g_free (value);
      value = NULL;
    }
  *(char **)member = value != NULL ? value : g_strdup (spec->default_string);
}

static void
read_int (const char *path, const char *text, const char *value,
          const struct kcp_ini_key *spec, int64_t *out, GPtrArray *errors)
{
  g_autofree char *message = NULL;
  int line = find_line (text, spec->group, spec->key);

  *out = spec->default_int;
  if (value == NULL)
    return;
  if (g_ascii_string_to_signed (value, 10, spec->min, spec->max, out, NULL))
    return;
  message = g_strdup_printf ("'%s' is not a number in the allowed range %" G_GINT64_FORMAT
                             " to %" G_GINT64_FORMAT,
                             value, spec->min, spec->max);
  add_error (errors, path, line, spec->group, spec->key, message);
}

static void
read_real (const char *path, const char *text, const char *value,
           const struct kcp_ini_key *spec, double *out, GPtrArray *errors)
{
  g_autofree char *message = NULL;
  char *end = NULL;

  *out = spec->default_real;
  if (value == NULL)
    return;
  *out = g_ascii_strtod (value, &end);
  if (end != value && *end == '\0' && *out >= (double)spec->min
      && *out <= (double)spec->max)
    return;
  message = g_strdup_printf ("'%s' is not a number in the allowed range %" G_GINT64_FORMAT
                             " to %" G_GINT64_FORMAT,
                             value, spec->min, spec->max);
  add_error (errors, path, find_line (text, spec->group, spec->key), spec->group,
             spec->key, message);
}

static bool
string_is_valid (const struct kcp_ini_key *spec, const char *value)
{
  size_t len = strlen (value);

  switch (spec->type)
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

/* Returns the error message for an invalid string value. It does not quote the value,
   which may be a secret. */
static const char *
invalid_value_message (enum kcp_ini_type type)
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
report_unknown_keys (const struct kcp_ini_table *table, const char *path,
                     const char *text, GKeyFile *file, GPtrArray *errors)
{
  g_auto (GStrv) groups = g_key_file_get_groups (file, NULL);

  for (char **group = groups; *group != NULL; group++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (file, *group, NULL, NULL);

      for (char **key = keys; key != NULL && *key != NULL; key++)
        if (find_spec (table, *group, *key) == NULL)
          add_error (errors, path, find_line (text, *group, *key), *group, *key,
                     "unknown key");
    }
}

/* Searches the text for keys that a group contains twice. GKeyFile silently uses the last
   value of such a key. */
static void
report_repeated_keys (const char *path, const char *text, GPtrArray *errors)
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

/* Searches the text for lines that are not valid INI syntax. */
static void
report_malformed_lines (const char *path, const char *text, GPtrArray *errors)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  bool in_group = false;

  for (int i = 0; lines[i] != NULL; i++)
    {
      const char *line = g_strstrip (lines[i]);
      const char *message = NULL;

      if (line[0] == '\0' || line[0] == '#')
        continue;
      if (line[0] == '[' && g_str_has_suffix (line, "]"))
        in_group = true;
      else if (strchr (line, '=') == NULL || line[0] == '=')
        message = "not a [group], a key=value or a # comment";
      else if (!in_group)
        message = "a key before the first [group]";
      if (message != NULL)
        g_ptr_array_add (errors, g_strdup_printf ("%s:%d: %s", path, i + 1, message));
    }
}

static const struct kcp_ini_key *
find_spec (const struct kcp_ini_table *table, const char *group, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->keys[i].group, group) == 0
        && strcmp (table->keys[i].key, key) == 0)
      return &table->keys[i];
  return NULL;
}

/* Returns the line number of a key, starting with 1, or that of its group's header if the
   key is absent, or 0 if the group is absent too. The text is searched because GKeyFile
   does not record line numbers. */
static int
find_line (const char *text, const char *group, const char *key)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *header = g_strdup_printf ("[%s]", group);
  bool in_group = false;
  int group_line = 0;

  for (int i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);
      size_t len = strlen (key);

      if (line[0] == '[')
        {
          in_group = strcmp (line, header) == 0;
          if (in_group && group_line == 0)
            group_line = i + 1;
        }
      else if (in_group && strncmp (line, key, len) == 0
               && strchr (" \t=", line[len]) != NULL)
        return i + 1;
    }
  return group_line;
}

static void
add_error (GPtrArray *errors, const char *path, int line, const char *group,
           const char *key, const char *message)
{
  g_ptr_array_add (errors,
                   g_strdup_printf ("%s:%d: %s.%s: %s", path, line, group, key, message));
}
