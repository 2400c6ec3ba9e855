/* Tests what VMs keep of the software versions that serve and of those that began
   streams, in the platform's store, and how streams go on that their callers resume. */
#include <check.h>
#include <string.h>

#include "forward/feed.h"
#include "forward/resume_lookup.h"
#include "forward/software_versions.h"
#include "platform/platform.h"
#include "tests/harness/run_suite.h"

#define VMS            2u
#define SERVICE        "s"
#define OTHER_SERVICE  "t"
#define STEP_MS        20
#define SOON_MS        200
#define BEFORE_RETIRED 29000 /* ms after the last server of a version was listed */
#define AFTER_RETIRED  31000
#define REFUSED_IN_MS  500 /* where the store does not answer */
#define LOST_RECORDS   3
#define TOPICS         (KCP_STORE_STREAMS + 1)
#define NOT_DECIDED    KCP_RESUME_LOOK_AGAIN
#define DECISION_CASES G_N_ELEMENTS (decision_cases)

struct record
{
  char *key;
  char *value;
};

/* A store whose calls are answered at once. */
static struct
{
  GArray *topics[TOPICS]; /* struct record */
  int64_t first[TOPICS];  /* offset of the oldest record that is kept */
  unsigned calls;
  bool down;                    /* calls fail */
  bool silent;                  /* calls are not answered */
  kcp_store_done *pending_done; /* of the newest call that was not answered */
  void *pending_user;
  unsigned server_calls; /* for the servers' list */
  kcp_store_era_handler *era_handlers[3 * VMS];
  void *era_users[3 * VMS];
  unsigned era_count;
} state;

static struct kcp_clock clock_ = { .kind = KCP_CLOCK_MANUAL };
static struct kcp_forward_settings settings = { .vm_data_center = (char *)"z",
                                                .retry_burst = 54,
                                                .retry_window_s = 10,
                                                .store_poll_ms = 60000 };
static struct kcp_gateway vms[VMS];
static struct kcp_route route;
static struct kcp_resume_lookup lookup;
static enum kcp_resume_decision decided;
static uint64_t decided_software;

static bool
fails (kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_FAILED, .reason = "down" };

  state.calls++;
  if (state.silent)
    {
      state.pending_done = done;
      state.pending_user = user;
      return true;
    }
  if (state.down)
    done (user, &answer);
  return state.down;
}

static void
store_list (void *self, enum kcp_store_topic topic, const char *after_key,
            kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_DONE };

  (void)self;
  (void)after_key;
  if (fails (done, user))
    return;
  answer.records = g_array_new (FALSE, TRUE, sizeof (struct kcp_store_record));
  for (guint i = 0; i < state.topics[topic]->len; i++)
    {
      const struct record *record
          = &g_array_index (state.topics[topic], struct record, i);
      struct kcp_store_record item = { .key = kcp_str_from_c (record->key),
                                       .value = kcp_str_from_c (record->value) };

      if (item.value.len > 0)
        g_array_append_val (answer.records, item);
    }
  done (user, &answer);
  g_array_unref (answer.records);
}

static void
store_read (void *self, enum kcp_store_topic topic, int64_t from_offset, int64_t wait_ms,
            kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_DONE };

  (void)self;
  (void)wait_ms;
  state.server_calls += topic == KCP_STORE_SERVERS;
  if (fails (done, user))
    return;
  answer.records = g_array_new (FALSE, TRUE, sizeof (struct kcp_store_record));
  answer.next = state.topics[topic]->len;
  if (from_offset < state.first[topic])
    {
      answer.end = KCP_STORE_TRIMMED;
      answer.next = state.first[topic];
    }
  for (gint64 i = from_offset; answer.end == KCP_STORE_DONE && i < answer.next; i++)
    {
      const struct record *record
          = &g_array_index (state.topics[topic], struct record, i);
      struct kcp_store_record item = { .offset = i,
                                       .key = kcp_str_from_c (record->key),
                                       .value = kcp_str_from_c (record->value) };

      g_array_append_val (answer.records, item);
    }
  done (user, &answer);
  g_array_unref (answer.records);
}

