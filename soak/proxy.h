/* A TCP proxy on the loopback that stands between a VM and a server, and delays, resets,
   silences or cuts connections one way on command. */
#ifndef KCP_SOAK_PROXY_H
#define KCP_SOAK_PROXY_H

enum proxy_fault
{
  PROXY_NONE,
  PROXY_DELAY,   /* each piece waits */
  PROXY_RESET,   /* open connections are reset, new ones too */
  PROXY_SILENCE, /* open connections carry nothing any more; new ones work */
  PROXY_ONE_WAY, /* nothing comes back */
  PROXY_FAULTS
};

struct proxy;

struct proxy *proxy_start (int target_port);
void proxy_stop (struct proxy *proxy);
int proxy_port (const struct proxy *proxy);
void proxy_set (struct proxy *proxy, enum proxy_fault fault);

#endif
