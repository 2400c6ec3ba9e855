/* What the callers of a soak test got, held against what its servers recorded. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/fleet.h"

#define CONFIG_MARGIN_US (4 * G_USEC_PER_SEC) /* until all VMs have a version */
#define TOUCH_US         (4 * G_USEC_PER_SEC) /* undisturbed before a VM is in touch */
#define OVERLAP_MAX_US   (400 * 1000)         /* of two servers at work on a stream */
#define UNSENT_MAX_US    (20 * 1000) /* from the end of a run until its bytes are sent */
#define PRINTED_MAX      40u
#define TEXT_BYTES       300

struct record
{
  int64_t time_us;
  char instance[24];
  char event[16];
  char detail[64];
};

struct violation
{
  const char *rule;
  char id[24];
  char *text;
};

/* A run of a request at a server. */
struct run
{
  const struct record *begin;
  int64_t end_us; /* INT64_MAX: it never ended */
};

static GHashTable *records;   /* id -> GArray of struct record, in order of time */
static GHashTable *processes; /* instance -> GArray of struct record of its process */
static GPtrArray *violations; /* struct violation */
static GMutex violations_lock;

static void load_records (void);
static void check_attempt (const struct fleet_attempt *attempt);
static void check_overlap (const struct fleet_attempt *attempt);
static void print_violation (const struct violation *violation);

/* Notes a broken rule, for the end of the test. text is copied. */
void
fleet_broken (const char *rule, const char *id, const char *text)
{
  struct violation *violation = g_new0 (struct violation, 1);

  violation->rule = rule;
  (void)g_strlcpy (violation->id, id, sizeof violation->id);
  violation->text = g_strndup (text, TEXT_BYTES);
  g_mutex_lock (&violations_lock);
  if (violations == NULL)
    violations = g_ptr_array_new ();
  g_ptr_array_add (violations, violation);
  g_mutex_unlock (&violations_lock);
  g_atomic_int_inc (&fleet.violations);
}

static void
free_records (void *data)
{
  g_array_unref (data);
}

static GArray *
records_of (GHashTable *table, const char *key)
{
  GArray *list = g_hash_table_lookup (table, key);

  if (list != NULL)
    return list;
  list = g_array_new (FALSE, FALSE, sizeof (struct record));
  g_hash_table_insert (table, g_strdup (key), list);
  return list;
}

static gint
compare_records (gconstpointer a, gconstpointer b)
{
  const struct record *one = a;
  const struct record *other = b;

  return one->time_us < other->time_us ? -1 : one->time_us > other->time_us;
}

static void
load_line (const char *line)
{
  struct record record = { 0 };
  char id[48];

  if (sscanf (line, "%" G_GINT64_FORMAT " %23s %15s %47s %63[^\n]", &record.time_us,
              record.instance, record.event, id, record.detail)
      < 4)
    return;
  if (strcmp (id, "-") == 0)
    g_array_append_val (records_of (processes, record.instance), record);
  else
    g_array_append_val (records_of (records, id), record);
}

static void
load_records (void)
{
  GHashTableIter iter;
  gpointer list;

  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_records);
  processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_records);
  for (unsigned i = 0; i < fleet.server_count; i++)
    {
      g_autofree char *text = NULL;
      char *state = NULL;

      if (!g_file_get_contents (fleet.servers[i].records, &text, NULL, NULL))
        continue;
      for (char *line = strtok_r (text, "\n", &state); line != NULL;
           line = strtok_r (NULL, "\n", &state))
        load_line (line);
    }
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    g_array_sort (list, compare_records);
}

/* Returns true if the attempt's request may run once at most, whatever version of the
   configuration a VM had. */
static bool
runs_once (const struct fleet_attempt *attempt)
{
  bool once = true;

  if (attempt->kind != FLEET_CHANGING)
    return attempt->kind == FLEET_STREAM || attempt->kind == FLEET_ONCE;
  for (guint i = 0; i < fleet.changes->len; i++)
    {
      const struct fleet_change *change
          = &g_array_index (fleet.changes, struct fleet_change, i);

      if (change->at_us < attempt->begin_us - CONFIG_MARGIN_US)
        once = change->once;
      else if (change->at_us <= attempt->end_us)
        once = once && change->once;
    }
  return once;
}

