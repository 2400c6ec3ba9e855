/* One backend server, with what this VM has learned of it. One thread. */
#ifndef KCP_FORWARD_SERVER_H
#define KCP_FORWARD_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum kcp_server_state
{
  KCP_SERVER_READY,
  KCP_SERVER_LEAVING
};

struct kcp_server_weights
{
  char *model;
  int64_t version;
};

/* What a server says of itself in its entry. */
struct kcp_server_entry
{
  char *id; /* incarnation that requests can demand */
  char *service;
  char *address; /* IP:PORT */
  char *data_center;
  enum kcp_server_state state;
  int64_t slots;
  int64_t started_ms; /* Unix time of its start */
  GArray *weights;    /* struct kcp_server_weights */
};

/* A long part of a prompt that another VM has sent to a server. */
struct kcp_sent_part
{
  uint64_t part;
  int64_t sent_ns;
};

struct kcp_server
{
  struct kcp_server_entry entry;
  uint64_t key;          /* see kcp_server_key() */
  uint64_t said;         /* hash of its newest entry */
  bool gone;             /* in no table any more */
  int64_t gone_at_ns;    /* its entry was removed and it is taken away then; 0: no */
  unsigned in_flight;    /* this VM's requests in flight there */
  int64_t unread_tokens; /* of their prompts, without an answer so far */
  unsigned failures;     /* in a row */
  int64_t suspected_until_ns;
  int64_t loading_until_ns;     /* it is believed to take new weights until then */
  int64_t own_loading_until_ns; /* as above, by an order of this VM */
  int64_t version_learned_ns;   /* when an answer last showed a new version; 0: never */
  unsigned others_open;         /* other VMs' requests in flight there */
  int64_t others_unread_tokens;
  GArray *held;         /* uint64_t, long parts of prompts kept there; NULL: not known */
  bool held_by_own;     /* this VM reads the server's cache events */
  int64_t held_ns;      /* when held was last confirmed */
  GArray *others_parts; /* struct kcp_sent_part, the oldest first; NULL: none */
  int64_t others_read_until_ns; /* until then it reads long prompts of other VMs */
  int64_t orders_taken;         /* since its start, from its reports; -1: not known */
};

void kcp_server_entry_init (struct kcp_server_entry *entry);
void kcp_server_entry_clear (struct kcp_server_entry *entry);
void kcp_server_entry_add_weights (struct kcp_server_entry *entry, const char *model,
                                   int64_t version);
struct kcp_server *kcp_server_ref (struct kcp_server *server);
void kcp_server_unref (struct kcp_server *server);
uint64_t kcp_server_key (const struct kcp_server *server);
int64_t kcp_server_first_version (const struct kcp_server *server);
void kcp_server_learn_first_version (struct kcp_server *server, int64_t version,
                                     int64_t now_ns);
void
kcp_server_take_held (struct kcp_server *server, const GArray *parts, int64_t now_ns);
bool kcp_server_holds (const struct kcp_server *server, uint64_t part);
void kcp_server_note_others_prompt (struct kcp_server *server, uint64_t part,
                                    int64_t unread_tokens, int64_t now_ns);
bool
kcp_server_is_sent_part (const struct kcp_server *server, uint64_t part, int64_t now_ns);
int64_t kcp_server_others_unread (const struct kcp_server *server, int64_t now_ns);
int64_t kcp_server_version (const struct kcp_server *server, const char *model);
void kcp_server_learn_version (struct kcp_server *server, const char *model,
                               int64_t version, int64_t now_ns);
void kcp_server_note_failure (struct kcp_server *server, int64_t now_ns);
void kcp_server_note_refusal (struct kcp_server *server, int64_t now_ns);
void kcp_server_note_answer (struct kcp_server *server);

#endif
