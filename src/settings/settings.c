#include "settings/settings.h"

#include <sodium.h>
#include <stddef.h>
#include <string.h>

#include "base/str.h"

#define PORT_MAX 65535

enum key_type
{
  KEY_TEXT,
  KEY_NAME,
  KEY_HEX_KEY,
  KEY_INT
};

struct key_kind
{
  const char *group;
  const char *key;
  enum key_type type;
  size_t offset;
  bool required;
  const char *fallback; /* used for an absent text */
  int64_t min;
  int64_t max;
  int64_t standard; /* used for an absent number */
};

#define TEXT(group, key, member, required, fallback)                                     \
  {                                                                                      \
    group, key, KEY_TEXT, offsetof (struct kcp_settings, member), required, fallback, 0, \
        0, 0                                                                             \
  }
#define NAME(group, key, member)                                                         \
  {                                                                                      \
    group, key, KEY_NAME, offsetof (struct kcp_settings, member), true, NULL, 0, 0, 0    \
  }
#define HEX_KEY(group, key, member)                                                      \
  {                                                                                      \
    group, key, KEY_HEX_KEY, offsetof (struct kcp_settings, member), true, NULL, 0, 0, 0 \
  }
#define INT(group, key, member, min, max, standard)                                      \
  {                                                                                      \
    group, key, KEY_INT, offsetof (struct kcp_settings, member), false, NULL, min, max,  \
        standard                                                                         \
  }

static const struct key_kind kinds[] = {
  NAME ("vm", "id", vm_id),
  NAME ("vm", "data_center", vm_data_center),
  INT ("vm", "workers", vm_workers, 1, 64, 2),
  INT ("vm", "drain_notice_ms", vm_drain_notice_ms, 0, 600000, 3000),
  INT ("vm", "drain_limit_ms", vm_drain_limit_ms, 0, 3600000, 600000),
  INT ("vm", "timeline_entries", vm_timeline_entries, 16, 1000000, 16384),
  TEXT ("callers", "address", callers_address, false, "127.0.0.1"),
  INT ("callers", "port", callers_port, 0, PORT_MAX, 8080),
  INT ("callers", "threads", callers_threads, 1, 64, 2),
  INT ("callers", "max_body_bytes", callers_max_body_bytes, 1024, 1 << 30, 8 << 20),
  INT ("callers", "max_header_bytes", callers_max_header_bytes, 1024, 1 << 20, 8 << 10),
  INT ("callers", "max_connections", callers_max_connections, 1, 65536, 4096),
  INT ("callers", "max_json_depth", callers_max_json_depth, 4, 1024, 64),
  INT ("callers", "idle_timeout_s", callers_idle_timeout_s, 1, 3600, 15),
  INT ("callers", "heartbeat_ms", callers_heartbeat_ms, 50, 600000, 5000),
  INT ("callers", "stream_buffer_bytes", callers_stream_buffer_bytes, 1024, 16 << 20,
       32 << 10),
  INT ("callers", "default_deadline_ms", callers_default_deadline_ms, 1, 86400000,
       300000),
  INT ("callers", "max_deadline_ms", callers_max_deadline_ms, 1, 86400000, 3600000),
  TEXT ("callers", "tls_certificate", callers_tls_certificate, false, NULL),
  TEXT ("callers", "tls_key", callers_tls_key, false, NULL),
  TEXT ("operators", "address", operators_address, false, "127.0.0.1"),
  INT ("operators", "port", operators_port, 0, PORT_MAX, 8081),
  TEXT ("operators", "token", operators_token, true, NULL),
  TEXT ("operators", "tls_certificate", operators_tls_certificate, false, NULL),
  TEXT ("operators", "tls_key", operators_tls_key, false, NULL),
  TEXT ("peers", "address", peers_address, false, "127.0.0.1"),
  INT ("peers", "port", peers_port, 0, PORT_MAX, 8082),
  HEX_KEY ("peers", "key", peers_key),
  INT ("peers", "probe_interval_ms", peers_probe_interval_ms, 10, 60000, 500),
  TEXT ("platform", "log_url", platform_log_url, true, NULL),
  TEXT ("platform", "list_url", platform_list_url, true, NULL),
  INT ("platform", "timeout_ms", platform_timeout_ms, 10, 60000, 1000),
  INT ("platform", "poll_ms", platform_poll_ms, 10, 60000, 500),
  INT ("platform", "checkpoint_records", platform_checkpoint_records, 1, 1000000, 512),
  INT ("platform", "checkpoint_age_s", platform_checkpoint_age_s, 1, 86400, 3600),
  INT ("backends", "connect_timeout_ms", backends_connect_timeout_ms, 1, 60000, 250),
  INT ("backends", "idle_timeout_ms", backends_idle_timeout_ms, 10, 3600000, 5000),
  INT ("backends", "load_poll_ms", backends_load_poll_ms, 10, 60000, 200),
  INT ("backends", "believed_blocks", backends_believed_blocks, 1024, 1 << 26, 1 << 18),
  INT ("backends", "concurrency", backends_concurrency, 1, 65536, 64),
  INT ("backends", "max_loading", backends_max_loading, 1, 64, 2),
  INT ("backends", "order_lease_ms", backends_order_lease_ms, 500, 600000, 5000),
  INT ("booking", "partitions", booking_partitions, 1, 1024, 4),
  INT ("booking", "batch_ms", booking_batch_ms, 0, 1000, 2),
  INT ("booking", "dedupe_window_s", booking_dedupe_window_s, 1, 31536000, 86400),
  INT ("booking", "checkpoint_ms", booking_checkpoint_ms, 100, 86400000, 3600000),
  INT ("booking", "outcome_retry_ms", booking_outcome_retry_ms, 0, 86400000, 600000),
  INT ("retry", "budget_percent", retry_budget_percent, 0, 100, 10),
  INT ("retry", "quarantine_s", quarantine_s, 1, 86400, 3600),
};

