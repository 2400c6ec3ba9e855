#include "http/head_size.h"

#include <string.h>

/* Returns the size of the head that the connection has received. To be called from the
   access handler. */
struct kcp_head_size
kcp_head_size_measure (struct MHD_Connection *connection)
{
  const char *cookies
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_COOKIE);

  return (struct kcp_head_size){
    .bytes = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                 ->header_size,
    .elements = (size_t)MHD_get_connection_values (
        connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND, NULL,
        NULL),
    .copied = cookies != NULL ? strlen (cookies) : 0,
  };
}