static void
store_append (void *self, enum kcp_store_topic topic, int64_t expected_end,
              struct kcp_str key, struct kcp_str value, kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_DONE };
  struct record record = { .key = kcp_str_dup (key), .value = kcp_str_dup (value) };

  (void)self;
  (void)expected_end;
  if (fails (done, user))
    {
      g_free (record.key);
      g_free (record.value);
      return;
    }
  for (guint i = state.topics[topic]->len; key.len > 0 && i > 0; i--)
    {
      struct record *old = &g_array_index (state.topics[topic], struct record, i - 1);

      if (strcmp (old->key, record.key) == 0)
        g_array_remove_index (state.topics[topic], i - 1);
    }
  g_array_append_val (state.topics[topic], record);
  done (user, &answer);
}

static void
watch_era (void *self, kcp_store_era_handler *handler, void *user)
{
  (void)self;
  ck_assert_uint_lt (state.era_count, G_N_ELEMENTS (state.era_handlers));
  state.era_handlers[state.era_count] = handler;
  state.era_users[state.era_count++] = user;
}

static const struct kcp_store store = {
  .list = store_list, .read = store_read, .append = store_append, .watch_era = watch_era
};

static void
record_clear (gpointer data)
{
  struct record *record = data;

  g_free (record->key);
  g_free (record->value);
}

static void
start_vm (unsigned i)
{
  struct kcp_gateway *vm = &vms[i];

  kcp_gateway_init (vm, &settings, &kcp_platform_dialect, &clock_);
  vm->stream_records = kcp_stream_records_start (vm, &store);
  vm->software_versions = kcp_software_versions_start (vm, &store);
  vm->resume_lookups = kcp_resume_lookups_new (vm);
}

/* Has the route send a share of its streams to a service. */
static void
add_target (const char *service)
{
  struct kcp_target target = { .service = (char *)service, .weight = 1 };

  g_array_append_val (route.targets, target);
}

static void
set_up (void)
{
  memset (&state, 0, sizeof state);
  for (unsigned i = 0; i < TOPICS; i++)
    {
      state.topics[i] = g_array_new (FALSE, FALSE, sizeof (struct record));
      g_array_set_clear_func (state.topics[i], record_clear);
    }
  lookup = (struct kcp_resume_lookup){ 0 };
  route.targets = g_array_new (FALSE, FALSE, sizeof (struct kcp_target));
  add_target (SERVICE);
  start_vm (0);
}

static void
stop_vm (unsigned i)
{
  struct kcp_gateway *vm = &vms[i];

  if (vm->loop == NULL)
    return;
  kcp_resume_lookups_free (vm->resume_lookups);
  kcp_software_versions_stop (vm->software_versions);
  kcp_stream_records_stop (vm->stream_records);
  kcp_gateway_clear (vm);
  *vm = (struct kcp_gateway){ 0 };
}

static void
tear_down (void)
{
  kcp_resume_lookup_cancel (&lookup);
  for (unsigned i = 0; i < VMS; i++)
    stop_vm (i);
  for (unsigned i = 0; i < TOPICS; i++)
    g_array_unref (state.topics[i]);
  g_array_unref (route.targets);
}

static void
stop_loop (void *user)
{
  kcp_loop_stop (user);
}

/* Lets time pass on a VM. */
static void
pass (struct kcp_gateway *vm, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      struct kcp_loop_timer end = { 0 };

      kcp_clock_advance (&clock_, STEP_MS * KCP_NS_PER_MS);
      kcp_loop_timer_set (vm->loop, &end, kcp_loop_now (vm->loop), stop_loop, vm->loop);
      kcp_loop_run (vm->loop);
    }
}

