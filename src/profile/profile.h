/* A profile: the rules for a kind of call. It defines in which data centers prompts, KV
   cache and answers may be stored and computed, how urgent the calls are, and whether
   they may be repeated. */
#ifndef KCP_PROFILE_PROFILE_H
#define KCP_PROFILE_PROFILE_H

#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "profile/dc_set.h"

enum kcp_class
{
  KCP_CLASS_URGENT,
  KCP_CLASS_NORMAL,
  KCP_CLASS_BATCH,
  KCP_CLASSES
};

struct kcp_profile
{
  char *name;
  struct kcp_dc_set prompt_in;  /* where prompts and answers may be stored */
  struct kcp_dc_set cache_in;   /* where the prompt's KV cache may be stored */
  struct kcp_dc_set compute_in; /* where the model may run */
  bool transit;                 /* VMs in other data centers may relay calls in memory */
  enum kcp_class class;
  bool repeatable;
  int importance;            /* 0 to 100, independent of the deadline */
  int64_t deadline_ms;       /* 0: the default of the settings */
  int64_t max_config_age_ms; /* 0: no limit */
};

struct kcp_profile *
kcp_profile_parse (const char *name, json_t *document, struct kcp_error *error);
struct kcp_profile *kcp_profile_ref (struct kcp_profile *profile);
void kcp_profile_unref (struct kcp_profile *profile);
const char *kcp_class_name (enum kcp_class class);

#endif
