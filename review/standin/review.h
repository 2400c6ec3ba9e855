/* Stand-ins and helpers of the review's scripts: the platform's store, model engines, an
   HTTP client, and the start and end of the project's processes. Everything uses loopback
   addresses and the real clock. */
#ifndef REVIEW_H
#define REVIEW_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RV_TEXT 4096

/* Milliseconds since the case began. */
double rv_now_ms (void);
void rv_sleep_ms (int ms);
/* Writes a line with the time to record.txt and to standard output. */
void rv_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Opens the record and the temporary folder; true if the disruption is to be played. */
bool rv_begin (const char *folder);
/* Ends all processes that the case started and exits: 0 held, 1 broken, 2 not run. */
void rv_end (int code) __attribute__ ((noreturn));
int rv_free_port (int type);

/* The platform's store. */
void rv_store_start (void);
int rv_store_port (void);
void rv_store_put (const char *topic, const char *key, const char *value);
/* Away: calls are answered by closing the connection. */
void rv_store_set_away (bool away);
/* A second port, whose calls get no answer while it is cut. */
int rv_store_other_port (void);
void rv_store_cut_other (bool cut);
void rv_store_copy (void);
/* Comes back from the copy: the era rises, records appended since the copy are gone. */
void rv_store_restore (void);
unsigned rv_store_end (const char *topic);

/* Model engines. */
struct rv_part
{
  char key[256]; /* salt and id */
  char tenant[64];
  int tokens;
};

struct rv_order
{
  double at_ms;
  char holder[64];
  long long fence;
  int version;
  int status;
};

struct rv_engine
{
  char id[32];
  char zone[32];
  int port;
  int version;
  int seq;
  bool busy;
  int load_ms;  /* how long new weights take */
  int event_ms; /* between the events of a stream */
  int events;   /* of a stream */
  char software[16];
  bool draining;
  bool plain;   /* of the service app, which has no model */
  long long born;
  pthread_mutex_t lock;
  struct rv_part parts[256];
  unsigned parts_count;
  struct rv_order orders[256];
  unsigned orders_count;
  unsigned runs;
  void (*on_use) (struct rv_engine *engine, const char *request, const char *tenant,
                  const struct rv_part *part);
  void (*on_order) (struct rv_engine *engine, const struct rv_order *order);
};

void rv_engine_start (struct rv_engine *engine, const char *id, const char *zone);
void rv_engine_put_entry (struct rv_engine *engine);

/* The project's processes. */
struct rv_vm
{
  char name[32];
  char zone[32];
  char folder[RV_TEXT];
  int port, ready_port, metrics_port, peers_port;
  bool other_path; /* to the store: set before rv_vm_prepare() */
  pid_t pid;
  int status; /* of waitpid(), once ended */
};

void rv_vm_prepare (struct rv_vm *vm, const char *name, const char *zone);
void rv_vm_start (struct rv_vm *vm);
bool rv_vm_wait_ready (struct rv_vm *vm, int timeout_ms);
void rv_vm_signal (struct rv_vm *vm, int signal);
bool rv_vm_wait_end (struct rv_vm *vm, int timeout_ms);

/* One request on a connection of its own. */
struct rv_answer
{
  int status; /* 0: none */
  bool complete;
  char *body; /* to be freed */
  size_t len;
};

int rv_connect (int port);
bool rv_send (int fd, const char *text);
struct rv_answer rv_receive (int fd, int timeout_ms);
struct rv_answer rv_call (int port, const char *head, const char *body, int timeout_ms);

extern const char *rv_config_format; /* version, isolated of tenant one */
void rv_put_config (int version, bool first_isolated);

#endif
