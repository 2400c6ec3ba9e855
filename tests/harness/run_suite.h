/* Runs a test suite from the main function of a test program. */
#ifndef KCP_TESTS_HARNESS_RUN_SUITE_H
#define KCP_TESTS_HARNESS_RUN_SUITE_H

#include <check.h>

int run_suite (Suite *suite);

#endif