static struct kcp_settings *
build (const char *path, const char *text, GKeyFile *file, GPtrArray *errors);
static void
read_key (const char *path, const char *text, GKeyFile *file, const struct key_kind *kind,
          struct kcp_settings *settings, GPtrArray *errors);
static void read_int (const char *path, const char *text, const char *value,
                      const struct key_kind *kind, int64_t *out, GPtrArray *errors);
static bool text_is_valid (const struct key_kind *kind, const char *value);
static void
find_unknown (const char *path, const char *text, GKeyFile *file, GPtrArray *errors);
static void find_repeated (const char *path, const char *text, GPtrArray *errors);
static void find_malformed (const char *path, const char *text, GPtrArray *errors);
static void check_together (const char *path, const char *text,
                            const struct kcp_settings *settings, GPtrArray *errors);
static void check_pair (const char *path, const char *text, const char *group,
                        const char *certificate, const char *key, GPtrArray *errors);
static const struct key_kind *find_kind (const char *group, const char *key);
static int find_line (const char *text, const char *group, const char *key);
static void add_error (GPtrArray *errors, const char *path, int line, const char *group,
                       const char *key, const char *what);

/* Reads and checks the file at path. Appends every error found, as an owned text
   "file:line: group.key: what, allowed range", to errors; returns NULL if there is one.
 */
struct kcp_settings *
kcp_settings_load (const char *path, GPtrArray *errors)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      g_ptr_array_add (errors, g_strdup_printf ("%s: %s", path, error->message));
      return NULL;
    }
  return kcp_settings_parse (path, text, errors);
}

/* Checks settings given as text; path only names the file in errors. No error shows a
   text of the file that may be a secret, so GKeyFile's own messages are not used. */
struct kcp_settings *
kcp_settings_parse (const char *path, const char *text, GPtrArray *errors)
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
  return build (path, text, file, errors);
}

/* Frees settings and their texts, clearing the secrets; NULL is allowed. */
void
kcp_settings_free (struct kcp_settings *settings)
{
  if (settings == NULL)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (kinds[i].type != KEY_INT)
      {
        char **text = (char **)((char *)settings + kinds[i].offset);

        if (*text != NULL)
          sodium_memzero (*text, strlen (*text));
        g_free (*text);
      }
  g_free (settings);
}

