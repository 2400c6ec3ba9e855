#include "base/logger.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define LOGGER_FIELDS_MAX 16

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer user);
static const char *level_name (GLogLevelFlags level);
static void add_time (json_t *line);
static void add_field (json_t *line, const GLogField *field);

static char own_vm[64];
static char own_data_center[64];

/* Redirects all GLib log output to standard error as JSON lines that include the names of
   this VM and its data center. Must be called once, before other threads start. */
void
kcp_logger_init (const char *vm, const char *data_center)
{
  g_strlcpy (own_vm, vm, sizeof own_vm);
  g_strlcpy (own_data_center, data_center, sizeof own_data_center);
  g_log_set_writer_func (write_line, NULL, NULL);
}

/* Logs an event. The variable arguments are pairs of a field name and a string value, and
   a terminating NULL. Pairs whose value is NULL are omitted, and so are fields beyond
   LOGGER_FIELDS_MAX, a limit that includes the field with the event's name. */
void
kcp_logger_write (GLogLevelFlags level, const char *event, ...)
{
  GLogField fields[LOGGER_FIELDS_MAX];
  gsize count = 0;
  const char *key;
  va_list args;

  fields[count++] = (GLogField){ .key = "event", .value = event, .length = -1 };
  va_start (args, event);
  while ((key = va_arg (args, const char *)) != NULL && count < LOGGER_FIELDS_MAX)
    {
      const char *value = va_arg (args, const char *);

      if (value != NULL)
        fields[count++] = (GLogField){ .key = key, .value = value, .length = -1 };
    }
  va_end (args);
  g_log_structured_array (level, fields, count);
}

/* Logs a warning with the step, peer and detail of an error. request_id may be NULL. */
void
kcp_logger_error (const char *event, const char *request_id,
                  const struct kcp_error *error)
{
  kcp_logger_write (G_LOG_LEVEL_WARNING, event, "request", request_id, "error",
                    kcp_error_slug (error->code), "step", error->step, "peer",
                    error->peer, "detail", error->detail, NULL);
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer user)
{
  json_t *line = json_object ();
  char *text;

  (void)user;
  add_time (line);
  json_object_set_new (line, "level", json_string (level_name (level)));
  json_object_set_new (line, "vm", json_string (own_vm));
  json_object_set_new (line, "data_center", json_string (own_data_center));
  for (gsize i = 0; i < count; i++)
    add_field (line, &fields[i]);
  text = json_dumps (line, JSON_COMPACT);
  if (text != NULL)
    {
      flockfile (stderr);
      (void)fputs (text, stderr);
      (void)fputc ('\n', stderr);
      (void)fflush (stderr);
      funlockfile (stderr);
    }
  free (text);
  json_decref (line);
  return G_LOG_WRITER_HANDLED;
}

static const char *
level_name (GLogLevelFlags level)
{
  switch (level & G_LOG_LEVEL_MASK)
    {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
      return "error";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_DEBUG:
      return "debug";
    default:
      return "info";
    }
}

static void
add_time (json_t *line)
{
  struct timespec now = kcp_clock_realtime (&kcp_clock_system);
  struct tm parts;
  char seconds[32];
  g_autofree char *text = NULL;

  gmtime_r (&now.tv_sec, &parts);
  (void)strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &parts);
  text = g_strdup_printf ("%s.%06lldZ", seconds, now.tv_nsec / KCP_NS_PER_US);
  json_object_set_new (line, "time", json_string (text));
}

/* Adds a field whose value is a string. The fields that GLib adds, such as the source
   location and the priority, and binary fields are omitted. */
static void
add_field (json_t *line, const GLogField *field)
{
  if (g_str_has_prefix (field->key, "GLIB_") || strcmp (field->key, "PRIORITY") == 0)
    return;
  if (field->length >= 0)
    return;
  json_object_set_new (line, strcmp (field->key, "MESSAGE") == 0 ? "message" : field->key,
                       json_string (field->value));
}
