/* Faults that an engine injects into its answers on command. */
#ifndef KCP_STANDIN_FAULTS_H
#define KCP_STANDIN_FAULTS_H

#include "standin/standin.h"

/* Values of PUT /faults, a JSON object; a key that is absent is STANDIN_FAULT_NONE. */
enum standin_fault
{
  STANDIN_FAULT_TIMES,          /* answers that the faults apply to */
  STANDIN_FAULT_RANDOM_PERCENT, /* share of answers with a random fault, all the time */
  STANDIN_FAULT_SEED,           /* of the random faults */
  STANDIN_FAULT_BREAK_AFTER,    /* close the connection after so many events */
  STANDIN_FAULT_EXIT_AFTER,     /* end the process after so many events */
  STANDIN_FAULT_FREEZE_AFTER,   /* send nothing more on this connection */
  STANDIN_FAULT_DUPLICATE_AT,   /* send this event twice */
  STANDIN_FAULT_SKIP_AT,        /* leave this event out */
  STANDIN_FAULT_DELAY_MS,       /* before the first event */
  STANDIN_FAULT_CROSS,          /* 1: answer with another attempt's id and text */
  STANDIN_FAULT_FORGET,         /* 1: a broken stream cannot be resumed */
  STANDIN_FAULT_REFUSE,         /* 1: answer 503 before running */
  STANDIN_FAULTS
};

#define STANDIN_FAULT_NONE (-1)

struct standin_faults
{
  int64_t values[STANDIN_FAULTS];
};

void standin_faults_init (struct standin_faults *faults);
bool standin_faults_read (struct standin_faults *faults, struct kcp_str document);
struct standin_faults standin_faults_draw (struct standin_faults *faults, int64_t events);

#endif
