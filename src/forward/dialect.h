/* What the outside's protocol says, as types: the adapter translates between these and
   the wire, and nothing else knows the names on it. */
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
  char *id; /* the same for all requests that share the part */
  int64_t tokens;
};

/* A caller's request. */
struct kcp_inbound
{
  char *method;
  char *target; /* path and query, as received */
  char *host;
  struct curl_slist *forwarded; /* header lines to be passed on unchanged */
  GString *body;
  char *id;            /* of this attempt of the caller */
  char *key;           /* of a team, or NULL */
  char *resume_after;  /* id of the last event that the caller has, or NULL */
  int64_t patience_ms; /* how long the caller waits; 0: not said */
  char *model;         /* of a prompt, or NULL */
  int64_t prompt_tokens;
  GArray *parts; /* struct kcp_prompt_part: the prompt's, in order */
};

/* What the router adds to a request on its way to a server. */
struct kcp_send_head
{
  const char *server_id; /* any other server refuses it */
  const char *model;     /* NULL: no prompt */
  int64_t weights;       /* any other version refuses it; 0: any */
  const char *team;      /* NULL: none */
  int64_t remaining_ms;
  int priority;             /* KCP_PRIORITY_NONE: not said */
  const char *cache_space;  /* requests share cache only within one; NULL: not said */
  const char *fetch_from;   /* address from which cached parts are taken, or NULL */
  const char *save_to;      /* address to which they are saved, or NULL */
  const char *resume_after; /* id of the last event that the caller has, or NULL */
};

/* The head of a server's answer. */
struct kcp_answer_head
{
  char *request_id; /* the attempt it belongs to, or NULL */
  bool signed_;     /* bears the server's signature */
  bool not_run;     /* the server says that it did not run the request */
  bool encoded;     /* the body is not the server's own bytes */
  int64_t weights;  /* version that made the answer; 0: not said */
};

/* An order to a server to take new weights. */
struct kcp_order
{
  const char *server_id;
  const char *model;
  int64_t version;
  int64_t orders_taken; /* refused unless the server has taken that many; -1: any */
  const char *holder;
  int64_t fence;
};

enum kcp_order_answer
{
  KCP_ORDER_ACCEPTED,
  KCP_ORDER_HOLDS,    /* the server already is as ordered */
  KCP_ORDER_CONFLICT, /* another order is under way, or others came between */
  KCP_ORDER_WRONG,    /* refused for good */
  KCP_ORDER_UNKNOWN   /* no answer that says whether it was taken */
};

/* A call of the router's own to a server. Texts are owned by the dialect or static. */
struct kcp_own_call
{
  const char *method;
  const char *path;
  struct curl_slist *headers; /* for the caller to free */
  char *body;                 /* for the caller to free, or NULL */
};

/* A server's report of its state. */
struct kcp_server_report
{
  bool busy; /* an order is under way */
  int64_t orders_taken;
  int64_t waiting; /* requests */
  int64_t running;
  GArray *weights; /* struct kcp_server_weights */
};

/* A change of what a server keeps in its cache. */
struct kcp_cache_event
{
  char *cache_space;
  char *part;
  int64_t tokens; /* of the part that are kept now */
};

struct kcp_cache_events
{
  int64_t start;  /* changes with each start of the server */
  int64_t next;   /* to be asked for next */
  bool lost;      /* events before these are missing */
  GArray *events; /* struct kcp_cache_event, cleared by the array */
};

/* Topics of the platform's store. */
enum kcp_store_topic
{
  KCP_STORE_OPERATOR, /* what operators publish; records have keys */
  KCP_STORE_SERVERS,  /* servers' entries by id; records have keys */
  KCP_STORE_ORDERS,   /* claims of the right to give orders */
  KCP_STORE_VMS       /* the VMs' entries by address */
};

#define KCP_STORE_ANYWHERE (-1) /* an append without a condition */

struct kcp_store_record
{
  int64_t offset;
  struct kcp_str key;   /* empty in a topic without keys */
  struct kcp_str value; /* empty: the key is dropped */
};

enum kcp_store_end
{
  KCP_STORE_DONE,
  KCP_STORE_TRIMMED, /* the records that were asked for are gone */
  KCP_STORE_MOVED,   /* the topic did not end where the append demanded */
  KCP_STORE_FAILED   /* refused or not answered; an append may have happened */
};

struct kcp_store_answer
{
  enum kcp_store_end end;
  int64_t next;       /* offset behind the newest record of the topic */
  int64_t offset;     /* of an appended record */
  bool more;          /* a listing goes on behind its last key */
  GArray *records;    /* struct kcp_store_record, in order */
  const char *reason; /* of a failure */
};

typedef void kcp_store_done (void *user, const struct kcp_store_answer *answer);

/* The platform's store. A call answers by its done callback exactly once. */
struct kcp_store
{
  void *self;
  void (*list) (void *self, enum kcp_store_topic topic, const char *after_key,
                kcp_store_done *done, void *user);
  void (*read) (void *self, enum kcp_store_topic topic, int64_t from, int64_t wait_ms,
                kcp_store_done *done, void *user);
  /* Appends a record if the topic ends at offset at; key is empty in topics without. */
  void (*append) (void *self, enum kcp_store_topic topic, int64_t at, struct kcp_str key,
                  struct kcp_str value, kcp_store_done *done, void *user);
};

/* What a record that operators publish says. */
enum kcp_operator_kind
{
  KCP_OPERATOR_OTHER, /* nothing that concerns the router, or not readable */
  KCP_OPERATOR_ROUTES,
  KCP_OPERATOR_WEIGHTS
};

struct kcp_operator_record
{
  enum kcp_operator_kind kind;
  union
  {
    struct kcp_routes *routes; /* a reference for the caller */
    struct
    {
      char *model; /* for the caller to free */
      int64_t version;
    } weights;
  };
};

struct kcp_dialect
{
  /* Takes in a request's header; false: it is to be passed on unchanged. */
  bool (*read_request_header) (struct kcp_inbound *inbound, const char *name,
                               const char *value);
  /* Appends the header lines of a send to list. */
  void (*write_send) (struct curl_slist **list, const struct kcp_send_head *head);
  /* Takes in an answer's header. */
  void (*read_answer_header) (struct kcp_answer_head *head, struct kcp_str name,
                              struct kcp_str value);
  /* The answer's status alone may say that a request did not run. */
  bool (*status_is_not_run) (long status);
  void (*write_order) (const struct kcp_order *order, struct kcp_own_call *call);
  enum kcp_order_answer (*read_order_answer) (long status);
  void (*write_report_call) (struct kcp_own_call *call);
  bool (*read_report) (struct kcp_str body, struct kcp_server_report *report);
  /* The call's path is for the caller to free. */
  void (*write_events_call) (int64_t since, int64_t wait_ms, struct kcp_own_call *call,
                             char **path);
  bool (*read_events) (struct kcp_str body, struct kcp_cache_events *events);
  /* False: the record names no server to be used; why says what is wrong. */
  bool (*read_server) (struct kcp_str key, struct kcp_str value,
                       struct kcp_server_entry *entry, const char **why);
  bool (*read_operator) (struct kcp_str key, struct kcp_str value,
                         struct kcp_operator_record *word, const char **why);
  const char *ready_path; /* of the balancer's question */
};

void kcp_inbound_clear (struct kcp_inbound *inbound);
void kcp_answer_head_clear (struct kcp_answer_head *head);

#endif
