/* The text form of facts about suspects, one a line, as records of the store hold them.
   Lines and fields that are not known are ignored, so that later builds may add some. */
#ifndef KCP_FORWARD_SUSPECT_RECORD_H
#define KCP_FORWARD_SUSPECT_RECORD_H

#include <glib.h>

#include "base/str.h"
#include "policy/quarantine.h"
#include "policy/suspect.h"

/* A line of a record. */
struct kcp_suspect_fact
{
  enum kcp_suspect_kind kind;
  struct kcp_quarantine_fact fact;
};

void kcp_suspect_record_add (GString *record, const struct kcp_suspect_fact *fact,
                             int64_t now_ms);
bool kcp_suspect_record_read (struct kcp_str line, int64_t now_ms,
                              struct kcp_suspect_fact *fact);
struct kcp_str kcp_suspect_record_next_line (struct kcp_str *rest);

#endif
