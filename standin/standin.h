/* Test servers that stand in for the platform and the backend servers. */
#ifndef KCP_STANDIN_STANDIN_H
#define KCP_STANDIN_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

#include "base/str.h"

struct standin_options
{
  const char *role;
  const char *name;
  int64_t token_ms;     /* engine: time between tokens */
  int64_t prefill_us;   /* engine: prefill time per prompt token that is not cached */
  int64_t cache_blocks; /* engine: capacity of the cache in blocks */
  const char *weights;  /* engine: weights version at the start */
  const char *crash_on; /* engine: exit on a request body with this text, or NULL */
  int64_t load_ms;      /* engine: time to load weights */
  bool checks_fencing;  /* engine: reject orders with an old fencing token */
};

/* An HTTP request with its complete body. */
struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  struct kcp_str body;
};

/* A role of the program. It handles each connection on a separate thread. */
struct standin_role
{
  const char *name;
  void (*start) (const struct standin_options *options);
  enum MHD_Result (*handle) (const struct standin_request *request);
};

extern const struct standin_role standin_log_role;
extern const struct standin_role standin_list_role;
extern const struct standin_role standin_engine_role;
extern const struct standin_role standin_service_role;

enum MHD_Result
standin_answer (const struct standin_request *request, unsigned status, json_t *document);
enum MHD_Result
standin_answer_as (const struct standin_request *request, const char *attempt,
                   unsigned status, json_t *document);
int64_t standin_query_int (const struct standin_request *request, const char *name,
                           int64_t fallback);
const char *standin_header (const struct standin_request *request, const char *name);

#endif
