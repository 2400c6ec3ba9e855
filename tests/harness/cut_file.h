/* Cuts processes off from ports of the loopback address; see tests/preload/cut_paths.c.
 */
#ifndef KCP_TESTS_HARNESS_CUT_FILE_H
#define KCP_TESTS_HARNESS_CUT_FILE_H

#include <stdbool.h>
#include <stddef.h>

/* What is cut off. */
struct cut_file
{
  int silent_port; /* that accepts no connection; 0: connections are refused */
  bool live_on;    /* connections that were established before live on */
  const int *ports;
  size_t count; /* 0: the process reaches all ports */
};

void cut_file_begin_preload (void);
void cut_file_end_preload (void);
char *cut_file_path (const char *settings_path);
bool cut_file_write (const char *path, const struct cut_file *cut);

#endif
