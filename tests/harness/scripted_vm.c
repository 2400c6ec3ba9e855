#include "tests/harness/scripted_vm.h"

#define SETTLE_MS 400 /* for calls that the VM makes to a new server */

static GPtrArray *servers; /* struct scripted_server */

/* Starts the VM without any backend server. */
void
scripted_vm_set_up (void)
{
  servers = g_ptr_array_new ();
  route_vm_set_up_servers (0);
}

/* Kills the VM and stops its servers. */
void
scripted_vm_tear_down (void)
{
  route_vm_kill (&route_vm);
  for (guint i = 0; i < servers->len; i++)
    scripted_server_stop (g_ptr_array_index (servers, i));
  g_ptr_array_unref (servers);
  route_vm_tear_down ();
}

/* Starts a server whose requests handler answers, and waits until the VM knows it. The
   fixture stops it. */
struct scripted_server *
scripted_vm_start_server (const char *id, scripted_handler *handler, const void *user)
{
  size_t log_before = route_vm_log_size ();
  struct scripted_server *server
      = scripted_server_start (route_vm.platform, id, handler, (void *)user);

  g_ptr_array_add (servers, server);
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_wait_server_added (id, log_before);
  return server;
}
