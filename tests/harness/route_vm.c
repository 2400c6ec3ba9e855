#include "tests/harness/route_vm.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/free_port.h"

#define DEFAULT_REPLACE_MS 10000
#define DEFAULT_POLL_MS    100
#define DEFAULT_MEMORY_MB  256

static char *read_log (void);
static char *write_settings (void);
static void prepare (void);

/* Format of the operators' configuration record. Its arguments are the version and the
   team's key. */
const char route_vm_config_format[]
    = "{\"version\":%d,\"routes\":["
      "{\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\","
      "\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\"max-attempts\":1,"
      "\"service\":\"s\"},"
      "{\"name\":\"again\",\"host\":\"h\",\"path-prefix\":\"/again/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":3000,\"max-attempts\":2,"
      "\"service\":\"s\"},"
      "{\"name\":\"stream\",\"host\":\"h\",\"path-prefix\":\"/stream/\","
      "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":3000,"
      "\"max-attempts\":2,\"sticky\":true,\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\",\"max-conns\":100}],"
      "\"limits\":{\"max-body-bytes\":100000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"team1\",\"api-keys\":[\"%s\"],\"isolated\":false}]}";

struct route_vm route_vm;

/* Returns the HTTP status of the VM's answer to the load balancer's readiness check, or 0
   if there was no answer. */
int
route_vm_ready_status (void)
{
  struct raw_answer answer = raw_exchange (
      route_vm.ready_port,
      "GET /kingcuppoint/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      ROUTE_VM_TIMEOUT_MS);
  int status = answer.text->len > 12 ? atoi (answer.text->str + 9) : 0;

  raw_answer_clear (&answer);
  return status;
}

/* Returns true if a port of the loopback address accepts connections. */
bool
route_vm_listens (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool connected = connect (fd, (struct sockaddr *)&address, sizeof address) == 0;

  (void)close (fd);
  return connected;
}

/* Waits until the VM is ready. Fails the test if that takes longer than
   ROUTE_VM_TIMEOUT_MS. */
void
route_vm_wait_ready (void)
{
  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += ROUTE_VM_SETTLE_MS)
    {
      if (route_vm_listens (route_vm.ready_port) && route_vm_ready_status () == 200)
        return;
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the VM did not become ready");
}

static char *
write_settings (void)
{
  char *path = g_build_filename (route_vm.folder, "route.ini", NULL);
  g_autofree char *text = g_strdup_printf (
      "[vm]\nid = vm1\ndata_center = %s\nmemory_mb = %d\n[callers]\nlisten = "
      "127.0.0.1:%d\n"
      "[ready]\nlisten = 127.0.0.1:%d\n[metrics]\nlisten = 127.0.0.1:%d\n"
      "[peers]\nlisten = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:%d\n"
      "poll_ms = %d\n[servers]\nheartbeat_ms = 50\n[drain]\ngrace_s = 4\nnotice_ms = "
      "700\n"
      "[weights]\nreplace_ms = %d\n",
      route_vm.data_center != NULL ? route_vm.data_center : "z",
      route_vm.memory_mb != 0 ? route_vm.memory_mb : DEFAULT_MEMORY_MB, route_vm.port,
      route_vm.ready_port, route_vm.metrics_port, route_vm.peers_port,
      fake_platform_port (route_vm.platform),
      route_vm.poll_ms != 0 ? route_vm.poll_ms : DEFAULT_POLL_MS,
      route_vm.replace_ms != 0 ? route_vm.replace_ms : DEFAULT_REPLACE_MS);

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Starts the VM's process, which is killed when the test program ends. */
void
route_vm_start (void)
{
  g_autofree char *path = write_settings ();

  route_vm_start_from (path);
}

/* As route_vm_start(), with the settings in the file at path. The process inherits the
   blocked signals of the caller. */
void
route_vm_start_from (const char *path)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  g_autofree char *program = g_build_filename (build, "kingcuppoint", NULL);
  g_autofree char *log = g_build_filename (route_vm.folder, "out.log", NULL);

  route_vm.pid = fork ();
  if (route_vm.pid == 0)
    {
      (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (route_vm.log_path != NULL ? route_vm.log_path : log, "w", stdout)
          == NULL)
        _exit (126);
      (void)execl (program, program, "route", "--settings", path, (char *)NULL);
      _exit (127);
    }
  ck_assert_int_gt (route_vm.pid, 0);
}

/* Starts the platform, two servers and the VM, and waits until the VM is ready. */
void
route_vm_set_up (void)
{
  route_vm_set_up_servers (2);
}

/* As route_vm_set_up(), with another number of servers. */
void
route_vm_set_up_servers (unsigned servers)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 3, "key1");

  route_vm = (struct route_vm){ .platform = fake_platform_start (servers),
                                .replace_ms = route_vm.replace_ms,
                                .poll_ms = route_vm.poll_ms,
                                .log_path = route_vm.log_path };
  fake_platform_put_record (route_vm.platform, "config", config);
  prepare ();
  route_vm_start ();
  route_vm_wait_ready ();
  /* The VM reads the servers' list separately from the configuration and may not have it
     yet. */
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < servers; i++)
    route_vm_wait_server_added (fake_platform_server (route_vm.platform, i)->id, 0);
}

