/* The links of a fleet: a proxy before each server and each VM, and its faults. Callers
   reach VMs through them or directly. */
#include <stdio.h>

#include "soak/fleet.h"
#include "soak/proxy.h"

#define FAULT_MIN_MS 100
#define FAULT_MAX_MS 2000
#define TOGETHER                                                                         \
  4 /* one in so many faults is of several links, one in so many of them                 \
     */
#define VM_LINKS_ONE_IN 3 /* faults is of the links between callers and VMs */
#define HARM_US         (1 * G_USEC_PER_SEC) /* after a fault's end */

struct link
{
  struct proxy *proxy;
  int64_t restore_us; /* 0: it is sound */
};

/* A fault by which a server is not reached. */
struct fault
{
  unsigned server;
  int64_t from_us;
  int64_t to_us;
};

static struct link server_links[FLEET_SERVERS_MAX];
static struct link vm_links[FLEET_VMS_MAX];
static GArray *faults; /* struct fault; NULL: the fleet has no links */

/* Starts the proxies before the servers, whose ports must be known. */
void
fleet_links_start_servers (void)
{
  faults = g_array_new (FALSE, FALSE, sizeof (struct fault));
  for (unsigned i = 0; i < fleet.server_count; i++)
    server_links[i].proxy = proxy_start (fleet.servers[i].port);
}

/* Starts the proxies before the VMs, whose ports must be known. */
void
fleet_links_start_vms (void)
{
  for (unsigned i = 0; i < fleet.vm_count; i++)
    vm_links[i].proxy = proxy_start (fleet.vms[i].port);
}

/* Stops the proxies, once VMs and servers have ended. */
void
fleet_links_stop (void)
{
  if (faults == NULL)
    return;
  for (unsigned i = 0; i < fleet.server_count; i++)
    proxy_stop (server_links[i].proxy);
  for (unsigned i = 0; i < fleet.vm_count; i++)
    proxy_stop (vm_links[i].proxy);
  g_array_unref (faults);
}

/* Returns true if the link of a server's process had a fault between two times, or so
   shortly before them that the VMs may not have known what it does. */
bool
fleet_link_was_harmed (const char *instance, int64_t from_us, int64_t to_us)
{
  unsigned server;

  if (faults == NULL || sscanf (instance, "e%u.", &server) != 1)
    return false;
  for (guint i = 0; i < faults->len; i++)
    {
      const struct fault *fault = &g_array_index (faults, struct fault, i);

      if (fault->server == server && fault->from_us <= to_us
          && fault->to_us + HARM_US >= from_us)
        return true;
    }
  return false;
}

/* Returns the port at which VMs reach a server. */
int
fleet_link_server_port (unsigned server)
{
  return faults != NULL ? proxy_port (server_links[server].proxy)
                        : fleet.servers[server].port;
}

/* Returns the port of the link to a VM, or the VM's own without links. */
int
fleet_link_vm_port (unsigned vm)
{
  return faults != NULL ? proxy_port (vm_links[vm].proxy) : fleet.vms[vm].port;
}

static void
harm (struct link *link, enum proxy_fault fault, int64_t now_us)
{
  struct fault noted = { .from_us = now_us };

  if (link->restore_us != 0)
    return;
  link->restore_us
      = now_us
        + g_rand_int_range (fleet.random, FAULT_MIN_MS, FAULT_MAX_MS) * (int64_t)1000;
  proxy_set_fault (link->proxy, fault);
  /* Behind a delay or in small pieces a server is reached. */
  if (fault == PROXY_DELAY || fault == PROXY_PIECES || link < server_links
      || link >= server_links + fleet.server_count)
    return;
  noted.server = (unsigned)(link - server_links);
  noted.to_us = link->restore_us;
  g_array_append_val (faults, noted);
}

/* Injects one random fault into one link, or into several. */
void
fleet_links_inject (int64_t now_us)
{
  enum proxy_fault fault;
  bool at_servers;
  struct link *links;
  unsigned count;

  if (faults == NULL)
    return;
  fault = (enum proxy_fault)g_rand_int_range (fleet.random, 1, PROXY_FAULT_COUNT);
  at_servers = g_rand_int_range (fleet.random, 0, VM_LINKS_ONE_IN) > 0;
  links = at_servers ? server_links : vm_links;
  count = at_servers ? fleet.server_count : fleet.vm_count;
  if (g_rand_int_range (fleet.random, 0, TOGETHER) > 0)
    {
      harm (&links[g_rand_int_range (fleet.random, 0, (gint32)count)], fault, now_us);
      return;
    }
  for (unsigned i = 0; i < count; i++)
    if (g_rand_int_range (fleet.random, 0, TOGETHER) == 0)
      harm (&links[i], fault, now_us);
}

static void
restore (struct link *link, int64_t now_us, bool all)
{
  if (link->restore_us == 0 || (!all && now_us < link->restore_us))
    return;
  link->restore_us = 0;
  proxy_set_fault (link->proxy, PROXY_NONE);
}

/* Ends the faults that are due, or all of them. */
void
fleet_links_end_faults (int64_t now_us, bool all)
{
  for (unsigned i = 0; faults != NULL && i < fleet.server_count; i++)
    restore (&server_links[i], now_us, all);
  for (unsigned i = 0; faults != NULL && i < fleet.vm_count; i++)
    restore (&vm_links[i], now_us, all);
}