static void
add_server_of (struct kcp_gateway *vm, const char *service, const char *id,
               const char *software)
{
  struct kcp_server_entry entry;

  kcp_server_entry_init (&entry);
  entry.id = g_strdup (id);
  entry.service = g_strdup (service);
  entry.address = g_strdup_printf ("%s:1", id);
  entry.data_center = g_strdup ("z");
  entry.software = g_strdup (software);
  entry.state = KCP_SERVER_READY;
  entry.slots = 64;
  entry.started_ms = 1;
  kcp_servers_apply (vm->servers, &entry);
}

static void
add_server (struct kcp_gateway *vm, const char *id, const char *software)
{
  add_server_of (vm, SERVICE, id, software);
}

static void
remove_server (struct kcp_gateway *vm, const char *id)
{
  (void)kcp_servers_remove_at (vm->servers, id, 1);
  (void)kcp_servers_remove_due (vm->servers, kcp_loop_now (vm->loop));
}

/* Has a server begin a stream. */
static void
begin_stream (struct kcp_gateway *vm, const char *id, const char *server)
{
  const struct kcp_server *at = kcp_servers_find (vm->servers, server);
  struct kcp_stream_origin origin = {
    .service = kcp_software_key (at->entry.service),
    .software = kcp_software_key (at->entry.software),
  };

  struct kcp_stream_origin other;

  kcp_stream_records_note (
      vm->stream_records, id, &origin,
      kcp_software_versions_of_route (vm->software_versions, &route, &other) > 1);
}

static void
on_decided (void *user, const struct kcp_resume_found *found)
{
  (void)user;
  decided = found->decision;
  decided_software = found->origin.software;
}

/* Has a caller resume the stream, and lets time pass until that is decided. */
static enum kcp_resume_decision
resume (struct kcp_gateway *vm, const char *id)
{
  decided = NOT_DECIDED;
  kcp_resume_lookup_start (vm->resume_lookups, &lookup, id, &route, on_decided, NULL);
  for (int64_t passed = 0; decided == NOT_DECIDED && passed < REFUSED_IN_MS;
       passed += STEP_MS)
    pass (vm, STEP_MS);
  return decided;
}

static void
expect_resumed_at (struct kcp_gateway *vm, const char *id,
                   enum kcp_resume_decision decision, const char *software)
{
  ck_assert_int_eq (resume (vm, id), decision);
  ck_assert_uint_eq (decided_software, kcp_software_key (software));
}

static unsigned
record_count (enum kcp_store_topic topic)
{
  return state.topics[topic]->len;
}

/* Starts a second VM, which finds the servers that the first one has. */
static struct kcp_gateway *
start_other (const char *id, const char *software)
{
  start_vm (1);
  add_server (&vms[1], id, software);
  pass (&vms[1], SOON_MS);
  return &vms[1];
}

/* Lists a server of each of two versions. */
static void
list_two_versions (void)
{
  add_server (&vms[0], "a", "v1");
  add_server (&vms[0], "b", "v2");
  pass (&vms[0], SOON_MS);
}

START_TEST (test_streams_are_written_while_one_version_serves)
{
  unsigned calls;

  add_server (&vms[0], "a", "v1");
  pass (&vms[0], SOON_MS);
  calls = state.calls;
  for (int i = 0; i < 100; i++)
    begin_stream (&vms[0], "r1", "a");
  pass (&vms[0], SOON_MS);
  ck_assert_uint_eq (state.calls, calls);
  ck_assert_uint_eq (record_count (KCP_STORE_SOFTWARE), 1);
  expect_resumed_at (start_other ("a", "v1"), "r2", KCP_RESUME_AT_ONLY, "v1");
}
END_TEST

