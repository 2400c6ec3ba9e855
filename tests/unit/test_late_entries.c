/* Tests which servers a VM uses when the store carries out a write of the servers' list
   late: when newer ones, or a removal, have been read. */
#include <check.h>

#include "forward/choose.h"
#include "forward/feed_private.h"
#include "platform/platform.h"
#include "tests/harness/run_suite.h"

#define FAR_MS 600000 /* ahead of the clock */

static const char settings_text[]
    = "[vm]\nid = vm1\ndata_center = z\n[callers]\nlisten = 127.0.0.1:1\n[ready]\n"
      "listen = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n[store]\n"
      "address = 127.0.0.1:4\n";

/* An entry of server "i-1". A text in place of its number, and of its start. */
struct entry
{
  const char *state;
  const char *sequence;
  const char *born;
};

/* A record, and whether the server is used after it. No state: a removal. */
struct step
{
  struct entry entry;
  bool used;
};

#define STEPS_MAX 6

struct sequence
{
  const char *what;
  struct step steps[STEPS_MAX];
};

static const struct sequence sequences[] = {
  { "a ready entry of before undoes draining",
    { { { "ready", "4", "1000" }, true },
      { { "draining", "7", "1000" }, false },
      { { "ready", "5", "1000" }, false },
      { { "draining", "8", "1000" }, false } } },
  { "a heartbeat of before lists a server again that has left",
    { { { "ready", "4", "1000" }, true },
      { { "ready", "6", "1000" }, true },
      { { NULL }, false },
      { { "ready", "5", "1000" }, false } } },
  { "the last heartbeat is carried out a second time",
    { { { "ready", "4", "1000" }, true },
      { { NULL }, false },
      { { "ready", "4", "1000" }, false } } },
  { "a heartbeat that the list had not shown comes after the removal",
    { { { "ready", "4", "1000" }, true },
      { { NULL }, false },
      { { "ready", "41", "1000" }, false } } },
  { "an entry without a number undoes the removal",
    { { { "ready", "4", "1000" }, true },
      { { NULL }, false },
      { { "ready", "null", "1000" }, false } } },
  { "an entry of an earlier start follows the removal of a later one",
    { { { "ready", "4", "2000" }, true },
      { { NULL }, false },
      { { "ready", "9", "1000" }, false } } },
  { "a draining entry of an earlier start stops a server that has started again",
    { { { "ready", "40", "1000" }, true },
      { { "ready", "1", "2000" }, true },
      { { "draining", "41", "1000" }, true } } },
};

/* What must not be taken for late. */
static const struct sequence live_sequences[] = {
  { "numbers begin anew with a later start",
    { { { "ready", "40", "1000" }, true },
      { { "ready", "1", "2000" }, true },
      { { "draining", "2", "2000" }, false },
      { { "ready", "1", "3000" }, true } } },
  { "a removal of before, and the server's next heartbeat",
    { { { "ready", "1", "1000" }, true },
      { { "ready", "1", "2000" }, true },
      { { NULL }, false },
      { { "ready", "1", "3000" }, true } } },
  { "entries without numbers are taken as they come",
    { { { "ready", "\"x\"", "1000" }, true },
      { { "draining", "null", "1000" }, false },
      { { "ready", "-5", "1000" }, true } } },
  { "a server without a start begins its numbers anew",
    { { { "ready", "40", "0" }, true },
      { { "draining", "41", "0" }, false },
      { { "ready", "1", "0" }, true } } },
};

static struct kcp_forward_settings *settings;
static struct kcp_gateway gateway;
static struct kcp_feed *feed;
static int64_t offset;
static const char *data_center; /* of the entries that are read */

/* A store that never answers. */
static void
list (void *self, enum kcp_store_topic topic, const char *after_key, kcp_store_done *done,
      void *user)
{
  (void)self;
  (void)topic;
  (void)after_key;
  (void)done;
  (void)user;
}

static void
watch_era (void *self, kcp_store_era_handler *handler, void *user)
{
  (void)self;
  (void)handler;
  (void)user;
}

static const struct kcp_store store = { .list = list, .watch_era = watch_era };

static void
on_changed (void *user)
{
  (void)user;
}