/* Returns the runs of a request, in order of their begin. */
static GArray *
find_runs (const char *id)
{
  GArray *list = g_hash_table_lookup (records, id);
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct run));

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct record *record = &g_array_index (list, struct record, i);
      struct run run = { .begin = record, .end_us = INT64_MAX };

      if (strcmp (record->event, "begin") == 0)
        g_array_append_val (runs, run);
      else if (strcmp (record->event, "end") == 0
               || strcmp (record->event, "abandoned") == 0)
        for (guint j = runs->len; j > 0; j--)
          {
            struct run *begun = &g_array_index (runs, struct run, j - 1);

            if (begun->end_us != INT64_MAX
                || strcmp (begun->begin->instance, record->instance) != 0)
              continue;
            begun->end_us = record->time_us;
            break;
          }
    }
  return runs;
}

/* Returns the first time of an event of a server's process after a time, or
   INT64_MAX. */
static int64_t
next_process_event (const char *instance, const char *event, int64_t after_us)
{
  GArray *list = g_hash_table_lookup (processes, instance);
  int64_t found = INT64_MAX;

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct record *record = &g_array_index (list, struct record, i);

      if (strcmp (record->event, event) == 0 && record->time_us >= after_us)
        found = MIN (found, record->time_us);
    }
  return found;
}

/* Returns true if the VM had a fault between two times, or so shortly before them that
   it was out of touch. */
static bool
vm_was_disturbed (unsigned vm, int64_t from_us, int64_t to_us)
{
  for (guint i = 0; i < fleet.disturbances->len; i++)
    {
      const struct fleet_disturbance *disturbance
          = &g_array_index (fleet.disturbances, struct fleet_disturbance, i);

      if (disturbance->vm == vm && disturbance->at_us >= from_us - TOUCH_US
          && disturbance->at_us <= to_us)
        return true;
    }
  return false;
}

/* Checks that no two servers worked on a stream for long. A server that was stopped or
   late can't see that it is to stop. */
static void
check_overlap (const struct fleet_attempt *attempt)
{
  g_autoptr (GArray) runs = find_runs (attempt->id);

  for (guint i = 0; i + 1 < runs->len; i++)
    {
      const struct run *run = &g_array_index (runs, struct run, i);
      const struct run *next = &g_array_index (runs, struct run, i + 1);
      const char *instance = run->begin->instance;
      int64_t end_us = MIN (run->end_us,
                            next_process_event (instance, "killed", run->begin->time_us));

      if (end_us <= next->begin->time_us + OVERLAP_MAX_US
          || next_process_event (instance, "stopped", run->begin->time_us) < end_us
          || next_process_event (instance, "late", run->begin->time_us) < end_us
          || fleet_link_was_harmed (instance, run->begin->time_us, end_us)
          || vm_was_disturbed (attempt->vm, run->begin->time_us, end_us))
        continue;
      fleet_broken ("TWICE, two servers at work on a stream", attempt->id, "");
    }
}

static bool
has_promise (const struct fleet_attempt *attempt)
{
  return attempt->complete
         && (attempt->status == 503 || attempt->status == 429 || attempt->status == 408
             || attempt->status == 421);
}

static void
check_attempt (const struct fleet_attempt *attempt)
{
  g_autoptr (GArray) runs = find_runs (attempt->id);
  GArray *list = g_hash_table_lookup (records, attempt->id);
  char status[16];

  for (guint i = 0; list != NULL && i < list->len; i++)
    if (strcmp (g_array_index (list, struct record, i).event, "garbled") == 0)
      fleet_broken ("UNASKED, another body", attempt->id, "");
  if (attempt->kind == FLEET_RESUMABLE)
    check_overlap (attempt);
  if (!runs_once (attempt))
    return;
  (void)g_snprintf (status, sizeof status, "status %d", attempt->status);
  if (runs->len > 1)
    fleet_broken ("TWICE", attempt->id, status);
  if (runs->len > 0 && has_promise (attempt))
    fleet_broken ("REFUSED", attempt->id, status);
  fleet.resets += attempt->unread_retried;
  fleet.reset_runs += attempt->unread_retried && runs->len > 0;
  fleet.closes += attempt->closed_unanswered;
  fleet.close_runs += attempt->closed_unanswered && runs->len > 0;
}

