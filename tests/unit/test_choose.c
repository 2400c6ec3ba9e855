/* Where prompts are placed: by which level of a shared prefix of one, two and four they
   are placed, fetched and saved, and by which weights. Servers "a" and "b" run requests,
   beside a store of kept cache. */
#include <check.h>
#include <string.h>

#include "forward/cached_parts.h"
#include "platform/platform.h"
#include "tests/harness/run_suite.h"

#define STORE        "10.0.0.9:1"
#define OWN_TOKENS   700
#define LEVELS_MAX   4
#define REPLACE_MS   12000
#define WAIT_MOST_MS 2800
#define CHOICES      100

/* A prompt's shared parts; the last, own part is added to each. */
struct chain
{
  guint count;
  int64_t tokens[LEVELS_MAX];
};

static const struct chain chains[] = {
  { .count = 1, .tokens = { 9000 } },
  { .count = 2, .tokens = { 512, 4870 } },
  { .count = 4, .tokens = { 400, 400, 400, 400 } },
};

static struct kcp_forward_settings settings = { .vm_data_center = (char *)"z",
                                                .weights_replace_ms = REPLACE_MS,
                                                .retry_burst = 54,
                                                .retry_window_s = 10 };
static struct kcp_gateway gateway;
static struct kcp_inbound inbound;
static struct kcp_choice choice;
static GPtrArray *tried;

static void
add_server (const char *id, const char *address)
{
  struct kcp_server_entry entry;

  kcp_server_entry_init (&entry);
  entry.id = g_strdup (id);
  entry.service = g_strdup ("s");
  entry.address = g_strdup (address);
  entry.data_center = g_strdup ("z");
  entry.state = KCP_SERVER_READY;
  entry.slots = 64;
  entry.started_ms = 1;
  kcp_server_entry_add_weights (&entry, "m", 1);
  kcp_servers_apply (gateway.servers, &entry);
}

static void
add_store (void)
{
  struct kcp_routes *routes = kcp_routes_new (1);
  struct kcp_service_info *service = g_new0 (struct kcp_service_info, 1);

  service->name = g_strdup ("store");
  service->cache_store = g_strdup (STORE);
  service->cache_store_dc = g_strdup ("z");
  g_hash_table_insert (routes->services, service->name, service);
  kcp_servers_take_stores (gateway.servers, routes);
  kcp_routes_unref (routes);
}

static void
add_part (const char *id, int64_t tokens)
{
  struct kcp_prompt_part part = { .id = g_strdup (id), .tokens = tokens };

  g_array_append_val (inbound.parts, part);
  inbound.prompt_tokens += tokens;
}

/* Names the parts of all chains alike: p0, p1 and so on, and own. */
static void
make_prompt (const struct chain *chain)
{
  inbound.model = (char *)"m";
  inbound.parts = g_array_new (FALSE, FALSE, sizeof (struct kcp_prompt_part));
  for (guint i = 0; i < chain->count; i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u", i);

      add_part (id, chain->tokens[i]);
    }
  add_part ("own", OWN_TOKENS);
}

static void
set_up (const struct chain *chain)
{
  memset (&inbound, 0, sizeof inbound);
  memset (&choice, 0, sizeof choice);
  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  add_server ("a", "10.0.0.1:1");
  add_server ("b", "10.0.0.2:1");
  add_store ();
  make_prompt (chain);
  tried = g_ptr_array_new ();
  choice.inbound = &inbound;
  choice.service = "s";
  choice.tried = tried;
}

static void
tear_down (void)
{
  for (guint i = 0; i < inbound.parts->len; i++)
    g_free (g_array_index (inbound.parts, struct kcp_prompt_part, i).id);
  g_array_unref (inbound.parts);
  g_ptr_array_unref (tried);
  kcp_choice_clear (&choice);
  kcp_gateway_clear (&gateway);
}

static struct kcp_server *
server (const char *id)
{
  return kcp_servers_find (gateway.servers, id);
}

static struct kcp_server *
store (void)
{
  return g_ptr_array_index (kcp_servers_stores (gateway.servers), 0);
}

/* Lets the server's or the store's events show the first count parts of the chain. */
static void
show_held (struct kcp_server *holder, guint count)
{
  g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u", i);
      uint64_t key = kcp_part_key ("m/1/", id);

      g_array_append_val (keys, key);
    }
  kcp_server_take_held (holder, keys, kcp_loop_now (gateway.loop));
}

START_TEST (test_a_prompt_goes_where_its_prefix_is_kept)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  show_held (server ("a"), 0);
  show_held (server ("b"), chain->count);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "b");
  ck_assert_int_eq (choice.uncached_tokens, OWN_TOKENS);
  ck_assert_ptr_null (choice.fetch_from);
  ck_assert_str_eq (choice.save_to, STORE);
  tear_down ();
}
END_TEST