/* Returns the bytes that the VM has logged so far. */
size_t
route_vm_log_size (void)
{
  g_autofree char *text = read_log ();

  return text != NULL ? strlen (text) : 0;
}

/* Waits until the VM has logged, after its first log_before bytes, that it knows the
   server. Returns at once if its log is not a file of its folder. */
void
route_vm_wait_server_added (const char *id, size_t log_before)
{
  g_autofree char *line = g_strdup_printf ("\"change\":\"added\",\"server\":\"%s\"", id);
  int64_t end = g_get_monotonic_time () + ROUTE_VM_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;

  if (route_vm.log_path != NULL)
    return;
  while (g_get_monotonic_time () < end)
    {
      g_autofree char *text = read_log ();

      if (text != NULL && strlen (text) > log_before
          && strstr (text + log_before, line) != NULL)
        return;
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the VM did not learn of server %s", id);
}

/* Returns the VM's log, to be freed with g_free(), or NULL if there is none. */
static char *
read_log (void)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);
  char *text = NULL;

  (void)g_file_get_contents (path, &text, NULL, NULL);
  return text;
}

/* Gives the VM its folder and its ports. */
static void
prepare (void)
{
  route_vm.folder = g_dir_make_tmp ("kcp-route-XXXXXX", NULL);
  route_vm.port = free_port (SOCK_STREAM);
  route_vm.ready_port = free_port (SOCK_STREAM);
  route_vm.metrics_port = free_port (SOCK_STREAM);
  route_vm.peers_port = free_port (SOCK_DGRAM);
}

/* Starts a further VM before the platform of the fixture's VM, and waits until it is
   ready. */
void
route_vm_add (struct route_vm *vm, const char *data_center)
{
  route_vm_add_many (vm, 1, data_center);
}

/* As route_vm_add(), for count VMs that start together. */
void
route_vm_add_many (struct route_vm *vms, unsigned count, const char *data_center)
{
  struct route_vm first = route_vm;

  for (unsigned i = 0; i < count; i++)
    {
      route_vm = (struct route_vm){ .platform = first.platform,
                                    .data_center = data_center,
                                    .replace_ms = first.replace_ms,
                                    .poll_ms = first.poll_ms };
      prepare ();
      route_vm_start ();
      vms[i] = route_vm;
    }
  for (unsigned i = 0; i < count; i++)
    {
      route_vm = vms[i];
      route_vm_wait_ready ();
    }
  route_vm = first;
}

/* Kills a VM's process. */
void
route_vm_kill (struct route_vm *vm)
{
  if (vm->pid > 0)
    {
      (void)kill (vm->pid, SIGKILL);
      (void)waitpid (vm->pid, NULL, 0);
    }
  vm->pid = 0;
}

/* Starts the process of a further VM again and waits until it is ready. */
void
route_vm_restart (struct route_vm *vm)
{
  struct route_vm first = route_vm;

  route_vm = *vm;
  route_vm_start ();
  route_vm_wait_ready ();
  *vm = route_vm;
  route_vm = first;
}

/* Kills a VM and removes its files. */
void
route_vm_remove (struct route_vm *vm)
{
  g_autofree char *settings = g_build_filename (vm->folder, "route.ini", NULL);
  g_autofree char *log = g_build_filename (vm->folder, "out.log", NULL);

  route_vm_kill (vm);
  (void)g_unlink (settings);
  (void)g_unlink (log);
  (void)g_rmdir (vm->folder);
  g_free (vm->folder);
}

/* Kills the VM, stops the platform and removes the VM's files. */
void
route_vm_tear_down (void)
{
  route_vm_kill (&route_vm);
  fake_platform_stop (route_vm.platform);
  route_vm_remove (&route_vm);
}

/* Sends a request with the key of a known team to a VM. extra_headers holds additional
   header lines. */
struct raw_answer
route_vm_send_to (const struct route_vm *vm, const char *method, const char *path,
                  const char *id, const char *extra_headers, const char *body)
{
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nConnection: close\r\n"
      "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n%s"
      "Content-Length: %zu\r\n\r\n%s",
      method, path, id, extra_headers, strlen (body), body);

  return raw_exchange (vm->port, text, ROUTE_VM_TIMEOUT_MS);
}

/* Sends a request with the id r1 and the key of a known team to the fixture's VM. */
struct raw_answer
route_vm_send (const char *method, const char *path, const char *extra_headers,
               const char *body)
{
  return route_vm_send_to (&route_vm, method, path, "r1", extra_headers, body);
}

/* Returns the HTTP status of an answer, or 0 if there was no answer. */
int
route_vm_status (const struct raw_answer *answer)
{
  return answer->text->len > 12 ? atoi (answer->text->str + 9) : 0;
}

/* Returns the number of requests that the two servers executed. */
unsigned
route_vm_run_count (void)
{
  return fake_platform_server (route_vm.platform, 0)->runs
         + fake_platform_server (route_vm.platform, 1)->runs;
}

/* Sets the modes of the two servers. */
void
route_vm_set_modes (enum fake_mode first, enum fake_mode second)
{
  fake_platform_server (route_vm.platform, 0)->mode = first;
  fake_platform_server (route_vm.platform, 1)->mode = second;
}
