/* Latency histograms of the process, exported at the metrics endpoint. */
#ifndef KCP_BASE_HISTOGRAM_H
#define KCP_BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

enum kcp_histogram
{
  KCP_HISTOGRAM_REQUEST,    /* arrival of a request to the final answer */
  KCP_HISTOGRAM_FIRST_BYTE, /* arrival to the first byte of a server's answer */
  KCP_HISTOGRAM_STORE,      /* a call to the platform's store */
  KCP_HISTOGRAM_ORDER,      /* an order to a server */
  KCP_HISTOGRAM_LOAD_AGE,   /* oldest load of other VMs that counts in a choice */
  KCP_HISTOGRAM_COUNT
};

void kcp_histogram_add (enum kcp_histogram histogram, int64_t ns);
void kcp_histogram_print (GString *out);

#endif
