/* A backend server as a process of its own, for the soak test of a fleet. It serves many
   connections, fails at random by its seed, and records each run in a file that survives
   its end. A line of the file:

   TIME_US INSTANCE EVENT ID [DETAIL]

   TIME_US is monotonic; an EVENT is one of begin, event, end, abandoned, refused (of a
   request), start, late (of the process), and garbled (the body is not the caller's). */
#ifndef KCP_SOAK_ENGINE_H
#define KCP_SOAK_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a server does wrong with one request. */
enum engine_fault
{
  ENGINE_SOUND,
  ENGINE_REFUSE,          /* 503 with Not-Executed */
  ENGINE_REFUSE_EARLY,    /* the same before the body is in */
  ENGINE_REFUSE_TWICE,    /* the same, written again at once */
  ENGINE_REFUSE_LATE,     /* the same, written again late */
  ENGINE_LOSE_IN_ORDER,   /* runs it and closes the connection without an answer */
  ENGINE_LOSE_BY_RESET,   /* likewise, with a reset */
  ENGINE_CUT_HEAD,        /* closes in order within the head of the answer */
  ENGINE_CUT_BODY,        /* ends within the body or an event */
  ENGINE_CUT_BY_RESET,    /* resets after a part of the body */
  ENGINE_ANSWER_TWICE,    /* the answer is written again late */
  ENGINE_INTERIM,         /* an interim head with Not-Executed before the answer */
  ENGINE_FAIL,            /* runs it and answers with a failure, without Not-Executed */
  ENGINE_SLOW,            /* takes many times as long */
  ENGINE_CLOSE_AT_ONCE,   /* closes the connection unread */
  ENGINE_CLOSE_ANNOUNCED, /* Connection: close */
  ENGINE_FAULT_COUNT
};

/* How an answer marks its end. */
enum engine_framing
{
  ENGINE_BY_LENGTH,
  ENGINE_BY_CHUNKS,
  ENGINE_BY_CLOSE
};

/* What the server does with one request, and its answer. */
struct engine_plan
{
  enum engine_fault fault;
  enum engine_framing framing;
  unsigned status;   /* of its answer */
  GPtrArray *pieces; /* text of each event, or of the whole body */
  unsigned sent;     /* number of pieces that were written */
  bool half_sent;    /* half of the next one was written */
  int64_t gap_us;    /* between pieces */
  int64_t work_us;   /* until the first piece */
};

/* What is read of a request. */
struct engine_request
{
  char id[48];
  char path[64];
  char wanted[32]; /* Expect-Instance; empty: none */
  unsigned resume_after;
  int64_t deadline_ms; /* 0: none */
  int64_t length;      /* of the body; -1: in chunks */
  long sum;            /* of the body's bytes as its caller sent them; -1: not said */
};

struct engine_process
{
  GRand *random;
  const char *instance;
  const char *software;
  int64_t born_ms;
  int records; /* file descriptor */
  bool leaving;
  unsigned runs;
};

int engine_main (int argc, char **argv);

void engine_record (const struct engine_process *process, const char *event,
                    const char *id, const char *detail);

void engine_read_head (const char *head, struct engine_request *request);
int64_t engine_read_body (const struct engine_request *request, const char *text,
                          size_t len, long *sum);

void engine_plan_request (struct engine_process *process, enum engine_fault fault,
                          const struct engine_request *request, struct engine_plan *plan);
void engine_plan_clear (struct engine_plan *plan);
void engine_write_head (const struct engine_process *process,
                        const struct engine_request *request,
                        const struct engine_plan *plan, GString *out);
void engine_write_piece (const struct engine_plan *plan, const char *text, size_t len,
                         GString *out);
void engine_write_refusal (const struct engine_request *request, unsigned status,
                           GString *out);

#endif
