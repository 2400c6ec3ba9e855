/* Decides at which software version a stream that its caller resumes may go on. The
   result depends on the arguments alone.

   Load pattern: servers of two software versions serve side by side, for minutes or for
   the seconds of a release. VMs, one or all, end with streams in progress, and the
   callers resume these at other VMs or at VMs that have just started. What two versions
   write does not fit together, and servers do not check it. While only one version
   serves, nothing is known of single streams; while there are two, the VMs write to the
   store which version began which stream. A stream of which that is not known is refused:
   its caller must not get a text that is joined from two versions. A VM that is cut off
   from the store does not know whether a second version has come meanwhile. */
#ifndef KCP_POLICY_RESUME_VERSION_H
#define KCP_POLICY_RESUME_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/* What a VM knows when it has looked for a stream. */
struct kcp_resume_facts
{
  bool recorded;     /* a record names the version that began the stream */
  bool contradicted; /* records name several */
  /* The versions in service, the servers' list and the records have been read since the
     caller came: the VM knows every version that any other VM knew by then. */
  bool store_answered;
  bool looked_before; /* the store has been read once more than this, a while ago */
  unsigned versions;  /* software versions in service, now or recently */
};

enum kcp_resume_decision
{
  KCP_RESUME_AT_RECORDED, /* at the version of the record */
  KCP_RESUME_AT_ONLY,     /* at the only version in service */
  KCP_RESUME_LOOK_AGAIN,  /* soon: the record may be on its way */
  KCP_RESUME_PASS_ON,     /* another VM may know, if the store answers that one */
  KCP_RESUME_REFUSE
};

enum kcp_resume_decision kcp_resume_decide (const struct kcp_resume_facts *facts);
const char *kcp_resume_decision_name (enum kcp_resume_decision decision);

#endif