/* Prints the lines of the VMs' logs that name a request. */
static void
print_log_lines (const char *id)
{
  g_autofree char *quoted = g_strdup_printf ("\"%s\"", id);

  for (unsigned i = 0; i < fleet.vm_count; i++)
    {
      g_autofree char *text = NULL;

      if (!g_file_get_contents (fleet.vms[i].log, &text, NULL, NULL))
        continue;
      for (const char *at = strstr (text, quoted); at != NULL; at = strstr (at, quoted))
        {
          const char *start = at;
          size_t len;

          while (start > text && start[-1] != '\n')
            start--;
          len = strcspn (start, "\n");
          (void)printf ("    vm%u: %.*s\n", i, (int)len, start);
          at = start + len;
        }
    }
}

/* Appends what the servers that ran a request did wrong, by their own records. */
static void
describe_servers (const char *id, GString *out)
{
  g_autoptr (GArray) runs = find_runs (id);

  for (guint i = 0; i < runs->len; i++)
    {
      const struct run *run = &g_array_index (runs, struct run, i);
      const char *framing = strstr (run->begin->detail, "framing=");
      int64_t killed_us
          = next_process_event (run->begin->instance, "killed", run->begin->time_us);
      bool killed
          = killed_us != INT64_MAX
            && (run->end_us == INT64_MAX || killed_us - run->end_us < UNSENT_MAX_US);

      g_string_append_printf (
          out, "%s%.*s%s", i > 0 ? " then " : "",
          framing != NULL ? (int)(strstr (framing, "after=") - framing) : 0,
          framing != NULL ? framing : "", killed ? "killed" : "");
    }
  if (runs->len == 0)
    g_string_append (out, "no run");
}

static void
print_violation (const struct violation *violation)
{
  g_autoptr (GString) servers = g_string_new (NULL);
  GArray *list = g_hash_table_lookup (records, violation->id);

  describe_servers (violation->id, servers);
  (void)printf ("BROKEN %s: seed %u, request %s (%s): %s\n", violation->rule, fleet.seed,
                violation->id, servers->str, violation->text);
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct record *record = &g_array_index (list, struct record, i);

      (void)printf ("    %" G_GINT64_FORMAT " %s %s %s killed=%" G_GINT64_FORMAT "\n",
                    record->time_us, record->instance, record->event, record->detail,
                    next_process_event (record->instance, "killed", record->time_us));
    }
  print_log_lines (violation->id);
}

/* Prints how often each rule was broken, by what the servers did. */
static void
print_counts (void)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer text;
  gpointer count;

  for (guint i = 0; i < violations->len; i++)
    {
      const struct violation *violation = g_ptr_array_index (violations, i);
      GString *key = g_string_new (violation->rule);

      g_string_append (key, ": ");
      describe_servers (violation->id, key);
      count = g_hash_table_lookup (counts, key->str);
      g_hash_table_insert (counts, g_string_free (key, FALSE),
                           GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
    }
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &text, &count))
    (void)printf ("COUNT %d %s\n", GPOINTER_TO_INT (count), (const char *)text);
  g_hash_table_unref (counts);
}

/* Checks all attempts against the servers' records and prints what broke a rule. */
void
fleet_check (void)
{
  load_records ();
  for (guint i = 0; i < fleet.attempts->len; i++)
    check_attempt (&g_array_index (fleet.attempts, struct fleet_attempt, i));
  for (guint i = 0; violations != NULL && i < MIN (violations->len, PRINTED_MAX); i++)
    print_violation (g_ptr_array_index (violations, i));
  if (violations != NULL)
    print_counts ();
  g_hash_table_unref (records);
  g_hash_table_unref (processes);
}
