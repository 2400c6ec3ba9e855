/* Tests which version of its weights a server is believed to have by what it shows and by
   what other VMs tell. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/weights_belief.h"
#include "tests/harness/run_suite.h"

#define STEPS_MAX  5
#define S(seconds) ((int64_t)((seconds)*KCP_NS_PER_S))

enum source
{
  NO_SOURCE,
  SERVER, /* the server had the version at some moment between two times */
  TOLD    /* another VM tells it at a time */
};

struct step
{
  enum source source;
  int64_t version;
  int64_t from_ns;
  int64_t until_ns;
  int64_t believed; /* after the step */
};

struct sequence
{
  const char *what;
  struct step steps[STEPS_MAX];
};

static const struct sequence sequences[] = {
  { "versions rise by any source",
    { { SERVER, 2, S (1), S (2), 2 },
      { TOLD, 3, 0, S (3), 3 },
      { TOLD, 2, 0, S (4), 3 } } },
  { "a report of before an order's effect",
    { { SERVER, 3, S (4), S (5), 3 }, { SERVER, 2, S (4.5), S (6), 3 } } },
  { "a late order takes the server back",
    { { SERVER, 3, S (4), S (5), 3 },
      { SERVER, 2, S (6), S (7), 2 },
      { SERVER, 3, S (8), S (9), 3 } } },
  { "an answer of before the late order arrives after it was noticed",
    { { SERVER, 3, S (4), S (5), 3 },
      { SERVER, 2, S (6), S (7), 2 },
      { SERVER, 3, S (5.5), S (9), 2 } } },
  { "another VM goes on telling the version that the server has lost",
    { { SERVER, 3, S (4), S (5), 3 },
      { SERVER, 2, S (6), S (7), 2 },
      { TOLD, 3, 0, S (8), 2 },
      { TOLD, 4, 0, S (8), 4 } } },
  { "another VM tells long after that the server has loaded it again",
    { { SERVER, 3, S (4), S (5), 3 },
      { SERVER, 2, S (6), S (7), 2 },
      { TOLD, 3, 0, S (20), 3 } } },
  { "the believed version is seen again before the lower one is shown",
    { { SERVER, 3, S (4), S (5), 3 },
      { SERVER, 3, S (6), S (8), 3 },
      { SERVER, 2, S (7), S (9), 3 },
      { SERVER, 2, S (8.5), S (10), 2 } } },
};

static void
take (struct kcp_weights_belief *belief, const struct step *step)
{
  switch (step->source)
    {
    case NO_SOURCE:
      break;
    case SERVER:
      (void)kcp_weights_belief_apply (belief, &(struct kcp_weights_evidence){
                                                  .version = step->version,
                                                  .from_ns = step->from_ns,
                                                  .until_ns = step->until_ns,
                                              });
      break;
    case TOLD:
      if (kcp_weights_belief_accepts_told (belief, step->version, step->until_ns))
        *belief = (struct kcp_weights_belief){ .version = step->version,
                                               .seen_ns = step->until_ns };
      break;
    }
}

/* Guards against servers that keep older weights since no VM believes that they fell, and
   against versions that are believed to fall by what was shown before they rose. */
START_TEST (test_version_that_a_server_has_lost_is_believed)
{
  const struct sequence *sequence = &sequences[_i];
  struct kcp_weights_belief belief = { .version = 1 };

  for (unsigned i = 0; i < STEPS_MAX; i++)
    {
      const struct step *step = &sequence->steps[i];

      if (step->source == NO_SOURCE)
        break;
      take (&belief, step);
      ck_assert_msg (belief.version == step->believed, "%s: step %u: %d", sequence->what,
                     i, (int)belief.version);
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("weights_belief");

  tcase_add_loop_test (cases, test_version_that_a_server_has_lost_is_believed, 0,
                       G_N_ELEMENTS (sequences));
  return run_started_suite ();
}
