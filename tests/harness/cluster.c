#include "tests/harness/cluster.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/id.h"

#define WAIT_TIMEOUT_MS 20000
#define WAIT_POLL_MS    5
#define PEER_KEY        "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const char *build_folder (void);
static struct process *start_standin (struct cluster *cluster, const char *role,
                                      const char *name, char *const *options);
static bool vm_is_ready (const struct process *vm, size_t servers);
static void process_release (gpointer data);

/* Starts the stand-ins for the platform's log and list. name is the name of the test and
   of its folder. */
struct cluster *
cluster_new (const char *name)
{
  struct cluster *cluster = g_new0 (struct cluster, 1);

  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    abort ();
  cluster->folder = g_strdup_printf ("%s/run/%s", build_folder (), name);
  (void)g_mkdir_with_parents (cluster->folder, 0755);
  cluster->engines = g_ptr_array_new_with_free_func (process_release);
  cluster->services = g_ptr_array_new_with_free_func (process_release);
  cluster->vms = g_ptr_array_new_with_free_func (process_release);
  cluster->members = g_ptr_array_new_with_free_func (g_free);
  cluster->log = start_standin (cluster, "log", "log", NULL);
  cluster->list = start_standin (cluster, "list", "list", NULL);
  cluster->vm_log_port = cluster->log->port;
  return cluster;
}

/* Kills every process that still runs and frees the cluster. */
void
cluster_free (struct cluster *cluster)
{
  g_ptr_array_unref (cluster->vms);
  g_ptr_array_unref (cluster->engines);
  g_ptr_array_unref (cluster->services);
  g_ptr_array_unref (cluster->members);
  process_free (cluster->log);
  process_free (cluster->list);
  g_free (cluster->folder);
  g_free (cluster);
}

/* Starts an engine and adds it to the list without publishing the list. options is a
   NULL-terminated array of additional arguments, or NULL. */
struct process *
cluster_add_engine (struct cluster *cluster, const char *name, const char *data_center,
                    char *const *options)
{
  struct process *engine = start_standin (cluster, "engine", name, options);

  g_ptr_array_add (cluster->engines, engine);
  cluster_set_member (cluster, "engine", name, engine->port, data_center, "live");
  return engine;
}

/* Starts a plain service and adds it to the list without publishing the list. */
struct process *
cluster_add_service (struct cluster *cluster, const char *name, const char *data_center)
{
  struct process *service = start_standin (cluster, "service", name, NULL);

  g_ptr_array_add (cluster->services, service);
  cluster_set_member (cluster, "service", name, service->port, data_center, "live");
  return service;
}

/* Starts an entry VM. settings holds additional INI lines, which may repeat a group, or
   is NULL. */
struct process *
cluster_add_vm (struct cluster *cluster, const char *name, const char *data_center,
                const char *settings)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.ini", cluster->folder, name);
  g_autofree char *program = g_strdup_printf ("%s/kingcuppoint", build_folder ());
  g_autofree char *text = g_strdup_printf (
      "[vm]\nid=%s\ndata_center=%s\ndrain_notice_ms=200\n[callers]\nport=0\n[operators]"
      "\nport=0\n"
      "token=%s\n[peers]\nport=0\nkey=%s\n[platform]\nlog_url=http://127.0.0.1:%d\n"
      "list_url=http://127.0.0.1:%d/list\npoll_ms=50\n[backends]\nload_poll_ms=50\n%s",
      name, data_center, CLUSTER_TOKEN, PEER_KEY, cluster->vm_log_port,
      cluster->list->port, settings ? settings : "");
  char *argv[] = { program, "serve", "--settings", path, NULL };
  struct process *vm;

  if (!g_file_set_contents (path, text, -1, NULL))
    abort ();
  vm = process_start (cluster->folder, name, argv);
  g_ptr_array_add (cluster->vms, vm);
  if (vm->peer_port > 0)
    cluster_set_member (cluster, "entry", name, vm->peer_port, data_center, "live");
  return vm;
}

