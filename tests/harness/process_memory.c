#include "tests/harness/process_memory.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Returns a field of /proc/PID/status in kB, or -1 if it cannot be read. */
long
process_memory_kb (pid_t pid, const char *field)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return -1;
  line = strstr (text, field);
  return line != NULL ? strtol (line + strlen (field), NULL, 10) : -1;
}

/* Returns the number of open files, sockets among them, or -1 if it cannot be read. */
int
process_open_files (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int)pid);
  g_autoptr (GDir) folder = g_dir_open (path, 0, NULL);
  int count = 0;

  if (folder == NULL)
    return -1;
  while (g_dir_read_name (folder) != NULL)
    count++;
  return count;
}
