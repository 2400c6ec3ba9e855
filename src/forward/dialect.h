/* The protocol of callers, backend servers and the platform's store, as data types and a
   table of functions. The platform adapter translates between these types and the wire;
   only the adapter contains names of headers, paths and fields. */
#ifndef KCP_FORWARD_DIALECT_H
#define KCP_FORWARD_DIALECT_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "forward/servers.h"
#include "route/routes.h"

struct kcp_prompt_part
{
  char *id; /* equal in all requests that share the part */
  int64_t tokens;
};

struct kcp_hop_head;

/* A caller's request. */
struct kcp_inbound
{
  struct kcp_hop_head *hop; /* of the VM that passed it on; NULL: it came from a caller */
  char *method;
  char *target; /* path and query, as received */
  char *host;
  struct curl_slist *forwarded; /* header lines that are forwarded unchanged */
  GString *body;
  char *id;           /* of this attempt by the caller */
  char *key;          /* API key of a team, or NULL */
  char *resume_after; /* id of the last event that the caller has, or NULL */
  char *resumed_id;   /* of the attempt that began the stream that it resumes, or NULL */
  int64_t timeout_ms; /* how long the caller waits; 0: not specified */
  char *model;        /* NULL: the request has no prompt */
  int64_t prompt_tokens;
  int64_t output_tokens; /* the most that are to be generated; 0: not specified */
  GArray *parts; /* struct kcp_prompt_part, in the order of the prompt; NULL: none */
};

/* What the router adds to the head of a request that it forwards to a server. */
struct kcp_request_head
{
  const char *server_id; /* every other server refuses the request */
  const char *model;     /* NULL: the request has no prompt */
  int64_t weights; /* a server with another version refuses the request; 0: any version */
  const char *team;        /* NULL: none */
  int64_t remaining_ms;    /* until the deadline */
  int priority;            /* KCP_PRIORITY_NONE: not specified */
  const char *cache_space; /* cached parts are shared only within one space; NULL: none */
  const char *fetch_from;  /* address to fetch cached parts from, or NULL */
  const char *save_to;     /* address to save cached parts to, or NULL */
  const char *resume_after; /* id of the last event that the caller has, or NULL */
};

/* The head of a server's answer. */
struct kcp_answer_head
{
  char *request_id; /* id of the request that it answers, or NULL */
  bool signed_;     /* carries the server's signature */
  bool not_run;     /* the server reports that it did not run the request */
  bool encoded; /* the body has a content encoding, so it is not the server's own bytes */
  int64_t weights;        /* version that generated the answer; 0: not specified */
  int64_t retry_after_ms; /* the server wants no requests for so long; 0: not specified */
  bool server_leaving;    /* the server is about to end */
  bool has_limit;         /* the server names a limit, perhaps one that cannot be read */
  int64_t limit_per_1000s; /* requests in 1000 seconds, for all VMs together; -1: cannot
                              be read */
};

/* An order to a server to load new weights. */
struct kcp_order
{
  const char *server_id;
  const char *model;
  int64_t version;
  /* The server refuses the order unless it has taken exactly this number of orders; -1:
     it does not check. */
  int64_t orders_taken;
  const char *holder; /* VM that holds the order lease */
  int64_t fence;      /* fencing token of the order lease */
};

enum kcp_order_answer
{
  KCP_ORDER_ACCEPTED,
  KCP_ORDER_ALREADY_APPLIED, /* the server already has these weights */
  KCP_ORDER_CONFLICT,        /* another order is in progress, or orders_taken differs */
  KCP_ORDER_REJECTED,        /* refused; a retry cannot succeed */
  KCP_ORDER_UNKNOWN          /* no answer that shows whether the order was taken */
};

/* A call that the router itself makes to a server. method and path are static unless the
   function that fills the struct says otherwise. */
struct kcp_control_call
{
  const char *method;
  const char *path;
  struct curl_slist *headers; /* freed by the user of the struct */
  char *body;                 /* freed by the user of the struct; or NULL */
};

/* A server's report on its state. */
struct kcp_server_report
{
  bool busy;          /* an order is in progress */
  int64_t started_ms; /* Unix time at which the server started; 0: it does not say */
  int64_t orders_taken;
  int64_t waiting; /* requests in its queue */
  int64_t running; /* requests that it is running */
  GArray *weights; /* struct kcp_server_weights */
};

/* A change in a server's cache. */
struct kcp_cache_event
{
  char *cache_space;
  char *part;
  int64_t tokens; /* of the part that are cached now */
};

struct kcp_cache_events
{
  int64_t start;  /* identifies the start of the server; each start has another value */
  int64_t next;   /* position to request next */
  bool lost;      /* events before these are missing */
  GArray *events; /* struct kcp_cache_event, cleared by the array */
};