START_TEST (test_stream_in_progress_is_not_known_when_a_second_version_comes)
{
  add_server (&vms[0], "a", "v1");
  pass (&vms[0], SOON_MS);
  begin_stream (&vms[0], "r1", "a");
  add_server (&vms[0], "b", "v2");
  pass (&vms[0], SOON_MS);
  begin_stream (&vms[0], "r2", "b");
  pass (&vms[0], SOON_MS);
  (void)start_other ("b", "v2");
  expect_resumed_at (&vms[1], "r1", KCP_RESUME_AT_RECORDED, "v1");
  expect_resumed_at (&vms[1], "r2", KCP_RESUME_AT_RECORDED, "v2");
  ck_assert_int_eq (resume (&vms[1], "r3"), KCP_RESUME_REFUSE);
  ck_assert_int_eq (resume (&vms[1], NULL), KCP_RESUME_REFUSE);
}
END_TEST

START_TEST (test_many_streams_are_written_one_by_one)
{
  list_two_versions ();
  for (int i = 0; i < 100; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);

      begin_stream (&vms[0], id, i % 2 == 0 ? "a" : "b");
    }
  pass (&vms[0], SOON_MS);
  ck_assert_uint_le (record_count (KCP_STORE_STREAMS), 2);
  (void)start_other ("a", "v1");
  expect_resumed_at (&vms[1], "r0", KCP_RESUME_AT_RECORDED, "v1");
  expect_resumed_at (&vms[1], "r99", KCP_RESUME_AT_RECORDED, "v2");
}
END_TEST

/* Writes a record of a stream as a build does that notes each try. */
static void
write_record (const char *id, const char *software)
{
  struct record record = {
    .key = g_strdup (""),
    .value = g_strdup_printf ("%016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER
                              "x %016" G_GINT64_MODIFIER "x\n",
                              kcp_software_key (id), kcp_software_key (SERVICE),
                              kcp_software_key (software)),
  };

  g_array_append_val (state.topics[KCP_STORE_STREAMS], record);
}

START_TEST (test_stream_with_records_of_two_tries_goes_on_at_one_of_them)
{
  list_two_versions ();
  write_record ("r1", "v1");
  write_record ("r1", "v2");
  write_record ("r2", "v2");
  write_record ("r2", "v2");
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_REFUSE);
  expect_resumed_at (&vms[0], "r2", KCP_RESUME_AT_RECORDED, "v2");
}
END_TEST

START_TEST (test_record_that_was_read_hides_one_of_a_later_try)
{
  list_two_versions ();
  write_record ("r1", "v1");
  expect_resumed_at (&vms[0], "r1", KCP_RESUME_AT_RECORDED, "v1");
  write_record ("r1", "v2");
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_REFUSE);
}
END_TEST

START_TEST (test_record_is_written_with_another_version)
{
  list_two_versions ();
  begin_stream (&vms[0], "r1", "a");
  pass (&vms[0], SOON_MS);
  begin_stream (&vms[0], "r1", "b");
  pass (&vms[0], SOON_MS);
  expect_resumed_at (start_other ("a", "v1"), "r1", KCP_RESUME_AT_RECORDED, "v1");
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_REFUSE);
}
END_TEST

START_TEST (test_known_record_is_not_used_while_the_store_is_down)
{
  list_two_versions ();
  write_record ("r1", "v1");
  expect_resumed_at (&vms[0], "r1", KCP_RESUME_AT_RECORDED, "v1");
  state.down = true;
  expect_resumed_at (&vms[0], "r1", KCP_RESUME_AT_RECORDED, "v1");
}
END_TEST

START_TEST (test_version_whose_servers_have_left_is_forgotten_at_once)
{
  list_two_versions ();
  remove_server (&vms[0], "a");
  pass (&vms[0], BEFORE_RETIRED);
  ck_assert_uint_eq (record_count (KCP_STORE_SOFTWARE), 2);
  ck_assert_int_eq (resume (start_other ("b", "v2"), "r1"), KCP_RESUME_REFUSE);
}
END_TEST

START_TEST (test_version_whose_servers_have_left_is_kept_for_ever)
{
  list_two_versions ();
  remove_server (&vms[0], "a");
  pass (&vms[0], AFTER_RETIRED);
  expect_resumed_at (start_other ("b", "v2"), "r1", KCP_RESUME_AT_ONLY, "v2");
}
END_TEST

