#include "peer/rpc_link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP                 "peers"
#define DATAGRAM_BYTES       4096 /* exceeds the largest sealed message */
#define RECEIVE_BUFFER_BYTES (1 << 20)
#define SERVE_DATAGRAMS_MAX  128 /* per call of kcp_rpc_link_serve() */

struct kcp_rpc_link
{
  struct kcp_rpc_events events;
  int fd; /* closed with the transport, once there is one */
  SVCXPRT *transport;
  uint32_t xid;
  bool dispatched; /* the current datagram is a call of this program */
  uint16_t port;
};

/* The RPC library passes no user data to the dispatch function, so the link is global. */
static struct kcp_rpc_link *active_link;

static bool bind_socket (struct kcp_rpc_link *link, const char *address, uint16_t port,
                         struct kcp_error *error);
static bool parse_address (const char *address, uint16_t port, struct sockaddr_in *out);
static void dispatch (struct svc_req *request, SVCXPRT *transport);

/* Opens a link on an IPv4 address in dotted-decimal notation. With port 0 the kernel
   assigns a port. Returns NULL on error. A process can have only one link at a time. */
struct kcp_rpc_link *
kcp_rpc_link_open (const char *address, uint16_t port,
                   const struct kcp_rpc_events *events, struct kcp_error *error)
{
  struct kcp_rpc_link *link = g_new0 (struct kcp_rpc_link, 1);

  link->events = *events;
  link->fd = -1;
  if (!bind_socket (link, address, port, error))
    goto fail;
  link->transport = svc_dg_create (link->fd, DATAGRAM_BYTES, DATAGRAM_BYTES);
  if (link->transport == NULL
      || !svc_reg (link->transport, KCP_PEER_PROGRAM, KCP_PEER_VERSION, dispatch, NULL))
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, address,
                     "cannot register the service");
      goto fail;
    }
  active_link = link;
  return link;

fail:
  kcp_rpc_link_close (link);
  return NULL;
}

/* Closes the socket and frees the link; NULL is allowed. */
void
kcp_rpc_link_close (struct kcp_rpc_link *link)
{
  if (link == NULL)
    return;
  active_link = NULL;
  if (link->transport != NULL)
    {
      svc_unreg (KCP_PEER_PROGRAM, KCP_PEER_VERSION);
      SVC_DESTROY (link->transport);
    }
  else if (link->fd >= 0)
    (void)close (link->fd);
  g_free (link);
}

uint16_t
kcp_rpc_link_port (const struct kcp_rpc_link *link)
{
  return link->port;
}

/* Returns the file descriptor to poll for incoming datagrams. */
int
kcp_rpc_link_fd (const struct kcp_rpc_link *link)
{
  return link->fd;
}

/* Processes the queued datagrams, at most SERVE_DATAGRAMS_MAX, without blocking. */
void
kcp_rpc_link_serve (struct kcp_rpc_link *link)
{
  for (int i = 0; i < SERVE_DATAGRAMS_MAX; i++)
    {
      struct pollfd waiting = { .fd = link->fd, .events = POLLIN };

      if (poll (&waiting, 1, 0) != 1)
        return;
      link->dispatched = false;
      svc_getreq_poll (&waiting, 1);
      if (!link->dispatched)
        link->events.reject (link->events.user);
    }
}

/* Sends a call without blocking. The RPC library's client always waits for a reply, so
   only its encoder for call messages is used. Returns false if the datagram could not be
   sent. */
bool
kcp_rpc_link_send (struct kcp_rpc_link *link, const struct kcp_vm_endpoint *to,
                   struct kcp_wire_sealed *sealed)
{
  struct rpc_msg call = {
    .rm_xid = ++link->xid,
    .rm_direction = CALL,
    .rm_call = {
      .cb_rpcvers = RPC_MSG_VERSION,
      .cb_prog = KCP_PEER_PROGRAM,
      .cb_vers = KCP_PEER_VERSION,
      .cb_proc = KCP_PEER_MESSAGE,
      .cb_cred = _null_auth,
      .cb_verf = _null_auth,
    },
  };
  char datagram[DATAGRAM_BYTES];
  struct sockaddr_in address;
  ssize_t sent = -1;
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  if (parse_address (to->address, to->port, &address) && xdr_callmsg (&xdr, &call)
      && xdr_kcp_wire_sealed (&xdr, sealed))
    sent = sendto (link->fd, datagram, xdr_getpos (&xdr), MSG_DONTWAIT,
                   (struct sockaddr *)&address, sizeof address);
  xdr_destroy (&xdr);
  return sent >= 0;
}

static bool
bind_socket (struct kcp_rpc_link *link, const char *address, uint16_t port,
             struct kcp_error *error)
{
  int bytes = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in bound;
  socklen_t len = sizeof bound;

  link->fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (!parse_address (address, port, &bound))
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, address, "not an IPv4 number");
      return false;
    }
  if (link->fd < 0 || bind (link->fd, (struct sockaddr *)&bound, sizeof bound) != 0
      || getsockname (link->fd, (struct sockaddr *)&bound, &len) != 0)
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, address, "cannot bind port %d: %s",
                     port, g_strerror (errno));
      return false;
    }
  (void)setsockopt (link->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  link->port = ntohs (bound.sin_port);
  return true;
}

static bool
parse_address (const char *address, uint16_t port, struct sockaddr_in *out)
{
  *out = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (port) };
  return inet_pton (AF_INET, address, &out->sin_addr) == 1;
}

/* Handles one call and sends no reply. The library itself replies with an error to calls
   of other programs, which do not reach this function. */
static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  struct kcp_rpc_link *link = active_link;
  struct kcp_wire_sealed sealed = { .box.box_val = NULL };

  link->dispatched = true;
  if (request->rq_proc == KCP_PEER_MESSAGE
      && svc_getargs (transport, (xdrproc_t)xdr_kcp_wire_sealed, (char *)&sealed))
    link->events.receive (link->events.user, &sealed);
  else
    link->events.reject (link->events.user);
  (void)svc_freeargs (transport, (xdrproc_t)xdr_kcp_wire_sealed, (char *)&sealed);
}
