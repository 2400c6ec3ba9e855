/* Faults that the stand-in engine injects into its answers on command. */
#ifndef KCP_STANDIN_FAULTS_H
#define KCP_STANDIN_FAULTS_H

#include "standin/standin.h"

/* Values of PUT /faults, a JSON object; a key that is absent is STANDIN_FAULT_NONE. */
enum standin_fault
{
  STANDIN_FAULT_TIMES,          /* number of answers with the faults below */
  STANDIN_FAULT_RANDOM_PERCENT, /* percentage of all other answers with a random fault */
  STANDIN_FAULT_SEED,           /* seed of the random faults */
  STANDIN_FAULT_BREAK_AFTER,    /* close the connection after this number of events */
  STANDIN_FAULT_EXIT_AFTER,     /* end the process after this number of events */
  STANDIN_FAULT_FREEZE_AFTER,   /* stall the connection after this number of events */
  STANDIN_FAULT_DUPLICATE_AT,   /* send the event with this id twice */
  STANDIN_FAULT_SKIP_AT,        /* omit the event with this id */
  STANDIN_FAULT_DELAY_MS,       /* delay before the first event */
  STANDIN_FAULT_CROSS,          /* 1: answer with another attempt's id and text */
  STANDIN_FAULT_FORGET,         /* 1: an interrupted stream cannot be resumed */
  STANDIN_FAULT_REFUSE,         /* 1: answer 503 without running */
  STANDIN_FAULT_COUNT
};

#define STANDIN_FAULT_NONE (-1)

struct standin_faults
{
  int64_t values[STANDIN_FAULT_COUNT];
};

void standin_faults_init (struct standin_faults *faults);
bool standin_faults_parse (struct standin_faults *faults, struct kcp_str document);
struct standin_faults standin_faults_next (struct standin_faults *faults, int64_t events);

#endif