/* Adds or replaces an entry of the list; a NULL state removes it. */
void
cluster_set_member (struct cluster *cluster, const char *kind, const char *name, int port,
                    const char *data_center, const char *state)
{
  g_autofree char *head = g_strdup_printf ("{\"id\":\"%s\",", name);

  for (guint i = 0; i < cluster->members->len; i++)
    if (g_str_has_prefix (g_ptr_array_index (cluster->members, i), head))
      g_ptr_array_remove_index (cluster->members, i--);
  if (state == NULL)
    return;
  g_ptr_array_add (
      cluster->members,
      g_strdup_printf ("%s\"kind\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%d,"
                       "\"data_center\":\"%s\",\"state\":\"%s\",\"model\":\"%s\","
                       "\"service\":\"%s\"}",
                       head, kind, port, data_center, state, CLUSTER_MODEL,
                       CLUSTER_SERVICE));
}

/* Publishes the current list; readers see it after lag_ms milliseconds. */
void
cluster_publish_list (struct cluster *cluster, int64_t lag_ms)
{
  g_autoptr (GString) text = g_string_new ("{\"members\":[");
  g_autofree char *path = g_strdup_printf ("/list?lag_ms=%" G_GINT64_FORMAT, lag_ms);
  struct client_answer answer;

  for (guint i = 0; i < cluster->members->len; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? "," : "",
                            (char *)g_ptr_array_index (cluster->members, i));
  g_string_append (text, "]}");
  answer = client_run (&(struct client_call){
      .method = "PUT", .port = cluster->list->port, .path = path, .body = text->str });
  client_answer_clear (&answer);
}

/* Puts a document through a VM's admin API and returns the HTTP status. header is an
   additional header line, or NULL. */
long
cluster_admin_put (int admin_port, const char *path, const char *document,
                   const char *header)
{
  struct client_answer answer = client_run (&(struct client_call){
      .method = "PUT",
      .port = admin_port,
      .path = path,
      .key = CLUSTER_TOKEN,
      .header = header,
      .body = document,
  });
  long status = answer.status;

  client_answer_clear (&answer);
  return status;
}

/* Publishes the test team and the profiles "urgent", "review", "lookup" and "booking",
   which allow data centers dc1, dc2 and dc3. */
void
cluster_publish_default_config (struct cluster *cluster)
{
  static const char data_centers[] = "\"prompt_in\":[\"dc1\",\"dc2\",\"dc3\"],"
                                     "\"cache_in\":[\"dc1\",\"dc2\",\"dc3\"],"
                                     "\"compute_in\":[\"dc1\",\"dc2\",\"dc3\"]";
  static const char *const profiles[][2] = {
    { "urgent", "\"class\":\"urgent\",\"repeatable\":true,\"deadline_ms\":5000" },
    { "review", "\"class\":\"normal\",\"repeatable\":true" },
    { "lookup", "\"class\":\"urgent\",\"repeatable\":true" },
    { "booking", "\"class\":\"normal\",\"repeatable\":false" },
  };
  int port = cluster_vm (cluster, 0)->admin_port;
  char hash[KCP_HASH_HEX_LEN + 1];
  g_autofree char *team = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (profiles); i++)
    {
      g_autofree char *path = g_strconcat ("/admin/v1/profiles/", profiles[i][0], NULL);
      g_autofree char *text = g_strdup_printf ("{%s,%s}", data_centers, profiles[i][1]);

      if (cluster_admin_put (port, path, text, NULL) != 200)
        abort ();
    }
  kcp_id_hash (kcp_str_from_c (CLUSTER_TEAM_KEY), hash);
  team = g_strdup_printf ("{\"key_hashes\":[\"%s\"],\"profiles\":[\"urgent\",\"review\","
                          "\"lookup\",\"booking\"]}",
                          hash);
  if (cluster_admin_put (port, "/admin/v1/teams/" CLUSTER_TEAM, team, NULL) != 200)
    abort ();
}

