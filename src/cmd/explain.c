/* Prints the history of one routed request from the logs of the VMs that handled it: each
   decision with its inputs, and recent events of the backend servers that it was sent to
   and of these VMs. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/json_lines.h"
#include "cmd/options.h"

/* Events of servers and VMs are shown if they occurred during the request or up to this
   long before it. */
#define CONTEXT_MS 5000

struct trace
{
  const char *id;
  json_t *lines;   /* of all files, sorted by time */
  json_t *servers; /* set of the servers that the request was sent to */
  json_t *vms;     /* set of the VMs that handled the request */
  int64_t first_ms;
  int64_t last_ms;
  unsigned line_count; /* number of log lines of the request */
};

struct event_description
{
  const char *name; /* in the log */
  const char *text;
};

static bool read_files (json_t *lines, int count, char **paths);
static int compare_lines (const void *a, const void *b);
static json_t *sort_lines (const json_t *lines);
static void collect_request (struct trace *trace);
static void print_trace (const struct trace *trace);
static bool belongs_to_request (const struct trace *trace, const json_t *line);
static bool is_context (const struct trace *trace, const json_t *line);
static bool is_vm_event (const json_t *line);
static void print_line (const struct trace *trace, const json_t *line);
static void print_fields (const json_t *line);
static const char *describe (const char *event);
static const char *string_member (const json_t *line, const char *key);
static int64_t line_time_ms (const json_t *line);

/* Descriptions of the events of a request and of the events shown as its context. */
static const struct event_description event_descriptions[] = {
  { "sent", "sent to a server" },
  { "attempt_failed", "the server returned no answer that could be relayed" },
  { "passed_on", "passed on to another VM: this one reaches no server of the service" },
  { "hop_failed", "the other VM declined it, or its answer is incomplete" },
  { "backlog", "refused: too much prefill work queued ahead of it at the best server" },
  { "blocked", "not sent: copies of it have crashed too many servers" },
  { "request", "ended" },
  { "server", "(server) its entry changed" },
  { "server_weights", "(server) reported new weights" },
  { "server_crashed", "(server) crashed with requests in flight" },
  { "order_sent", "(server) was ordered to load new weights" },
  { "order_answered", "(server) answered the order" },
  { "order_ended", "(server) the order ended" },
  { "store_lost", "(VM) lost access to the platform's store" },
  { "store_regained", "(VM) regained access to the platform's store" },
  { "draining", "(VM) started to drain" },
  { "closing", "(VM) stopped accepting requests" },
  { "started", "(VM) started" },
};

/* Prints the history of one request. Returns KCP_EXIT_FAILED if a file cannot be read or
   no log line refers to the request. */
int
kcp_cmd_explain (int argc, char **argv)
{
  const GOptionEntry entries[] = { { 0 } };
  struct trace trace = { 0 };
  json_t *unsorted = json_array ();
  int code = KCP_EXIT_USAGE;

  if (!kcp_options_parse (&argc, &argv, entries, "ID FILE…",
                          "kingcuppoint explain 7fc5a6c8fb8476cf vm-1.log vm-2.log"))
    goto out;
  if (argc < 3)
    {
      (void)fprintf (
          stderr,
          "kingcuppoint: explain: a request ID and at least one FILE are required\n");
      goto out;
    }
  code = KCP_EXIT_FAILED;
  if (!read_files (unsorted, argc - 2, &argv[2]))
    goto out;
  trace = (struct trace){
    .id = argv[1],
    .lines = sort_lines (unsorted),
    .servers = json_object (),
    .vms = json_object (),
  };
  collect_request (&trace);
  if (trace.line_count == 0)
    {
      (void)fprintf (stderr, "kingcuppoint: explain: no log line refers to request %s\n",
                     trace.id);
      goto out;
    }
  print_trace (&trace);
  code = KCP_EXIT_OK;
out:
  json_decref (trace.lines);
  json_decref (trace.servers);
  json_decref (trace.vms);
  json_decref (unsorted);
  return code;
}

static bool
read_files (json_t *lines, int count, char **paths)
{
  for (int i = 0; i < count; i++)
    if (!kcp_json_lines_read (lines, paths[i], KCP_JSON_LINES_LOG))
      return false;
  return true;
}

/* Compares lines by time. The sort is stable, so lines of the same millisecond keep the
   order in which they were written. */