START_TEST (test_streams_are_not_found_after_the_oldest_records_expired)
{
  list_two_versions ();
  for (int i = 0; i <= LOST_RECORDS; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);

      begin_stream (&vms[0], id, "a");
      pass (&vms[0], SOON_MS);
    }
  state.first[KCP_STORE_STREAMS] = LOST_RECORDS;
  (void)start_other ("a", "v1");
  expect_resumed_at (&vms[1], "r3", KCP_RESUME_AT_RECORDED, "v1");
  ck_assert_int_eq (resume (&vms[1], "r0"), KCP_RESUME_REFUSE);
}
END_TEST

START_TEST (test_record_that_cannot_be_read_hides_others)
{
  static const char *const values[] = { "", "\n", "x y z\n", "12 34\n", "1 2 3 4\n" };

  list_two_versions ();
  for (unsigned i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct record stream = { .key = g_strdup (""), .value = g_strdup (values[i]) };
      struct record software = { .key = g_strdup (values[i]), .value = g_strdup ("{}") };

      g_array_append_val (state.topics[KCP_STORE_STREAMS], stream);
      g_array_append_val (state.topics[KCP_STORE_SOFTWARE], software);
    }
  begin_stream (&vms[0], "r1", "b");
  pass (&vms[0], SOON_MS);
  expect_resumed_at (start_other ("a", "v1"), "r1", KCP_RESUME_AT_RECORDED, "v2");
}
END_TEST

START_TEST (test_store_that_comes_back_older_has_lost_the_versions)
{
  list_two_versions ();
  begin_stream (&vms[0], "r1", "a");
  pass (&vms[0], SOON_MS);
  g_array_set_size (state.topics[KCP_STORE_STREAMS], 0);
  g_array_set_size (state.topics[KCP_STORE_SOFTWARE], 0);
  for (unsigned i = 0; i < state.era_count; i++)
    state.era_handlers[i](state.era_users[i], 1);
  pass (&vms[0], SOON_MS);
  expect_resumed_at (start_other ("b", "v2"), "r1", KCP_RESUME_AT_RECORDED, "v1");
}
END_TEST

START_TEST (test_caller_waits_for_a_store_that_does_not_answer)
{
  list_two_versions ();
  state.silent = true;
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_PASS_ON);
  begin_stream (&vms[0], "r2", "a");
  expect_resumed_at (&vms[0], "r2", KCP_RESUME_AT_RECORDED, "v1");
}
END_TEST

START_TEST (test_streams_that_begin_while_the_store_is_down_are_never_written)
{
  list_two_versions ();
  state.down = true;
  begin_stream (&vms[0], "r1", "a");
  pass (&vms[0], SOON_MS);
  state.down = false;
  pass (&vms[0], 1000);
  expect_resumed_at (start_other ("b", "v2"), "r1", KCP_RESUME_AT_RECORDED, "v1");
}
END_TEST

START_TEST (test_vm_that_started_while_the_store_was_down_takes_its_list_for_all)
{
  state.down = true;
  (void)start_other ("b", "v2");
  ck_assert_int_eq (resume (&vms[1], "r1"), KCP_RESUME_PASS_ON);
}
END_TEST

START_TEST (test_stream_goes_on_at_the_only_known_version_while_the_store_is_down)
{
  add_server (&vms[0], "a", "v1");
  pass (&vms[0], SOON_MS);
  expect_resumed_at (&vms[0], "r1", KCP_RESUME_AT_ONLY, "v1");
  state.down = true;
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_PASS_ON);
  state.down = false;
  state.silent = true;
  ck_assert_int_eq (resume (&vms[0], "r1"), KCP_RESUME_PASS_ON);
}
END_TEST

static void
ignore_change (void *user)
{
  (void)user;
}

