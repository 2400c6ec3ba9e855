#include "tests/harness/cut_vm.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static void open_silent_port (struct cut_vm *cut);

/* Starts the VM, which reaches all servers at first. */
void
cut_vm_start (struct cut_vm *cut, const char *data_center)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  g_autofree char *folder = g_get_current_dir ();
  g_autofree char *library
      = g_build_filename (g_path_is_absolute (build) ? "" : folder, build, "tests",
                          "preload", "cut_paths.so", NULL);
  int fd;

  *cut = (struct cut_vm){ 0 };
  fd = g_file_open_tmp ("kcp-cut-XXXXXX", &cut->path, NULL);
  ck_assert_int_ge (fd, 0);
  (void)close (fd);
  open_silent_port (cut);
  ck_assert (g_file_test (library, G_FILE_TEST_EXISTS));
  (void)g_setenv ("KCP_TEST_CUT_FILE", cut->path, TRUE);
  (void)g_setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
  (void)g_setenv ("LD_PRELOAD", library, TRUE);
  route_vm_add (&cut->vm, data_center);
  g_unsetenv ("LD_PRELOAD");
}

/* Kills the VM and removes its files. */
void
cut_vm_stop (struct cut_vm *cut)
{
  route_vm_remove (&cut->vm);
  for (size_t i = 0; i < G_N_ELEMENTS (cut->silent); i++)
    (void)close (cut->silent[i]);
  (void)g_unlink (cut->path);
  g_free (cut->path);
}

/* Cuts the VM off from the first servers of the fixture's platform. */
void
cut_vm_cut (struct cut_vm *cut, enum cut_kind kind, unsigned servers)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_printf (text, "%d %d", kind == CUT_SILENT ? cut->silent_port : 0,
                   kind == CUT_NEW_REFUSED);
  for (unsigned i = 0; i < servers; i++)
    g_string_append_printf (text, " %d",
                            fake_platform_server (route_vm.platform, i)->port);
  ck_assert (g_file_set_contents (cut->path, text->str, -1, NULL));
}

/* Ends the cut. */
void
cut_vm_heal (struct cut_vm *cut)
{
  ck_assert (g_file_set_contents (cut->path, "", -1, NULL));
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
