/* How one VM passes a request on to another, over HTTP: header lines of their own beside
   those of the request and of the server's answer. Callers' lines of these names are
   dropped. A request is passed on once at most. */
#ifndef KCP_FORWARD_HOP_H
#define KCP_FORWARD_HOP_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/* How the VM to which a request was passed on ended it. */
enum kcp_hop_end
{
  KCP_HOP_UNKNOWN,  /* the answer does not say */
  KCP_HOP_ANSWERED, /* by a server; the answer is the server's */
  KCP_HOP_REFUSED,  /* it has not run and is not to be tried elsewhere */
  KCP_HOP_DECLINED, /* it has not run; the VM cannot send it to a server now */
  KCP_HOP_FAILED,   /* without a server's answer; it may have run */
  KCP_HOP_ENDS
};

/* What a VM adds to a request that it passes on. */
struct kcp_hop_head
{
  char *team; /* NULL: none */
  char *service;
  char *avoid; /* ids of servers that it has reached, separated by commas; NULL: none */
  int64_t routes_version; /* by which it accepted the request */
  int64_t runs;           /* attempts that may have run the request */
  bool bound;             /* only servers with this software version may be chosen */
  uint64_t software;      /* see kcp_software_key() */
};

bool kcp_hop_is_header (const char *name);
struct kcp_hop_head *kcp_hop_read_head (struct MHD_Connection *connection);
void kcp_hop_head_free (struct kcp_hop_head *head);
struct curl_slist *
kcp_hop_write_head (struct curl_slist *lines, const struct kcp_hop_head *head);
const char *kcp_hop_end_name (enum kcp_hop_end end);
void kcp_hop_add_answer_lines (struct MHD_Response *response, enum kcp_hop_end end,
                               uint64_t software);
void kcp_hop_read_answer_line (struct kcp_str name, struct kcp_str value,
                               enum kcp_hop_end *end, uint64_t *software);

#endif