/* Writes an entry to the servers' list in the store. */
static void
list_in_store (const char *id, const char *software)
{
  struct record record = {
    .key = g_strdup (id),
    .value = g_strdup_printf ("{\"service\":\"" SERVICE "\",\"address\":"
                              "\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"%s\","
                              "\"slots\":64,\"state\":\"ready\",\"born\":1}",
                              software),
  };

  g_array_append_val (state.topics[KCP_STORE_SERVERS], record);
}

/* The leaders have not written the second version yet, and the VM's next read of the list
   is far away. */
START_TEST (test_stream_goes_on_at_the_only_version_of_an_old_list)
{
  struct kcp_gateway *vm = &vms[0];

  list_in_store ("a", "v1");
  vm->feed = kcp_feed_start (vm, &store, ignore_change, NULL);
  pass (vm, SOON_MS);
  expect_resumed_at (vm, "r1", KCP_RESUME_AT_ONLY, "v1");
  list_in_store ("b", "v2");
  ck_assert_int_eq (resume (vm, "r1"), KCP_RESUME_REFUSE);
  kcp_feed_stop (vm->feed);
}
END_TEST

/* Splits the route between two services, also in a VM's configuration. */
static void
split_route (struct kcp_gateway *vm)
{
  struct kcp_route *split;

  add_target (OTHER_SERVICE);
  vm->routes = kcp_routes_new (1);
  split = kcp_routes_add_route (vm->routes);
  split->repeat = KCP_REPEAT_RESUMABLE;
  kcp_routes_add_target (split, SERVICE, 1);
  kcp_routes_add_target (split, OTHER_SERVICE, 1);
}

START_TEST (test_stream_of_a_split_route_goes_on_at_its_other_service)
{
  split_route (&vms[0]);
  add_server (&vms[0], "a", "v1");
  pass (&vms[0], SOON_MS);
  begin_stream (&vms[0], "r1", "a");
  expect_resumed_at (&vms[0], "r3", KCP_RESUME_AT_ONLY, "v1");
  add_server_of (&vms[0], OTHER_SERVICE, "b", "v7");
  pass (&vms[0], SOON_MS);
  begin_stream (&vms[0], "r2", "b");
  pass (&vms[0], SOON_MS);
  expect_resumed_at (start_other ("a", "v1"), "r2", KCP_RESUME_AT_RECORDED, "v7");
  expect_resumed_at (&vms[1], "r1", KCP_RESUME_AT_RECORDED, "v1");
  ck_assert_int_eq (resume (&vms[1], "r3"), KCP_RESUME_REFUSE);
}
END_TEST

static unsigned reads_ended;

static void
count_read (void *user, bool answered)
{
  (void)user;
  reads_ended += !answered;
}

/* The store's list does not answer while a lookup waits behind a call in progress, and
   then that call fails. */
START_TEST (test_lookup_waits_for_ever_behind_a_call_that_fails)
{
  struct kcp_gateway *vm = &vms[0];
  struct kcp_store_answer failed = { .end = KCP_STORE_FAILED, .reason = "down" };

  reads_ended = 0;
  state.silent = true;
  vm->feed = kcp_feed_start (vm, &store, ignore_change, NULL);
  kcp_feed_read_servers (vm->feed, count_read, NULL);
  ck_assert_uint_eq (reads_ended, 0);
  state.pending_done (state.pending_user, &failed);
  ck_assert_uint_eq (reads_ended, 1);
  kcp_feed_stop (vm->feed);
}
END_TEST

START_TEST (test_list_is_read_twice_for_one_lookup)
{
  struct kcp_gateway *vm = &vms[0];
  unsigned calls;

  list_in_store ("a", "v1");
  vm->feed = kcp_feed_start (vm, &store, ignore_change, NULL);
  pass (vm, SOON_MS);
  calls = state.server_calls;
  expect_resumed_at (vm, "r1", KCP_RESUME_AT_ONLY, "v1");
  pass (vm, SOON_MS);
  ck_assert_uint_eq (state.server_calls, calls + 1);
  kcp_feed_stop (vm->feed);
}
END_TEST

