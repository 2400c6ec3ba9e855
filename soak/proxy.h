/* TCP proxy on the loopback address, between a VM and a server or a caller and a VM. On
   command, it delays, resets or stalls connections, passes their bytes on in small
   pieces, or discards those from the server. A connection that one side resets, or that
   has lost bytes, ends with a reset on the other side too. */
#ifndef KCP_SOAK_PROXY_H
#define KCP_SOAK_PROXY_H

enum proxy_fault
{
  PROXY_NONE,
  PROXY_DELAY,   /* each block is delayed */
  PROXY_RESET,   /* open and new connections are reset */
  PROXY_STALL,   /* open connections transfer nothing; new ones work */
  PROXY_ONE_WAY, /* data from the server is discarded */
  PROXY_PIECES,  /* data arrives in small pieces */
  PROXY_FAULT_COUNT
};

struct proxy;

struct proxy *proxy_start (int target_port);
void proxy_stop (struct proxy *proxy);
int proxy_port (const struct proxy *proxy);
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault);

#endif
