/* Stand-ins of the third review: the platform's store, model engines and application
   servers, callers, and the VMs as child processes. They speak what PROTOCOL.md says and
   share no code with the router. Everything listens on 127.0.0.1. */
#ifndef REVIEW_STANDIN_3_PLAT_H
#define REVIEW_STANDIN_3_PLAT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define PLAT_HEARTBEAT_MS 1200 /* of engines */
#define PLAT_ANSWER_MS    4    /* that the store takes for an answer */

/* One side of a connection, served by a thread of its own. */
struct plat_conn
{
  int fd;
  GString *in; /* received and not used yet */
};

struct plat_request
{
  char *method;
  char *target;        /* path and query */
  GHashTable *headers; /* names in lower case */
  GString *body;
};

/* Answers a request. Returns false if the connection is to be closed. */
typedef bool
plat_handler (struct plat_conn *conn, const struct plat_request *request, void *user);

/* What a caller got. */
struct plat_answer
{
  int status; /* 0: no answer */
  bool whole; /* it ended as its head says */
  GHashTable *headers;
  GString *body;
};

/* A call that a VM made to the store, told before it is answered. */
typedef void plat_store_watch (const char *vm, const char *call, const char *topic,
                               unsigned page, void *user);

struct plat_engine
{
  char id[24];
  char service[24];
  char zone[24];
  int port;
  const char *state; /* "ready" or "draining" */
  bool serves_model; /* it has model "m" */
  int64_t version;   /* of the model's weights */
  int64_t seq_no;    /* heartbeats */
  int64_t born;      /* Unix ms of its start */
  bool silent;       /* it writes no heartbeat */
  bool gone;         /* it has ended */
  int64_t orders;    /* accepted since its start */
  char *stored;      /* its entry without seq-no as it is in the store; NULL: none */
  plat_handler *work;
  void *user; /* of work */
};

struct plat_vm
{
  char name[24];
  char zone[24];
  int front;
  int ready;
  int metrics;
  int peers;
  int store; /* the store's port for this VM */
  char *folder;
  char *log;
  pid_t pid;
  unsigned starts;
};

/* Time and record. */
int64_t plat_now_ms (void);
void plat_sleep_until (int64_t at_ms);
void plat_record_open (const char *path);
void plat_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
bool plat_has_trouble (void);

/* HTTP. */
int plat_listen (plat_handler *handler, void *user);
void plat_stop_listening (int port);
const char *plat_header (const struct plat_request *request, const char *name);
void plat_send (struct plat_conn *conn, const char *bytes, gsize len);
void plat_reply (struct plat_conn *conn, int status, const char *headers,
                 const char *body, gssize len);
struct plat_answer plat_call (int port, const char *request, int timeout_ms);
void plat_answer_clear (struct plat_answer *answer);
int plat_free_port (void);

/* The store. */
void plat_store_start (unsigned page_size);
int plat_store_listen (const char *vm);
void plat_store_set_watch (plat_store_watch *watch, void *user);
int64_t plat_store_put (const char *topic, const char *key, const char *value);
int64_t plat_store_drop (const char *topic, const char *key);

/* Engines. */
struct plat_engine *plat_engine_new (const char *id, const char *service,
                                     const char *zone, plat_handler *work, void *user);
void plat_engine_beat (struct plat_engine *engine);
void plat_engine_leave_list (struct plat_engine *engine);
char *plat_engine_entry (const struct plat_engine *engine, bool with_seq_no);
bool plat_engine_answer (struct plat_engine *engine, struct plat_conn *conn,
                         const struct plat_request *request, const char *body);
void plat_beats_start (void);

/* VMs. */
struct plat_vm *plat_vm_new (const char *name, const char *zone);
void plat_vm_start (struct plat_vm *vm);
void plat_vm_kill (struct plat_vm *vm, int signal);
bool plat_vm_wait_ready (struct plat_vm *vm, int timeout_ms);
bool plat_vm_is_ready (const struct plat_vm *vm);
bool plat_vm_leads (const struct plat_vm *vm);
void plat_end (int code) G_GNUC_NORETURN;

#endif
