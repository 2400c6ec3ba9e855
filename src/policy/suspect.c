#include "policy/suspect.h"

/* Returns the name of a kind as the log shows it. */
const char *
kcp_suspect_kind_name (enum kcp_suspect_kind kind)
{
  switch (kind)
    {
    case KCP_SUSPECT_PART:
      return "part";
    case KCP_SUSPECT_REQUEST:
      break;
    }
  return "request";
}
