/* The suite of a test program: its creation and its run. */
#ifndef KCP_TESTS_HARNESS_RUN_SUITE_H
#define KCP_TESTS_HARNESS_RUN_SUITE_H

#include <check.h>

TCase *start_suite (const char *name);
int run_started_suite (void);
int run_suite (Suite *suite);

#endif
