/* Errors that name the failed step, the peer involved, and whether a backend server ran
   the request. */
#ifndef KCP_BASE_ERROR_H
#define KCP_BASE_ERROR_H

#include <glib.h>

#include "base/str.h"

enum kcp_error_code
{
  KCP_OK,
  KCP_ERR_BAD_REQUEST,
  KCP_ERR_UNAUTHORIZED,
  KCP_ERR_FORBIDDEN,
  KCP_ERR_NOT_FOUND,
  KCP_ERR_METHOD_NOT_ALLOWED,
  KCP_ERR_TOO_LARGE,
  KCP_ERR_HEAD_TOO_LARGE,
  KCP_ERR_KEY_REUSED,
  KCP_ERR_STALE_BASE,
  KCP_ERR_TRIMMED,
  KCP_ERR_NO_SERVER,
  KCP_ERR_OVERLOADED,
  KCP_ERR_DEADLINE,
  KCP_ERR_QUARANTINED,
  KCP_ERR_NO_CONFIGURATION,
  KCP_ERR_PLATFORM,
  KCP_ERR_PEER,
  KCP_ERR_BACKEND,
  KCP_ERR_IN_PROGRESS,
  KCP_ERR_OUTCOME_UNKNOWN,
  KCP_ERR_SHUTDOWN,
  KCP_ERR_INTERNAL,
  KCP_ERR_KEY_EXPIRED,
  KCP_ERR_RECORDS_MISSING,
  KCP_ERR_COUNT
};

/* Whether a backend server executed the caller's request. */
enum kcp_execution
{
  KCP_EXECUTION_NOT_RUN,
  KCP_EXECUTION_UNKNOWN,
  KCP_EXECUTION_RAN
};

/* Sizes of the strings in bytes, with the final NUL. */
#define KCP_ERROR_STEP_MAX   32
#define KCP_ERROR_PEER_MAX   96
#define KCP_ERROR_DETAIL_MAX 256

struct kcp_error
{
  enum kcp_error_code code;
  enum kcp_execution execution;
  int retry_after_s; /* 0: no Retry-After is sent; a retry does not help */
  char step[KCP_ERROR_STEP_MAX];
  char peer[KCP_ERROR_PEER_MAX];
  char detail[KCP_ERROR_DETAIL_MAX];
};

void kcp_error_set (struct kcp_error *error, enum kcp_error_code code, const char *step,
                    const char *peer, const char *format, ...) G_GNUC_PRINTF (5, 6);
unsigned kcp_error_http_status (enum kcp_error_code code);
const char *kcp_error_slug (enum kcp_error_code code);
const char *kcp_error_title (enum kcp_error_code code);
const char *kcp_execution_name (enum kcp_execution execution);

#endif