/* The listing is complete, and the records after it are read. */
static void
set_up (void)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);

  settings = kcp_forward_settings_parse ("test", settings_text, errors);
  ck_assert_ptr_nonnull (settings);
  kcp_gateway_init (&gateway, settings, &kcp_platform_dialect, &kcp_clock_system);
  feed = kcp_feed_start (&gateway, &store, on_changed, NULL);
  feed->servers.state = KCP_FEED_READING;
  offset = 0;
  data_center = "z";
}

static void
tear_down (void)
{
  kcp_feed_stop (feed);
  kcp_gateway_clear (&gateway);
  kcp_forward_settings_free (settings);
}

static void
read_text (const char *id, const char *text)
{
  struct kcp_store_record record = {
    .offset = offset,
    .key = kcp_str_from_c (id),
    .value = kcp_str_from_c (text),
  };

  offset++;
  (void)kcp_feed_apply_server (feed, &record);
}

static void
read_entry (const char *id, const struct entry *entry)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"%s\",\"slots\":6,"
      "\"state\":\"%s\",\"seq-no\":%s,\"born\":%s}",
      data_center, entry->state, entry->sequence, entry->born);

  read_text (id, entry->state != NULL ? text : "");
}

/* As read_entry(), in the listing. */
static void
list_entry (const char *id, const struct entry *entry)
{
  feed->servers.state = KCP_FEED_LISTING;
  read_entry (id, entry);
  feed->servers.state = KCP_FEED_READING;
}

/* Returns true if a request may be sent to the server, when all others were tried. */
static bool
is_used (const char *id)
{
  struct kcp_inbound inbound = { .id = (char *)"r", .prompt_tokens = 1 };
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  struct kcp_choice choice = { .inbound = &inbound, .service = "s", .tried = tried };
  const GPtrArray *all = kcp_servers_all (gateway.servers);
  bool used;

  for (guint i = 0; i < all->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (all, i);

      if (strcmp (server->entry.id, id) != 0)
        g_ptr_array_add (tried, server);
    }
  kcp_choose (&gateway, &choice);
  used = choice.server != NULL;
  kcp_choice_clear (&choice);
  return used;
}

static void
play (const struct sequence *sequence)
{
  read_entry ("i-2", &(struct entry){ "ready", "1", "1000" });
  list_entry ("i-1", &sequence->steps[0].entry);
  ck_assert_msg (is_used ("i-1"), "%s: the first entry", sequence->what);
  for (unsigned i = 1; i < STEPS_MAX; i++)
    {
      const struct step *step = &sequence->steps[i];

      if (step->entry.state == NULL && sequence->steps[i - 1].entry.state == NULL)
        break;
      read_entry ("i-1", &step->entry);
      ck_assert_msg (is_used ("i-1") == step->used, "%s: step %u", sequence->what, i);
    }
}

/* Guards against requests that reach a server later than drain-ms after it has left, as a
   write of before was carried out late. */
START_TEST (test_late_entry_brings_a_leaving_server_back)
{
  play (&sequences[_i]);
}
END_TEST

/* Guards against a live server that is taken for one whose entry was written late. */
START_TEST (test_live_server_is_kept_from_requests)
{
  play (&live_sequences[_i]);
}
END_TEST

/* Guards against a wrong start that keeps out all entries of a server. */
START_TEST (test_start_ahead_of_the_clock_keeps_out_later_entries)
{
  g_autofree char *ahead = g_strdup_printf (
      "%" G_GINT64_FORMAT, kcp_clock_realtime_ms (&kcp_clock_system) + FAR_MS);

  read_entry ("i-1", &(struct entry){ "draining", "1", ahead });
  read_entry ("i-1", &(struct entry){ "ready", "1", "1000" });
  ck_assert (is_used ("i-1"));
}
END_TEST

/* A VM that started after the removal. Guards as the first test. */
START_TEST (test_late_entry_is_used_by_a_vm_that_does_not_know_the_server)
{
  read_entry ("i-2", &(struct entry){ "ready", "1", "1000" });
  read_entry ("i-1", &(struct entry){ "ready", "41", "1000" });
  ck_assert (!is_used ("i-1"));
}
END_TEST

/* Guards against servers that wait although an outage of the store explains why their
   entries were gone. */
