#include "forward/resume_lookup.h"

#include "forward/feed.h"
#include "forward/software_versions.h"

/* The versions in service, the records of streams and the servers' list. */
#define READS         3u
#define LOOK_AGAIN_NS (100 * KCP_NS_PER_MS)
/* A caller waits at most this long for the store. */
#define GIVE_UP_NS (400 * KCP_NS_PER_MS)

struct kcp_resume_lookups
{
  struct kcp_gateway *gateway;
  GPtrArray *waiting; /* struct kcp_resume_lookup, borrowed */
  unsigned reads;     /* calls of the round that have not ended; 0: there is no round */
  bool answered;      /* the store has answered those that have */
};

static bool is_own (const struct kcp_resume_lookups *lookups, const char *id);
static bool decide (struct kcp_resume_lookup *lookup, bool answered, bool final);
static void begin_round (struct kcp_resume_lookups *lookups);
static void on_read (void *user, bool answered);
static void end_round (struct kcp_resume_lookups *lookups);
static void look_again (void *user);
static void give_up (void *user);

/* Creates the state; gateway must outlive it. */
struct kcp_resume_lookups *
kcp_resume_lookups_new (struct kcp_gateway *gateway)
{
  struct kcp_resume_lookups *lookups = g_new0 (struct kcp_resume_lookups, 1);

  lookups->gateway = gateway;
  lookups->waiting = g_ptr_array_new ();
  return lookups;
}

/* Frees the state; NULL is allowed. All lookups must have ended, and the store's client
   its calls. */
void
kcp_resume_lookups_free (struct kcp_resume_lookups *lookups)
{
  if (lookups == NULL)
    return;
  g_ptr_array_unref (lookups->waiting);
  g_free (lookups);
}

/* Looks for the stream that the attempt id began; id may be NULL. What id and route point
   to must outlive the lookup. done is called before this function returns if the stream
   began at this VM. */
void
kcp_resume_lookup_start (struct kcp_resume_lookups *lookups,
                         struct kcp_resume_lookup *lookup, const char *id,
                         const struct kcp_route *route, kcp_resume_lookup_done *done,
                         void *user)
{
  struct kcp_loop *loop = lookups->gateway->loop;

  lookup->lookups = lookups;
  lookup->id = id;
  lookup->route = route;
  lookup->done = done;
  lookup->user = user;
  if (is_own (lookups, id) && decide (lookup, false, true))
    return;
  kcp_loop_timer_set (loop, &lookup->give_up_timer, kcp_loop_now (loop) + GIVE_UP_NS,
                      give_up, lookup);
  g_ptr_array_add (lookups->waiting, lookup);
  begin_round (lookups);
}

/* Returns true if the stream began at this VM. What other VMs have written is read again:
   an older build may have written another record of the stream since. */
static bool
is_own (const struct kcp_resume_lookups *lookups, const char *id)
{
  const struct kcp_stream_record *record
      = id != NULL ? kcp_stream_records_find (lookups->gateway->stream_records, id)
                   : NULL;

  return record != NULL && record->own;
}

/* Ends a lookup without a decision. Does nothing if it is not in progress. */
void
kcp_resume_lookup_cancel (struct kcp_resume_lookup *lookup)
{
  if (lookup->lookups == NULL)
    return;
  kcp_loop_timer_cancel (&lookup->give_up_timer);
  kcp_loop_timer_cancel (&lookup->again_timer);
  g_ptr_array_remove (lookup->lookups->waiting, lookup);
  lookup->lookups = NULL;
}

/* Ends the lookup if what is known decides it. final: it does not wait any longer. */
static bool
decide (struct kcp_resume_lookup *lookup, bool answered, bool final)
{
  const struct kcp_gateway *gateway = lookup->lookups->gateway;
  const struct kcp_stream_record *record
      = lookup->id != NULL ? kcp_stream_records_find (gateway->stream_records, lookup->id)
                           : NULL;
  struct kcp_stream_origin only = { 0 };
  struct kcp_resume_facts facts = {
    .recorded = record != NULL,
    .contradicted = record != NULL && record->contradicted,
    .store_answered = answered,
    .looked_before = lookup->looked || final,
    .versions
    = kcp_software_versions_of_route (gateway->software_versions, lookup->route, &only),
  };
  struct kcp_resume_found found = {
    .decision = kcp_resume_decide (&facts),
    .origin = record != NULL ? record->origin : only,
    .store_answered = answered,
    .versions = facts.versions,
  };

  if (found.decision == KCP_RESUME_LOOK_AGAIN)
    return false;
  kcp_resume_lookup_cancel (lookup);
  lookup->done (lookup->user, &found);
  return true;
}

/* Reads the store for the lookups that wait, unless it is being read for others. */
static void
begin_round (struct kcp_resume_lookups *lookups)
{
  struct kcp_gateway *gateway = lookups->gateway;
  bool wanted = false;

  if (lookups->reads > 0)
    return;
  for (guint i = 0; i < lookups->waiting->len; i++)
    {
      struct kcp_resume_lookup *lookup = g_ptr_array_index (lookups->waiting, i);

      lookup->in_round = !lookup->resting;
      wanted = wanted || lookup->in_round;
    }
  if (!wanted)
    return;
  lookups->reads = READS;
  lookups->answered = true;
  kcp_software_versions_read_store (gateway->software_versions, on_read, lookups);
  kcp_stream_records_read_store (gateway->stream_records, on_read, lookups);
  if (gateway->feed != NULL)
    kcp_feed_read_servers (gateway->feed, on_read, lookups);
  else
    on_read (lookups, true);
}

/* Ends the round once all has been read. Servers may be listed whose versions the leaders
   have not written yet. */
static void
on_read (void *user, bool answered)
{
  struct kcp_resume_lookups *lookups = user;

  lookups->answered = lookups->answered && answered;
  lookups->reads--;
  if (lookups->reads > 0)
    return;
  kcp_software_versions_note_listed (lookups->gateway->software_versions);
  end_round (lookups);
}

static void
end_round (struct kcp_resume_lookups *lookups)
{
  struct kcp_loop *loop = lookups->gateway->loop;
  g_autoptr (GPtrArray) round = g_ptr_array_new ();

  for (guint i = 0; i < lookups->waiting->len; i++)
    if (((const struct kcp_resume_lookup *)g_ptr_array_index (lookups->waiting, i))
            ->in_round)
      g_ptr_array_add (round, g_ptr_array_index (lookups->waiting, i));
  for (guint i = 0; i < round->len; i++)
    {
      struct kcp_resume_lookup *lookup = g_ptr_array_index (round, i);

      lookup->in_round = false;
      if (decide (lookup, lookups->answered, false))
        continue;
      lookup->looked = true;
      lookup->resting = true;
      kcp_loop_timer_set (loop, &lookup->again_timer, kcp_loop_now (loop) + LOOK_AGAIN_NS,
                          look_again, lookup);
    }
  begin_round (lookups);
}

static void
look_again (void *user)
{
  struct kcp_resume_lookup *lookup = user;

  lookup->resting = false;
  begin_round (lookup->lookups);
}

static void
give_up (void *user)
{
  (void)decide (user, false, true);
}