START_TEST (test_entries_without_a_version_are_of_several)
{
  add_server (&vms[0], "a", "");
  add_server (&vms[0], "b", NULL);
  pass (&vms[0], SOON_MS);
  expect_resumed_at (&vms[0], "r1", KCP_RESUME_AT_ONLY, "");
}
END_TEST

static const struct
{
  struct kcp_resume_facts facts;
  enum kcp_resume_decision decision;
} decision_cases[] = {
  { { .recorded = true, .versions = 2 }, KCP_RESUME_AT_RECORDED },
  { { .recorded = true }, KCP_RESUME_AT_RECORDED },
  { { .recorded = true, .contradicted = true, .store_answered = true, .versions = 1 },
    KCP_RESUME_REFUSE },
  { { .store_answered = true, .versions = 1 }, KCP_RESUME_AT_ONLY },
  { { .versions = 1 }, KCP_RESUME_PASS_ON },
  { { .versions = 1, .looked_before = true }, KCP_RESUME_PASS_ON },
  { { .recorded = true, .contradicted = true }, KCP_RESUME_REFUSE },
  { { .store_answered = true, .versions = 2 }, KCP_RESUME_LOOK_AGAIN },
  { { .store_answered = true, .versions = 2, .looked_before = true }, KCP_RESUME_REFUSE },
  { { .versions = 2 }, KCP_RESUME_PASS_ON },
  { { .store_answered = true }, KCP_RESUME_REFUSE },
};

START_TEST (test_resumed_stream_is_decided_wrongly)
{
  ck_assert_int_eq (kcp_resume_decide (&decision_cases[_i].facts),
                    decision_cases[_i].decision);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("stream versions");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_streams_are_written_while_one_version_serves);
  tcase_add_test (cases,
                  test_stream_in_progress_is_not_known_when_a_second_version_comes);
  tcase_add_test (cases, test_many_streams_are_written_one_by_one);
  tcase_add_test (cases, test_stream_with_records_of_two_tries_goes_on_at_one_of_them);
  tcase_add_test (cases, test_record_that_was_read_hides_one_of_a_later_try);
  tcase_add_test (cases, test_record_is_written_with_another_version);
  tcase_add_test (cases, test_known_record_is_not_used_while_the_store_is_down);
  tcase_add_test (cases, test_version_whose_servers_have_left_is_forgotten_at_once);
  tcase_add_test (cases, test_version_whose_servers_have_left_is_kept_for_ever);
  tcase_add_test (cases, test_streams_are_not_found_after_the_oldest_records_expired);
  tcase_add_test (cases, test_record_that_cannot_be_read_hides_others);
  tcase_add_test (cases, test_store_that_comes_back_older_has_lost_the_versions);
  tcase_add_test (cases, test_caller_waits_for_a_store_that_does_not_answer);
  tcase_add_test (cases,
                  test_streams_that_begin_while_the_store_is_down_are_never_written);
  tcase_add_test (cases,
                  test_vm_that_started_while_the_store_was_down_takes_its_list_for_all);
  tcase_add_test (cases,
                  test_stream_goes_on_at_the_only_known_version_while_the_store_is_down);
  tcase_add_test (cases, test_stream_goes_on_at_the_only_version_of_an_old_list);
  tcase_add_test (cases, test_stream_of_a_split_route_goes_on_at_its_other_service);
  tcase_add_test (cases, test_lookup_waits_for_ever_behind_a_call_that_fails);
  tcase_add_test (cases, test_list_is_read_twice_for_one_lookup);
  tcase_add_test (cases, test_entries_without_a_version_are_of_several);
  tcase_add_loop_test (cases, test_resumed_stream_is_decided_wrongly, 0, DECISION_CASES);
  return run_started_suite ();
}
