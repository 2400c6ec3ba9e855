/* Reads how much memory and how many files a child process of a test uses. */
#ifndef KCP_TESTS_HARNESS_PROCESS_MEMORY_H
#define KCP_TESTS_HARNESS_PROCESS_MEMORY_H

#include <stdbool.h>
#include <sys/types.h>

/* Sanitizers multiply the memory use of a process and retain freed memory. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define PROCESS_MEMORY_IS_REALISTIC false
#else
#define PROCESS_MEMORY_IS_REALISTIC true
#endif

#define PROCESS_MEMORY_RESIDENT  "VmRSS:"
#define PROCESS_MEMORY_PEAK      "VmHWM:"   /* greatest resident memory so far */
#define PROCESS_MEMORY_ANONYMOUS "RssAnon:" /* without the pages of files */

long process_memory_kb (pid_t pid, const char *field);
int process_open_files (pid_t pid);

#endif
