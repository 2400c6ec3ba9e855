#include "tests/harness/cut_vm.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/cut_file.h"

#define SERVERS_MAX 16u

static void open_silent_port (struct cut_vm *cut);

/* Starts the VM, which reaches all servers at first. */
void
cut_vm_start (struct cut_vm *cut, const char *data_center)
{
  g_autofree char *settings = NULL;

  *cut = (struct cut_vm){ 0 };
  open_silent_port (cut);
  cut_file_begin_preload ();
  route_vm_add (&cut->vm, data_center);
  cut_file_end_preload ();
  settings = g_build_filename (cut->vm.folder, "route.ini", NULL);
  cut->path = cut_file_path (settings);
}

/* Kills the VM and removes its files. */
void
cut_vm_stop (struct cut_vm *cut)
{
  (void)g_unlink (cut->path);
  route_vm_remove (&cut->vm);
  for (size_t i = 0; i < G_N_ELEMENTS (cut->silent); i++)
    (void)close (cut->silent[i]);
  g_free (cut->path);
}

/* Cuts the VM off from the first servers of the fixture's platform. */
void
cut_vm_cut (struct cut_vm *cut, enum cut_kind kind, unsigned servers)
{
  int ports[SERVERS_MAX];

  ck_assert_uint_le (servers, SERVERS_MAX);
  for (unsigned i = 0; i < servers; i++)
    ports[i] = fake_platform_server (route_vm.platform, i)->port;
  ck_assert (cut_file_write (cut->path,
                             &(struct cut_file){
                                 .silent_port = kind == CUT_SILENT ? cut->silent_port : 0,
                                 .live_on = kind == CUT_NEW_REFUSED,
                                 .ports = ports,
                                 .count = servers,
                             }));
}

/* Ends the cut. */
void
cut_vm_heal (struct cut_vm *cut)
{
  ck_assert (cut_file_write (cut->path, &(struct cut_file){ 0 }));
}

/* Listens at a port and fills its queue, so that the kernel drops further connections'
   first packets. */
static void
open_silent_port (struct cut_vm *cut)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  for (size_t i = 0; i < G_N_ELEMENTS (cut->silent); i++)
    cut->silent[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (
      bind (cut->silent[0], (struct sockaddr *)(void *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (cut->silent[0], 0), 0);
  ck_assert_int_eq (
      getsockname (cut->silent[0], (struct sockaddr *)(void *)&address, &len), 0);
  for (size_t i = 1; i < G_N_ELEMENTS (cut->silent); i++)
    (void)connect (cut->silent[i], (struct sockaddr *)(void *)&address, sizeof address);
  cut->silent_port = ntohs (address.sin_port);
}
