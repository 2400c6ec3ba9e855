/* Runs a suite as a program's whole work. */
#ifndef KCP_TESTS_HARNESS_RUN_SUITE_H
#define KCP_TESTS_HARNESS_RUN_SUITE_H

#include <check.h>

int run_suite (Suite *suite);

#endif