START_TEST (test_entry_that_is_back_after_an_outage_waits)
{
  int64_t now = kcp_loop_now (gateway.loop);

  read_entry ("i-2", &(struct entry){ "ready", "1", "1000" });
  list_entry ("i-1", &(struct entry){ "ready", "4", "1000" });
  read_entry ("i-1", &(struct entry){ NULL, NULL, NULL });
  ck_assert (!is_used ("i-1"));
  (void)kcp_entry_expiry_on_store_call (&feed->entry_expiry, false,
                                        now - 3 * KCP_NS_PER_S);
  (void)kcp_entry_expiry_on_store_call (&feed->entry_expiry, true, now);
  read_entry ("i-1", &(struct entry){ "ready", "7", "1000" });
  ck_assert (is_used ("i-1"));
}
END_TEST

/* Guards against callers refused in vain: all servers of a service lost and found the
   store. */
START_TEST (test_service_whose_servers_all_return_is_not_served)
{
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);

      read_entry (id, &(struct entry){ "ready", "4", "1000" });
      read_entry (id, &(struct entry){ NULL, NULL, NULL });
      read_entry (id, &(struct entry){ "ready", "9", "1000" });
    }
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);

      ck_assert (is_used (id));
    }
}
END_TEST

/* Guards against callers refused in vain: a data center was cut off from the store. One
   server alone that returns may have left. */
START_TEST (test_data_center_whose_servers_return_is_not_used)
{
  for (int i = 0; i < 5; i++)
    {
      g_autofree char *id = g_strdup_printf ("z-%d", i);

      list_entry (id, &(struct entry){ "ready", "1", "1000" });
    }
  data_center = "cut";
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("c-%d", i);

      list_entry (id, &(struct entry){ "ready", "1", "1000" });
      read_entry (id, &(struct entry){ NULL, NULL, NULL });
    }
  read_entry ("c-0", &(struct entry){ "ready", "9", "1000" });
  ck_assert (!is_used ("c-0"));
  read_entry ("c-1", &(struct entry){ "ready", "9", "1000" });
  ck_assert (is_used ("c-0"));
  ck_assert (is_used ("c-1"));
}
END_TEST

/* Guards against a server that is lost for good: records that a listing, which is no
   snapshot, has shown already are read again. */
START_TEST (test_record_read_again_removes_a_server_that_is_back)
{
  read_entry ("i-2", &(struct entry){ "ready", "1", "1000" });
  offset = 7;
  read_entry ("i-1", &(struct entry){ "ready", "1", "2000" });
  offset = 5;
  read_entry ("i-1", &(struct entry){ "ready", "9", "1000" });
  read_entry ("i-1", &(struct entry){ NULL, NULL, NULL });
  read_entry ("i-1", &(struct entry){ "ready", "1", "2000" });
  ck_assert (is_used ("i-1"));
}
END_TEST

/* Guards against a server that is lost for good: a listing that is older than the records
   read before lacks its entry. */
START_TEST (test_stale_listing_removes_a_server)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);

  offset = 7;
  read_entry ("i-1", &(struct entry){ "ready", "1", "1000" });
  feed->servers.listed_end = 6;
  kcp_feed_remove_unlisted (feed, listed);
  ck_assert (is_used ("i-1"));
  feed->servers.listed_end = 9;
  kcp_feed_remove_unlisted (feed, listed);
  ck_assert (!is_used ("i-1"));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("late_entries");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_loop_test (cases, test_late_entry_brings_a_leaving_server_back, 0,
                       G_N_ELEMENTS (sequences));
  tcase_add_loop_test (cases, test_live_server_is_kept_from_requests, 0,
                       G_N_ELEMENTS (live_sequences));
  tcase_add_test (cases, test_start_ahead_of_the_clock_keeps_out_later_entries);
  tcase_add_test (cases, test_late_entry_is_used_by_a_vm_that_does_not_know_the_server);
  tcase_add_test (cases, test_entry_that_is_back_after_an_outage_waits);
  tcase_add_test (cases, test_service_whose_servers_all_return_is_not_served);
  tcase_add_test (cases, test_data_center_whose_servers_return_is_not_used);
  tcase_add_test (cases, test_record_read_again_removes_a_server_that_is_back);
  tcase_add_test (cases, test_stale_listing_removes_a_server);
  return run_started_suite ();
}
