/* Runs a small deployment of three data centers, sends calls of every class through
   different entry VMs and prints the answers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"

#define LONG_PROMPT_BYTES 12000
#define TOKENS            16

struct demo_call
{
  const char *title;
  guint vm;
  const char *profile;
  const char *path;
  const char *body;
  const char *prompt; /* NULL: not a completion */
  const char *idempotency_key;
  bool stream;
  int64_t cached_tokens; /* expected; -1: any */
};

static bool run_call (struct cluster *cluster, const struct demo_call *call);
static bool
answer_is_correct (const struct demo_call *call, const struct client_answer *answer);
static char *long_prompt (const char *question);
static char *long_prompt_body (const char *question);
static bool stop_vms (struct cluster *cluster);

/* Exits with 0 only if every answer was complete and correct and every VM stopped
   cleanly. */
int
main (void)
{
  static char *const engine_options[] = { "--token-ms", "5", "--prefill-us", "50", NULL };
  struct cluster *cluster = cluster_new ("demo");
  g_autofree char *prompt = long_prompt ("Is tanker 4 fit to leave?");
  g_autofree char *prompt2 = long_prompt ("Is tanker 5 fit to leave?");
  g_autofree char *manifest = long_prompt_body ("Is tanker 4 fit to leave?");
  g_autofree char *manifest2 = long_prompt_body ("Is tanker 5 fit to leave?");
  bool correct = true;
  const struct demo_call calls[] = {
    { "manifest review, streamed, cold prefix", 0, "review", "/v1/chat/completions",
      manifest, prompt, NULL, true, 0 },
    { "manifest review, streamed, shared prefix", 1, "review", "/v1/chat/completions",
      manifest2, prompt2, NULL, true, 3000 },
    { "route question, urgent", 2, "urgent", "/v1/completions",
      "{\"model\":\"" CLUSTER_MODEL
      "\",\"prompt\":\"Which road to Ayr?\",\"max_tokens\":16}",
      "Which road to Ayr?", NULL, false, 0 },
    { "status lookup, idempotent", 1, "lookup", "/services/" CLUSTER_SERVICE "/status/17",
      NULL, NULL, NULL, false, -1 },
    { "delivery booking", 0, "booking", "/services/" CLUSTER_SERVICE "/book",
      "{\"tanker\":4,\"to\":\"clinic\"}", NULL, "demo-booking-1", false, -1 },
    { "the same booking at another VM", 2, "booking",
      "/services/" CLUSTER_SERVICE "/book", "{\"tanker\":4,\"to\":\"clinic\"}", NULL,
      "demo-booking-1", false, -1 },
  };

  cluster_add_engine (cluster, "engine-1", "dc1", engine_options);
  cluster_add_engine (cluster, "engine-2", "dc2", engine_options);
  cluster_add_engine (cluster, "engine-3", "dc3", engine_options);
  cluster_add_service (cluster, "service-1", "dc1");
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-2", "dc2", NULL);
  cluster_add_vm (cluster, "vm-3", "dc3", NULL);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    correct = run_call (cluster, &calls[i]) && correct;
  correct = stop_vms (cluster) && correct;
  cluster_free (cluster);
  (void)puts (correct ? "demo: every answer was complete and right" : "demo: FAILED");
  return correct ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
run_call (struct cluster *cluster, const struct demo_call *call)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, call->vm)->port,
      .path = call->path,
      .key = CLUSTER_TEAM_KEY,
      .profile = call->profile,
      .idempotency_key = call->idempotency_key,
      .body = call->body,
  });
  g_autofree char *backend = client_header (&answer, "Kingcuppoint-Backend");
  g_autofree char *data_center = client_header (&answer, "Kingcuppoint-Data-Center");
  bool correct = answer_is_correct (call, &answer);

  (void)printf ("%-42s HTTP %ld at %s in %s", call->title, answer.status,
                backend ? backend : "-", data_center ? data_center : "-");
  if (client_cached_tokens (&answer) >= 0)
    (void)printf (", %" G_GINT64_FORMAT " tokens cached", client_cached_tokens (&answer));
  (void)printf (", first byte %.1f ms, complete %.1f ms: %s\n",
                (double)answer.first_byte_us / 1000, (double)answer.total_us / 1000,
                correct ? "right" : "WRONG");
  if (!correct)
    (void)printf ("%s\n", answer.body->str);
  client_answer_clear (&answer);
  return correct;
}

static bool
answer_is_correct (const struct demo_call *call, const struct client_answer *answer)
{
  g_autofree char *expected
      = client_expected_text (call->prompt ? call->prompt : "", TOKENS);
  g_autofree char *text = NULL;
  bool done = false;

  if (answer->curl != 0 || answer->status != 200)
    return false;
  if (call->cached_tokens >= 0 && client_cached_tokens (answer) != call->cached_tokens)
    return false;
  if (g_str_has_prefix (call->path, "/services/"))
    return call->idempotency_key == NULL
           || strstr (answer->body->str, "\"execution\":1") != NULL;
  if (!call->stream)
    return strstr (answer->body->str, expected) != NULL;
  text = client_stream_text (answer, &done);
  return done && g_strcmp0 (text, expected) == 0;
}

/* Returns the concatenated contents of both messages, to be freed with g_free(). */
static char *
long_prompt (const char *question)
{
  g_autoptr (GString) text = g_string_new (NULL);

  for (int i = 0; i * 6 < LONG_PROMPT_BYTES; i++)
    g_string_append_printf (text, "r%04d ", i);
  g_string_append (text, question);
  return g_strdup (text->str);
}

static char *
long_prompt_body (const char *question)
{
  g_autofree char *prompt = long_prompt (question);
  size_t head = strlen (prompt) - strlen (question);

  return g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL
                          "\",\"stream\":true,\"max_tokens\":16,"
                          "\"messages\":[{\"role\":\"system\",\"content\":\"%.*s\"},"
                          "{\"role\":\"user\",\"content\":\"%s\"}]}",
                          (int)head, prompt, question);
}

static bool
stop_vms (struct cluster *cluster)
{
  bool clean = true;

  for (guint i = 0; i < cluster->vms->len; i++)
    process_signal (cluster_vm (cluster, i), SIGTERM);
  for (guint i = 0; i < cluster->vms->len; i++)
    clean = process_wait (cluster_vm (cluster, i)) == 0 && clean;
  return clean;
}