static struct kcp_settings *
build (const char *path, const char *text, GKeyFile *file, GPtrArray *errors)
{
  struct kcp_settings *settings = g_new0 (struct kcp_settings, 1);
  guint before = errors->len;

  find_unknown (path, text, file, errors);
  find_repeated (path, text, errors);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    read_key (path, text, file, &kinds[i], settings, errors);
  check_together (path, text, settings, errors);
  if (errors->len == before)
    return settings;
  kcp_settings_free (settings);
  return NULL;
}

static void
read_key (const char *path, const char *text, GKeyFile *file, const struct key_kind *kind,
          struct kcp_settings *settings, GPtrArray *errors)
{
  void *member = (char *)settings + kind->offset;
  char *value = g_key_file_get_string (file, kind->group, kind->key, NULL);
  int line = find_line (text, kind->group, kind->key);

  if (kind->type == KEY_INT)
    {
      read_int (path, text, value, kind, member, errors);
      g_free (value);
      return;
    }
  if (value == NULL && kind->required)
    add_error (errors, path, line, kind->group, kind->key,
               "missing, a value is required");
  if (value != NULL && !text_is_valid (kind, value))
    {
      add_error (
          errors, path, line, kind->group, kind->key,
          kind->type == KEY_HEX_KEY
              ? "not a key, 64 hexadecimal digits are allowed"
              : "not a valid text, 1 to 63 letters, digits, '-', '_' or '.' are allowed "
                "in names, and no empty text");
      g_free (value);
      value = NULL;
    }
  *(char **)member = value != NULL ? value : g_strdup (kind->fallback);
}

static void
read_int (const char *path, const char *text, const char *value,
          const struct key_kind *kind, int64_t *out, GPtrArray *errors)
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

static bool
text_is_valid (const struct key_kind *kind, const char *value)
{
  size_t len = strlen (value);

  switch (kind->type)
    {
    case KEY_TEXT:
      return len > 0;
    case KEY_NAME:
      for (const char *c = value; *c != '\0'; c++)
        if (!g_ascii_isalnum (*c) && strchr ("-_.", *c) == NULL)
          return false;
      return len > 0 && len < 64;
    case KEY_HEX_KEY:
      return len == 64 && strspn (value, "0123456789abcdefABCDEF") == 64;
    case KEY_INT:
      break;
    }
  return true;
}

static void
find_unknown (const char *path, const char *text, GKeyFile *file, GPtrArray *errors)
{
  g_auto (GStrv) groups = g_key_file_get_groups (file, NULL);

  for (char **group = groups; *group != NULL; group++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (file, *group, NULL, NULL);

      for (char **key = keys; key != NULL && *key != NULL; key++)
        if (find_kind (*group, *key) == NULL)
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

/* Checks keys that only make sense together. */
static void
check_together (const char *path, const char *text, const struct kcp_settings *settings,
                GPtrArray *errors)
{
  check_pair (path, text, "callers", settings->callers_tls_certificate,
              settings->callers_tls_key, errors);
  check_pair (path, text, "operators", settings->operators_tls_certificate,
              settings->operators_tls_key, errors);
  if (settings->callers_default_deadline_ms > settings->callers_max_deadline_ms)
    add_error (errors, path, find_line (text, "callers", "default_deadline_ms"),
               "callers", "default_deadline_ms", "greater than callers.max_deadline_ms");
}

static void
check_pair (const char *path, const char *text, const char *group,
            const char *certificate, const char *key, GPtrArray *errors)
{
  if (certificate != NULL && key == NULL)
    add_error (errors, path, find_line (text, group, "tls_certificate"), group, "tls_key",
               "missing, required with tls_certificate");
  if (key != NULL && certificate == NULL)
    add_error (errors, path, find_line (text, group, "tls_key"), group, "tls_certificate",
               "missing, required with tls_key");
}

static const struct key_kind *
find_kind (const char *group, const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (kinds[i].group, group) == 0 && strcmp (kinds[i].key, key) == 0)
      return &kinds[i];
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
