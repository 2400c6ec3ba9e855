#include "forward/http_sockets.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Closed ones are searched for and removed when there are so many, twice as many as the
   client keeps open. */
#define SOCKETS_MAX 2048u

struct kcp_http_sockets
{
  GHashTable *by_name; /* make_name() -> descriptor */
};

static char *make_name (const struct kcp_http_connection *connection);
static gboolean is_closed (gpointer key, gpointer value, gpointer user);

/* Creates a table without sockets. */
struct kcp_http_sockets *
kcp_http_sockets_new (void)
{
  struct kcp_http_sockets *sockets = g_new0 (struct kcp_http_sockets, 1);

  sockets->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return sockets;
}

/* Frees the table, but leaves the sockets open. */
void
kcp_http_sockets_free (struct kcp_http_sockets *sockets)
{
  g_hash_table_unref (sockets->by_name);
  g_free (sockets);
}

/* Adds the socket of a connection that has been established. A connection that has been
   closed is found no more, since another one with its addresses replaces it. */
void
kcp_http_sockets_add (struct kcp_http_sockets *sockets,
                      const struct kcp_http_connection *connection, int fd)
{
  if (g_hash_table_size (sockets->by_name) >= SOCKETS_MAX)
    (void)g_hash_table_foreach_remove (sockets->by_name, is_closed, NULL);
  g_hash_table_replace (sockets->by_name, make_name (connection), GINT_TO_POINTER (fd));
}

/* Returns false if the peer has sent bytes that nothing has read, or has closed the
   connection. Of a connection that is not known it returns true. */
bool
kcp_http_sockets_are_quiet (const struct kcp_http_sockets *sockets,
                            const struct kcp_http_connection *connection)
{
  g_autofree char *name = make_name (connection);
  gpointer fd;
  char byte;

  if (!g_hash_table_lookup_extended (sockets->by_name, name, NULL, &fd))
    return true;
  return recv (GPOINTER_TO_INT (fd), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static char *
make_name (const struct kcp_http_connection *connection)
{
  return g_strdup_printf ("%s:%d/%d", connection->address, connection->port,
                          connection->own_port);
}

/* Returns TRUE if the descriptor no longer is that of the connection. */
static gboolean
is_closed (gpointer key, gpointer value, gpointer user)
{
  struct sockaddr_in own = { 0 };
  socklen_t len = sizeof own;
  const char *own_port = strrchr (key, '/');

  (void)user;
  return getsockname (GPOINTER_TO_INT (value), (struct sockaddr *)&own, &len) != 0
         || own.sin_family != AF_INET || ntohs (own.sin_port) != atoi (own_port + 1);
}