/* Waits until every VM has loaded the test team's configuration, lists every backend
   server and has a load report of every engine. Aborts the test program if a VM is not
   ready within WAIT_TIMEOUT_MS. */
void
cluster_wait_ready (struct cluster *cluster)
{
  size_t servers = cluster->engines->len + cluster->services->len;

  for (guint i = 0; i < cluster->vms->len; i++)
    for (int waited = 0; !vm_is_ready (cluster_vm (cluster, i), servers);
         waited += WAIT_POLL_MS)
      {
        if (waited >= WAIT_TIMEOUT_MS)
          {
            (void)fprintf (stderr, "%s did not become ready\n",
                           cluster_vm (cluster, i)->name);
            abort ();
          }
        g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
      }
}

/* Returns a resource of a VM's admin API as new JSON, or NULL. */
json_t *
cluster_admin_get (int admin_port, const char *path)
{
  struct client_answer answer = client_run (
      &(struct client_call){ .port = admin_port, .path = path, .key = CLUSTER_TOKEN });
  json_t *document = client_json (&answer);

  client_answer_clear (&answer);
  return document;
}

/* Returns a counter of a VM's metrics, kingcuppoint_NAME_total, or -1 if it has none. */
int64_t
cluster_counter (const struct process *vm, const char *name)
{
  struct client_answer answer
      = client_run (&(struct client_call){ .port = vm->port, .path = "/metrics" });
  g_autofree char *line = g_strdup_printf ("\nkingcuppoint_%s_total ", name);
  const char *found = strstr (answer.body->str, line);
  int64_t value = found != NULL ? g_ascii_strtoll (found + strlen (line), NULL, 10) : -1;

  client_answer_clear (&answer);
  return value;
}

/* Injects faults into a stand-in. faults is the JSON body of its PUT /faults. */
void
cluster_inject_faults (const struct process *standin, const char *faults)
{
  struct client_answer answer = client_run (&(struct client_call){
      .method = "PUT", .port = standin->port, .path = "/faults", .body = faults });

  client_answer_clear (&answer);
}

/* Returns an entry VM by its index in start order. */
struct process *
cluster_vm (struct cluster *cluster, guint index)
{
  return g_ptr_array_index (cluster->vms, index);
}

static const char *
build_folder (void)
{
  const char *folder = getenv ("BUILD");

  return folder != NULL ? folder : "build";
}

static struct process *
start_standin (struct cluster *cluster, const char *role, const char *name,
               char *const *options)
{
  g_autofree char *program = g_strdup_printf ("%s/kcp-standin", build_folder ());
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();

  g_ptr_array_add (argv, program);
  g_ptr_array_add (argv, "--role");
  g_ptr_array_add (argv, (char *)role);
  g_ptr_array_add (argv, "--name");
  g_ptr_array_add (argv, (char *)name);
  for (char *const *option = options; option != NULL && *option != NULL; option++)
    g_ptr_array_add (argv, *option);
  g_ptr_array_add (argv, NULL);
  return process_start (cluster->folder, name, (char *const *)argv->pdata);
}

static bool
vm_is_ready (const struct process *vm, size_t servers)
{
  json_t *config = cluster_admin_get (vm->admin_port, "/admin/v1/config");
  json_t *list = cluster_admin_get (vm->admin_port, "/admin/v1/backend-servers");
  bool ready
      = json_is_true (json_object_get (config, "loaded"))
        && json_object_get (json_object_get (config, "documents"), "teams/" CLUSTER_TEAM)
               != NULL
        && json_array_size (list) == servers;
  json_t *server;
  size_t i;

  json_array_foreach (list, i, server)
  {
    const char *incarnation = json_string_value (json_object_get (server, "incarnation"));

    if (json_object_get (server, "model") != NULL && strcmp (incarnation, "") == 0
        && g_str_has_prefix (json_string_value (json_object_get (server, "id")),
                             "engine"))
      ready = false;
  }
  json_decref (config);
  json_decref (list);
  return ready;
}

static void
process_release (gpointer data)
{
  process_free (data);
}
