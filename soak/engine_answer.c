/* The answers of a soak test's server: their bytes, and what is wrong with them. */
#include <stdio.h>
#include <string.h>

#include "soak/engine.h"

#define STREAM_PREFIX    "/stream/"
#define BODY_BYTES_MAX   20000
#define BODY_BYTES_SMALL 600
#define WORK_MIN_US      2000
#define WORK_MAX_US      40000
#define GAP_MIN_US       2000
#define GAP_MAX_US       25000
#define SLOW_FACTOR      20
#define RETRY_AFTER_TEXT "0.05"

static void
add_events (struct engine_process *process, const struct engine_request *request,
            struct engine_plan *plan, unsigned count);
static void add_body (struct engine_process *process,
                      const struct engine_request *request, struct engine_plan *plan);
static enum engine_framing choose_framing (struct engine_process *process);
static unsigned choose_status (struct engine_process *process, enum engine_fault fault);

/* Decides how a request is answered that begins to run. The plan's members are owned by
   it. */
void
engine_plan_request (struct engine_process *process, enum engine_fault fault,
                     const struct engine_request *request, struct engine_plan *plan)
{
  unsigned events = 0;

  *plan = (struct engine_plan){
    .fault = fault,
    .framing = choose_framing (process),
    .status = choose_status (process, fault),
    .pieces = g_ptr_array_new_with_free_func (g_free),
    .gap_us = g_rand_int_range (process->random, GAP_MIN_US, GAP_MAX_US),
    .work_us = g_rand_int_range (process->random, WORK_MIN_US, WORK_MAX_US),
  };
  process->runs++;
  if (fault == ENGINE_SLOW)
    plan->work_us *= SLOW_FACTOR;
  if (sscanf (request->path, STREAM_PREFIX "%u", &events) == 1 && plan->status == 200)
    add_events (process, request, plan, events);
  else
    add_body (process, request, plan);
}

void
engine_plan_clear (struct engine_plan *plan)
{
  if (plan->pieces != NULL)
    g_ptr_array_unref (plan->pieces);
  *plan = (struct engine_plan){ 0 };
}

static void
add_events (struct engine_process *process, const struct engine_request *request,
            struct engine_plan *plan, unsigned count)
{
  for (unsigned i = request->resume_after + 1; i <= count; i++)
    g_ptr_array_add (plan->pieces,
                     g_strdup_printf ("id: %u\ndata: piece %u of %u for %s run %s-%u by "
                                      "%s\n\n",
                                      i, i, count, request->id, process->instance,
                                      process->runs, process->software));
}

static void
add_body (struct engine_process *process, const struct engine_request *request,
          struct engine_plan *plan)
{
  int len = g_rand_int_range (process->random, 0,
                              g_rand_boolean (process->random) ? BODY_BYTES_SMALL
                                                               : BODY_BYTES_MAX);
  g_autofree char *filler = g_strnfill ((gsize)len, 'x');

  g_ptr_array_add (plan->pieces,
                   g_strdup_printf ("for %s run %s-%u filler %d\n%s", request->id,
                                    process->instance, process->runs, len, filler));
}

static enum engine_framing
choose_framing (struct engine_process *process)
{
  static const enum engine_framing framings[]
      = { ENGINE_BY_CHUNKS, ENGINE_BY_CHUNKS, ENGINE_BY_LENGTH, ENGINE_BY_CLOSE };

  return framings[g_rand_int_range (process->random, 0, (gint32)G_N_ELEMENTS (framings))];
}

static unsigned
choose_status (struct engine_process *process, enum engine_fault fault)
{
  static const unsigned failures[] = { 500, 500, 503, 429, 408, 504 };

  if (fault != ENGINE_FAIL)
    return 200;
  return failures[g_rand_int_range (process->random, 0, (gint32)G_N_ELEMENTS (failures))];
}

/* Appends the head of an answer, after an interim one if the plan says so. */
void
engine_write_head (const struct engine_process *process,
                   const struct engine_request *request, const struct engine_plan *plan,
                   GString *out)
{
  size_t length = 0;
  bool closes = process->leaving || plan->fault == ENGINE_CLOSE_ANNOUNCED;

  for (guint i = 0; i < plan->pieces->len; i++)
    length += strlen (g_ptr_array_index (plan->pieces, i));
  if (plan->fault == ENGINE_INTERIM)
    g_string_append_printf (out,
                            "HTTP/1.1 103 Early Hints\r\nRequest-Id: %s\r\n"
                            "Not-Executed: 1\r\nRetry-After: 1\r\n\r\n",
                            request->id);
  g_string_append_printf (out, "HTTP/1.1 %u Answer\r\nRequest-Id: %s\r\n", plan->status,
                          request->id);
  g_string_append_printf (out, "Server-Seal: %s-%u\r\n", process->instance,
                          process->runs);
  if (g_str_has_prefix (request->path, STREAM_PREFIX))
    g_string_append (out, "Content-Type: text/event-stream\r\n");
  if (plan->framing == ENGINE_BY_LENGTH)
    g_string_append_printf (out, "Content-Length: %zu\r\n", length);
  else if (plan->framing == ENGINE_BY_CHUNKS)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  if (plan->framing == ENGINE_BY_CLOSE || closes)
    g_string_append (out, "Connection: close\r\n");
  else
    g_string_append (out, "Keep-Alive: timeout=2\r\n");
  g_string_append (out, "\r\n");
}

/* Appends bytes of a body as the plan's framing has them. */
void
engine_write_piece (const struct engine_plan *plan, const char *text, size_t len,
                    GString *out)
{
  if (plan->framing == ENGINE_BY_CHUNKS)
    g_string_append_printf (out, "%zx\r\n", len);
  g_string_append_len (out, text, (gssize)len);
  if (plan->framing == ENGINE_BY_CHUNKS)
    g_string_append (out, "\r\n");
}

/* Appends an answer that says that the request was not run. */
void
engine_write_refusal (const struct engine_request *request, unsigned status, GString *out)
{
  g_string_append_printf (out, "HTTP/1.1 %u Refused\r\nNot-Executed: 1\r\n", status);
  if (request->id[0] != '\0')
    g_string_append_printf (out, "Request-Id: %s\r\n", request->id);
  if (status == 503)
    g_string_append (out, "Retry-After: " RETRY_AFTER_TEXT "\r\n");
  g_string_append (out, "Content-Length: 0\r\n\r\n");
}
