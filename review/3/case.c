/* A configuration makes a tenant isolated. Requests of another tenant go on using the KV
   cache that the isolated tenant's requests made before. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review.h"

#define APPLY_MS 2000 /* config-apply-ms of the deployment */
#define SHARED   "5c1e07a2:13300"

static struct rv_engine engine;
static struct rv_vm machine;
static bool in_force; /* the configuration with the isolated tenant, for config-apply-ms */
static unsigned broken;

/* Called for each part that a request finds in the engine's memory. */
static void
on_use (struct rv_engine *at, const char *request, const char *tenant,
        const struct rv_part *part)
{
  bool foreign = strcmp (tenant, part->tenant) != 0;
  bool wall = strcmp (tenant, "one") == 0 || strcmp (part->tenant, "one") == 0;

  rv_record ("engine %s: request %s of tenant %s uses the cached part %s (salt|id, %d "
             "tokens) that a request of tenant %s made",
             at->id, request, tenant, part->key, part->tokens, part->tenant);
  if (foreign && wall && in_force)
    {
      broken++;
      rv_record ("WALL: tenant one is isolated, tenants %s and %s share a part", tenant,
                 part->tenant);
    }
}

static void
send_request (const char *id, const char *key, const char *own_part)
{
  char head[1024];
  struct rv_answer answer;

  (void)snprintf (head, sizeof head,
                  "POST /review/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
                  "Model: mod\r\nToken-Usage: 17020,17\r\nPrompt-Prefix: " SHARED
                  ",%s:3720\r\nRequest-Deadline: 6000\r\nAuthorization: Bearer %s\r\n",
                  id, own_part, key);
  rv_record ("client: sends %s with the key %s", id, key);
  answer = rv_call (machine.port, head, "prompt", 7000);
  rv_record ("client: %s answered %d, %s, %zu bytes", id, answer.status,
             answer.complete ? "complete" : "not complete", answer.len);
  if (answer.status != 200 || !answer.complete)
    rv_end (2);
  free (answer.body);
}

int
main (int argc, char **argv)
{
  bool trouble = rv_begin (argc > 1 ? argv[1] : ".");

  rv_store_start ();
  rv_put_config (3, false);
  rv_record ("operator: configuration 3, tenant one is not isolated, acknowledged");
  engine.on_use = on_use;
  rv_engine_start (&engine, "i-1", "townsville");
  rv_vm_prepare (&machine, "front-townsville-1", "townsville");
  rv_vm_start (&machine);
  if (!rv_vm_wait_ready (&machine, 8000))
    rv_end (2);
  rv_sleep_ms (1500);
  send_request ("r1", "key-one", "00000001");
  send_request ("r2", "key-one", "00000002");
  rv_sleep_ms (500);
  if (trouble)
    {
      rv_put_config (5, true);
      rv_record ("operator: configuration 5, tenant one is isolated, acknowledged");
    }
  rv_sleep_ms (APPLY_MS + 1000);
  in_force = trouble;
  send_request ("r3", "key-one", "00000003");
  send_request ("r4", "key-two", "00000004");
  send_request ("r5", "key-two", "00000005");
  rv_end (broken > 0 ? 1 : 0);
}
