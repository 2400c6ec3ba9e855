#include "standin/faults.h"

#define RANDOM_DELAY_MS 30

static const char *const names[STANDIN_FAULT_COUNT] = {
  [STANDIN_FAULT_TIMES] = "times",
  [STANDIN_FAULT_RANDOM_PERCENT] = "random_percent",
  [STANDIN_FAULT_SEED] = "seed",
  [STANDIN_FAULT_BREAK_AFTER] = "break_after",
  [STANDIN_FAULT_EXIT_AFTER] = "exit_after",
  [STANDIN_FAULT_FREEZE_AFTER] = "freeze_after",
  [STANDIN_FAULT_DUPLICATE_AT] = "duplicate_at",
  [STANDIN_FAULT_SKIP_AT] = "skip_at",
  [STANDIN_FAULT_DELAY_MS] = "delay_ms",
  [STANDIN_FAULT_CROSS] = "cross",
  [STANDIN_FAULT_FORGET] = "forget",
  [STANDIN_FAULT_REFUSE] = "refuse",
};

/* Faults that are injected at random. Those that end the process are not among them. */
static const enum standin_fault random_kinds[] = {
  STANDIN_FAULT_BREAK_AFTER, STANDIN_FAULT_FREEZE_AFTER, STANDIN_FAULT_DUPLICATE_AT,
  STANDIN_FAULT_SKIP_AT,     STANDIN_FAULT_DELAY_MS,     STANDIN_FAULT_CROSS,
  STANDIN_FAULT_REFUSE,
};

static GRand *rng;

/* Initializes a set without faults. */
void
standin_faults_init (struct standin_faults *faults)
{
  for (int i = 0; i < STANDIN_FAULT_COUNT; i++)
    faults->values[i] = STANDIN_FAULT_NONE;
}

/* Replaces the faults by those of a JSON object. Returns false if the document is not a
   JSON object. */
bool
standin_faults_parse (struct standin_faults *faults, struct kcp_str document)
{
  json_t *json = json_loadb (document.data, document.len, 0, NULL);

  if (!json_is_object (json))
    {
      json_decref (json);
      return false;
    }
  standin_faults_init (faults);
  for (int i = 0; i < STANDIN_FAULT_COUNT; i++)
    if (json_is_integer (json_object_get (json, names[i])))
      faults->values[i] = json_integer_value (json_object_get (json, names[i]));
  json_decref (json);
  g_clear_pointer (&rng, g_rand_free);
  rng = g_rand_new_with_seed ((guint32)faults->values[STANDIN_FAULT_SEED]);
  return true;
}

/* Returns the faults of the next answer, which has this number of content events. */
struct standin_faults
standin_faults_next (struct standin_faults *faults, int64_t events)
{
  struct standin_faults next;

  standin_faults_init (&next);
  if (faults->values[STANDIN_FAULT_TIMES] > 0)
    {
      faults->values[STANDIN_FAULT_TIMES]--;
      next = *faults;
    }
  else if (g_rand_int_range (rng, 0, 100) < faults->values[STANDIN_FAULT_RANDOM_PERCENT])
    {
      int kind = g_rand_int_range (rng, 0, G_N_ELEMENTS (random_kinds));
      int64_t *value = &next.values[random_kinds[kind]];

      *value = g_rand_int_range (rng, 0, (gint32)events + 2);
      if (random_kinds[kind] == STANDIN_FAULT_DELAY_MS)
        *value *= RANDOM_DELAY_MS;
      if (random_kinds[kind] == STANDIN_FAULT_CROSS
          || random_kinds[kind] == STANDIN_FAULT_REFUSE)
        *value = 1;
    }
  return next;
}
