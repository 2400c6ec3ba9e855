#include "tests/harness/fake_platform.h"

#include "tests/harness/fake_parts.h"

#define BORN_STEP 100 /* between the born fields of a server's incarnations */

/* Starts the store and the given number of servers. All servers are ready, offer service
   "s" and have version 1 of the weights of model "m". */
struct fake_platform *
fake_platform_start (unsigned servers)
{
  struct fake_platform *platform = g_new0 (struct fake_platform, 1);

  pthread_mutex_init (&platform->lock, NULL);
  platform->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_crashes_init (&platform->crashes);
  fake_store_start (&platform->store);
  platform->server_count = servers;
  for (unsigned i = 0; i < servers; i++)
    {
      fake_server_start (&platform->servers[i], platform, i);
      fake_platform_put_server (platform, i, "ready");
    }
  return platform;
}

/* Stops the servers and the store and frees the platform. */
void
fake_platform_stop (struct fake_platform *platform)
{
  platform->stopping = true;
  fake_store_begin_stop (&platform->store);
  fake_crashes_join (&platform->crashes);
  for (unsigned i = 0; i < platform->server_count; i++)
    fake_server_stop (&platform->servers[i]);
  fake_store_stop (&platform->store);
  fake_crashes_clear (&platform->crashes);
  g_hash_table_unref (platform->runs);
  pthread_mutex_destroy (&platform->lock);
  g_free (platform);
}

/* Returns a server, whose members the test may read and set. */
struct fake_server *
fake_platform_server (struct fake_platform *platform, unsigned index)
{
  return &platform->servers[index];
}

/* Appends a server's entry with the given state to the servers' list. */
void
fake_platform_put_server (struct fake_platform *platform, unsigned index,
                          const char *state)
{
  struct fake_server *server = &platform->servers[index];
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"%s\","
      "\"slots\":8,\"state\":\"%s\",\"seq-no\":%u,\"born\":%u,"
      "\"models\":[{\"name\":\"m\",\"version\":%" G_GINT64_FORMAT "}]}",
      server->advertised_port != 0 ? server->advertised_port : server->port,
      server->software != NULL ? server->software : "v1", state, ++server->entries,
      1000 + index + server->starts * BORN_STEP, server->version);

  fake_platform_put_server_entry (platform, server->id, text);
}

/* Returns how many times the servers together executed a request with this id. */
unsigned
fake_platform_run_count (struct fake_platform *platform, const char *id)
{
  unsigned runs;

  pthread_mutex_lock (&platform->lock);
  runs = GPOINTER_TO_UINT (g_hash_table_lookup (platform->runs, id));
  pthread_mutex_unlock (&platform->lock);
  return runs;
}