static int
compare_lines (const void *a, const void *b)
{
  const json_t *const *first = a;
  const json_t *const *second = b;
  int64_t difference = line_time_ms (*first) - line_time_ms (*second);

  if (difference != 0)
    return difference < 0 ? -1 : 1;
  return 0;
}

static json_t *
sort_lines (const json_t *lines)
{
  GPtrArray *order = g_ptr_array_new ();
  json_t *sorted = json_array ();
  json_t *line;
  size_t i;

  json_array_foreach (lines, i, line)
  {
    g_ptr_array_add (order, line);
  }
  g_ptr_array_sort (order, compare_lines);
  for (guint at = 0; at < order->len; at++)
    json_array_append (sorted, g_ptr_array_index (order, at));
  g_ptr_array_unref (order);
  return sorted;
}

static void
collect_request (struct trace *trace)
{
  json_t *line;
  size_t i;

  json_array_foreach (trace->lines, i, line)
  {
    const char *server = string_member (line, "server");
    const char *vm = string_member (line, "vm");

    if (!belongs_to_request (trace, line))
      continue;
    if (trace->line_count++ == 0)
      trace->first_ms = line_time_ms (line);
    trace->last_ms = line_time_ms (line);
    if (server != NULL)
      json_object_set_new (trace->servers, server, json_true ());
    if (vm != NULL)
      json_object_set_new (trace->vms, vm, json_true ());
  }
}

static void
print_trace (const struct trace *trace)
{
  json_t *line;
  size_t i;

  (void)printf ("request %s: %u lines, %" PRId64 " ms from its first to its last\n",
                trace->id, trace->line_count, trace->last_ms - trace->first_ms);
  json_array_foreach (trace->lines, i, line)
  {
    if (belongs_to_request (trace, line) || is_context (trace, line))
      print_line (trace, line);
  }
}

static bool
belongs_to_request (const struct trace *trace, const json_t *line)
{
  return g_strcmp0 (string_member (line, "request"), trace->id) == 0;
}

/* Returns true if a line belongs to no request and describes a recent event of a server
   that the request was sent to, or of a VM that handled it. */
static bool
is_context (const struct trace *trace, const json_t *line)
{
  const char *server = string_member (line, "server");
  const char *vm = string_member (line, "vm");
  int64_t at_ms = line_time_ms (line);

  if (string_member (line, "request") != NULL || at_ms < trace->first_ms - CONTEXT_MS
      || at_ms > trace->last_ms || describe (string_member (line, "event")) == NULL)
    return false;
  if (server != NULL && json_object_get (trace->servers, server) != NULL)
    return true;
  return vm != NULL && json_object_get (trace->vms, vm) != NULL && is_vm_event (line);
}

static bool
is_vm_event (const json_t *line)
{
  return string_member (line, "server") == NULL;
}

static void
print_line (const struct trace *trace, const json_t *line)
{
  const char *event = string_member (line, "event");
  const char *text = describe (event);

  (void)printf ("%+8" PRId64 " ms  %s  %s%s%s:", line_time_ms (line) - trace->first_ms,
                string_member (line, "vm"), event, text != NULL ? ", " : "",
                text != NULL ? text : "");
  print_fields (line);
  (void)putchar ('\n');
}

/* Prints the fields of a line, except empty ones and those printed by print_line(). */
static void
print_fields (const json_t *line)
{
  static const char *const printed_already[]
      = { "t_ms", "vm", "dc", "event", "request", NULL };
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)line, key, value)
  {
    if (g_strv_contains (printed_already, key))
      continue;
    if (json_is_integer (value))
      (void)printf (" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value (value));
    else if (json_is_string (value) && json_string_length (value) > 0)
      (void)printf (" %s=%s", key, json_string_value (value));
  }
}

/* Returns the description of an event, or NULL if the event is neither part of a request
   nor shown as context. */
static const char *
describe (const char *event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_descriptions); i++)
    if (g_strcmp0 (event, event_descriptions[i].name) == 0)
      return event_descriptions[i].text;
  return NULL;
}

static const char *
string_member (const json_t *line, const char *key)
{
  return json_string_value (json_object_get (line, key));
}

static int64_t
line_time_ms (const json_t *line)
{
  return json_integer_value (json_object_get (line, "t_ms"));
}