START_TEST (test_a_prefix_is_fetched_from_the_server_that_keeps_it)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  show_held (server ("a"), 0);
  show_held (server ("b"), chain->count);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, "10.0.0.2:1");
  ck_assert_int_lt (choice.uncached_tokens, inbound.prompt_tokens);
  tear_down ();
}
END_TEST

START_TEST (test_a_prefix_that_only_the_store_keeps_is_fetched_from_it)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  show_held (server ("a"), 0);
  show_held (server ("b"), 0);
  show_held (store (), chain->count);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.fetch_from, STORE);
  ck_assert_ptr_null (choice.save_to);
  tear_down ();
}
END_TEST

/* A server that keeps part of the chain is no source for the rest. */
START_TEST (test_the_source_is_the_one_with_the_most_levels)
{
  set_up (&chains[2]);
  show_held (server ("a"), 0);
  show_held (server ("b"), 3);
  show_held (store (), 4);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, STORE);
  tear_down ();
}
END_TEST

/* Load pattern: short questions of many sessions, whose common parts every server would
   read for itself. */
START_TEST (test_a_short_prefix_is_fetched_but_not_saved)
{
  static const struct chain chain = { .count = 2, .tokens = { 341, 227 } };

  set_up (&chain);
  show_held (server ("a"), 0);
  show_held (server ("b"), chain.count);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, "10.0.0.2:1");
  ck_assert_ptr_null (choice.save_to);
  tear_down ();
}
END_TEST

/* What this VM has just sent goes before the server's events. */
START_TEST (test_a_prefix_that_is_being_read_is_waited_for)
{
  const struct chain *chain = &chains[_i];
  const struct kcp_server *first;

  set_up (chain);
  show_held (server ("a"), 0);
  show_held (server ("b"), 0);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.save_to, STORE);
  first = choice.server;
  kcp_choice_remember (&gateway, &choice);
  for (int i = 0; i < CHOICES; i++)
    {
      kcp_choose (&gateway, &choice);
      ck_assert_ptr_eq (choice.server, first);
      ck_assert_int_eq (choice.uncached_tokens, OWN_TOKENS);
    }
  tear_down ();
}
END_TEST

/* Load pattern: a third of the servers dark and new weights on all others, so that
   requests wait for up to 2.8 s at a server before they begin. */
START_TEST (test_old_weights_are_left_out_while_a_request_may_wait_past_their_time)
{
  int64_t now;

  set_up (&chains[0]);
  now = kcp_loop_now (gateway.loop);
  kcp_gateway_name_weights (&gateway, "m", 2,
                            now - (REPLACE_MS - WAIT_MOST_MS) * KCP_NS_PER_MS);
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_null (choice.server);
  tear_down ();
}
END_TEST

START_TEST (test_old_weights_serve_for_half_of_their_time)
{
  int64_t now;

  set_up (&chains[0]);
  now = kcp_loop_now (gateway.loop);
  kcp_gateway_name_weights (&gateway, "m", 2, now - REPLACE_MS / 2 * KCP_NS_PER_MS);
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_nonnull (choice.server);
  tear_down ();
}
END_TEST

/* Requests with different own parts meet at one server while nobody keeps the prefix. */
START_TEST (test_all_vms_choose_one_home_for_an_unknown_prefix)
{
  const struct chain *chain = &chains[_i];
  const struct kcp_server *home = NULL;

  set_up (chain);
  for (int i = 0; i < CHOICES; i++)
    {
      kcp_choose (&gateway, &choice);
      if (home == NULL)
        home = choice.server;
      ck_assert_ptr_eq (choice.server, home);
    }
  tear_down ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("choose");
  TCase *cases = tcase_create ("choose");
  int count = G_N_ELEMENTS (chains);

  tcase_add_loop_test (cases, test_a_prompt_goes_where_its_prefix_is_kept, 0, count);
  tcase_add_loop_test (cases, test_a_prefix_is_fetched_from_the_server_that_keeps_it, 0,
                       count);
  tcase_add_loop_test (cases, test_a_prefix_that_only_the_store_keeps_is_fetched_from_it,
                       0, count);
  tcase_add_test (cases, test_the_source_is_the_one_with_the_most_levels);
  tcase_add_test (cases, test_a_short_prefix_is_fetched_but_not_saved);
  tcase_add_loop_test (cases, test_a_prefix_that_is_being_read_is_waited_for, 0, count);
  tcase_add_loop_test (cases, test_all_vms_choose_one_home_for_an_unknown_prefix, 0,
                       count);
  tcase_add_test (cases,
                  test_old_weights_are_left_out_while_a_request_may_wait_past_their_time);
  tcase_add_test (cases, test_old_weights_serve_for_half_of_their_time);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