/* Topics of the platform's store. */
enum kcp_store_topic
{
  KCP_STORE_OPERATOR, /* published by operators; records have keys */
  KCP_STORE_SERVERS,  /* entries of servers, keyed by id */
  KCP_STORE_ORDERS,   /* records of the order lease */
  KCP_STORE_VMS,      /* entries of VMs, keyed by address */
  KCP_STORE_BLOCKED,  /* blocked requests, keyed by fingerprint */
  KCP_STORE_SUSPECTS, /* suspects of crashes; records have keys */
  KCP_STORE_SOFTWARE, /* software versions in service; records have keys */
  KCP_STORE_STREAMS   /* which software versions began which streams */
};

#define KCP_STORE_UNCONDITIONAL (-1) /* expected_end of an append without a condition */

/* Era of the store's content. It rises each time that the store comes back from an older
   copy: what was written since the copy is lost, and its offsets are given out again. */
#define KCP_STORE_ERA_UNKNOWN (-1)

/* Called when the era has risen, before the answer that showed it is delivered. */
typedef void kcp_store_era_handler (void *user, int64_t era);

struct kcp_store_record
{
  int64_t offset;
  struct kcp_str key;   /* empty in a topic without keys */
  struct kcp_str value; /* empty: the key is deleted */
};

enum kcp_store_end
{
  KCP_STORE_DONE,
  KCP_STORE_TRIMMED,  /* the requested records have been removed from the topic */
  KCP_STORE_CONFLICT, /* the topic did not end at the offset that the append required */
  KCP_STORE_FAILED    /* refused or not answered; an append may have taken effect */
};

struct kcp_store_answer
{
  enum kcp_store_end end;
  int64_t next;       /* offset after the newest record of the topic */
  int64_t offset;     /* of an appended record */
  bool more;          /* the listing continues after the last key in records */
  GArray *records;    /* struct kcp_store_record, in order */
  const char *reason; /* of a failure; otherwise unspecified */
};

typedef void kcp_store_done (void *user, const struct kcp_store_answer *answer);

/* The platform's store. Each call invokes its done callback exactly once. A call that was
   sent in another era than it was answered in fails. */
struct kcp_store
{
  void *self;
  int64_t (*era) (void *self); /* KCP_STORE_ERA_UNKNOWN before the first answer */
  void (*watch_era) (void *self, kcp_store_era_handler *handler, void *user);
  void (*list) (void *self, enum kcp_store_topic topic, const char *after_key,
                kcp_store_done *done, void *user);
  void (*read) (void *self, enum kcp_store_topic topic, int64_t from_offset,
                int64_t wait_ms, kcp_store_done *done, void *user);
  /* Appends a record if the topic ends at offset expected_end. key is empty in a topic
     without keys. */
  void (*append) (void *self, enum kcp_store_topic topic, int64_t expected_end,
                  struct kcp_str key, struct kcp_str value, kcp_store_done *done,
                  void *user);
};

/* Kind of a record that operators publish. */
enum kcp_operator_kind
{
  KCP_OPERATOR_OTHER, /* does not concern the router, or cannot be parsed */
  KCP_OPERATOR_ROUTES,
  KCP_OPERATOR_WEIGHTS
};

struct kcp_operator_record
{
  enum kcp_operator_kind kind;
  union
  {
    struct kcp_routes *routes; /* a reference that the caller releases */
    struct
    {
      char *model; /* freed by the caller */
      int64_t version;
    } weights;
  };
};

struct kcp_dialect
{
  /* Reads a header of a caller's request into inbound. Returns false if the header is
     forwarded unchanged. */
  bool (*read_request_header) (struct kcp_inbound *inbound, const char *name,
                               const char *value);
  /* Appends the header lines for head to list. */
  void (*write_request_head) (struct curl_slist **list,
                              const struct kcp_request_head *head);
  /* Reads a header of a server's answer into head; other headers are ignored. */
  void (*read_answer_header) (struct kcp_answer_head *head, struct kcp_str name,
                              struct kcp_str value);
  /* Returns true if the status alone shows that the server did not run the request. */
  bool (*status_is_not_run) (long status);
  void (*write_order) (const struct kcp_order *order, struct kcp_control_call *call);
  enum kcp_order_answer (*read_order_answer) (long status);
  /* server_id: every other server refuses the call; NULL: any answers. */
  void (*write_report_call) (const char *server_id, struct kcp_control_call *call);
  bool (*read_report) (struct kcp_str body, struct kcp_server_report *report);
  /* Stores the path, which the caller frees, in path as well as in call. */
  void (*write_events_call) (int64_t since, int64_t wait_ms,
                             struct kcp_control_call *call, char **path);
  bool (*read_events) (struct kcp_str body, struct kcp_cache_events *events);
  /* Returns false and sets reason if the record does not describe a usable server. */
  bool (*read_server) (struct kcp_str key, struct kcp_str value,
                       struct kcp_server_entry *entry, const char **reason);
  /* Returns false and sets reason if the record is not valid. */
  bool (*read_operator) (struct kcp_str key, struct kcp_str value,
                         struct kcp_operator_record *record, const char **reason);
  const char *ready_path; /* that the load balancer's health check requests */
};

void kcp_inbound_clear (struct kcp_inbound *inbound);
void kcp_answer_head_clear (struct kcp_answer_head *head);

#endif
