/* Allocates ports for the programs that a test starts. */
#ifndef KCP_TESTS_HARNESS_FREE_PORT_H
#define KCP_TESTS_HARNESS_FREE_PORT_H

int free_port (int type);

#endif
