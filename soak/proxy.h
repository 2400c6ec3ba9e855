/* TCP proxy on the loopback address between a VM and a server. On command, it delays,
   resets or stalls connections, or blocks the direction from the server to the VM. */
#ifndef KCP_SOAK_PROXY_H
#define KCP_SOAK_PROXY_H

enum proxy_fault
{
  PROXY_NONE,
  PROXY_DELAY,   /* each block is delayed */
  PROXY_RESET,   /* open and new connections are reset */
  PROXY_STALL,   /* open connections transfer nothing; new ones work */
  PROXY_ONE_WAY, /* data from the server is discarded */
  PROXY_FAULT_COUNT
};

struct proxy;

struct proxy *proxy_start (int target_port);
void proxy_stop (struct proxy *proxy);
int proxy_port (const struct proxy *proxy);
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault);

#endif
