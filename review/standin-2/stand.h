/* Stand-ins for the scripts of the second review: the platform's store, engines and
   clients, in one process, and the VMs as processes of their own. Written after the
   users' pages alone; it uses nothing but the C library. All addresses are loopback
   addresses. */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define HEADERS_MAX 48
#define VMS_MAX     8

struct header
{
  char name[48];
  char value[256];
};

/* A request or an answer. */
struct message
{
  char method[16];
  char target[512];
  int status;
  struct header headers[HEADERS_MAX];
  int header_count;
  char *body; /* ends with a NUL that does not count */
  size_t body_len;
  bool complete; /* an answer that ended as HTTP says */
  int64_t sent_ms;
  int64_t done_ms;
};

typedef void http_handler (void *user, int fd, const struct message *request);

/* A server of HTTP with a thread for each connection. */
struct http_server
{
  int fd; /* -1: closed */
  int port;
  http_handler *handler;
  void *user;
  pthread_mutex_t lock;
  int connections[1024];
  int connection_count;
};

/* What an engine does with a request that is none of the system's own interface. */
struct engine;
typedef void engine_work (struct engine *engine, int fd, const struct message *request);

struct engine
{
  char id[32];
  char service[32];
  char zone[32];
  char model[32]; /* empty: a plain service */
  int64_t version;
  int64_t born_ms;
  int beats;  /* the seq-no of its entry */
  int orders; /* the seq-no of its report */
  int64_t busy_until_ms;
  int64_t loading; /* version that it will have then */
  bool up;
  bool beating;
  bool draining;
  int work_ms;
  engine_work *work; /* NULL: runs the request */
  /* Set to handle an order in another way; returns true if it did. */
  bool (*on_order) (struct engine *engine, int fd, const struct message *request);
  struct http_server http;
  pthread_mutex_t lock;
};

struct vm
{
  char zone[32];
  int port;
  int ready_port;
  int metrics_port;
  int peers_port;
  char settings[256];
  char log[256];
  pid_t pid;
};

int64_t now_ms (void); /* since the start of the program */
void sleep_ms (int64_t ms);
void sleep_until (int64_t ms);
void stand_open (const char *name); /* begins record.txt and the temporary folder */
int stand_close (int code);         /* ends what was started, returns code */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
bool trouble (void);

void
http_listen (struct http_server *server, int port, http_handler *handler, void *user);
void http_close (struct http_server *server); /* also its connections */
const char *http_header (const struct message *message, const char *name);
void http_reply (int fd, int status, const char *headers, const void *body, size_t len);
bool http_write (int fd, const void *data, size_t len);
bool http_read (int fd, struct message *message, bool is_answer, int64_t until_ms);
void message_clear (struct message *message);
int tcp_connect (int port);
void tcp_reset (int fd);
int free_port (void);

void store_start (void);
int store_port (void);
/* Appends a record as another writer of the platform does. Returns its offset. */
int64_t store_append (const char *topic, const char *key, const char *value);
void store_set_down (bool down); /* answers 503 */
void store_set_lost (double share, bool late);

void engine_start (struct engine *engine); /* listens, registers and beats */
void engine_write_entry (struct engine *engine, const char *state);
char *engine_make_entry (struct engine *engine, const char *state);
void engine_remove_entry (struct engine *engine);
void engine_stop (struct engine *engine); /* its process ends: listener, connections */
void engine_run (struct engine *engine, int fd, const struct message *request);
void engine_take_order (struct engine *engine, int fd, const struct message *order);

struct vm *vm_start (const char *zone);
void vm_start_again (struct vm *vm);
void vm_kill (struct vm *vm);
bool vm_wait_ready (struct vm *vm, int64_t ms);

/* Sends one request with an id of its own, on a connection of its own, and reads the
   answer. lines are further header lines. Returns false if no answer began. */
bool client_send (const struct vm *vm, const char *method, const char *path,
                  const char *id, int deadline_ms, const char *lines, const char *body,
                  struct message *answer);

#endif
