/* Tests the choice of a server for prompts with one, two and four shared prefix levels,
   the fetches and saves of cached parts, and the use of old weights. There are two
   servers, "a" and "b", and a KV cache store. */
#include <check.h>
#include <string.h>

#include "forward/cache_space.h"
#include "forward/choose.h"
#include "platform/platform.h"
#include "policy/place.h"
#include "tests/harness/run_suite.h"

#define LIMIT       2000 /* requests in 1000 seconds */
#define INTERVAL_NS (KCP_NS_PER_S / 2)
#define STORE       "10.0.0.9:1"
#define OWN_TOKENS  700
#define LEVELS_MAX  4
#define REPLACE_MS  12000
#define WAIT_MAX_MS 2800
#define US_PER_MS   1000
#define CHOICES     100

/* A prompt's shared parts. make_prompt() appends a last part that is not shared. */
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
  kcp_servers_set_stores (gateway.servers, routes);
  kcp_routes_unref (routes);
}

static void
add_part (const char *id, int64_t tokens)
{
  struct kcp_prompt_part part = { .id = g_strdup (id), .tokens = tokens };

  g_array_append_val (inbound.parts, part);
  inbound.prompt_tokens += tokens;
}

/* Makes a prompt of the chain. The ids of its parts are p0, p1 and so on; the last one is
   own. */
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

/* Sets the first count parts of the chain as the cached parts of the server or store. */
static void
set_cached_parts (struct kcp_server *holder, guint count)
{
  g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u", i);
      uint64_t key = kcp_part_key ("1//m", id);

      g_array_append_val (keys, key);
    }
  kcp_server_set_cached_parts (holder, keys, kcp_loop_now (gateway.loop));
}

/* Guards against a request that was accepted before its team, or another one, became
   isolated being sent with the cache space of before. */
START_TEST (test_cache_space_follows_the_configuration_in_force)
{
  struct kcp_routes *before = kcp_routes_new (1);
  struct kcp_routes *after = kcp_routes_new (2);

  set_up (&chains[0]);
  choice.team = kcp_routes_add_team (before, "x");
  kcp_routes_add_team (before, "y");
  kcp_gateway_set_routes (&gateway, kcp_routes_ref (before));
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.cache_space, "1//m");
  kcp_routes_isolate (after, kcp_routes_add_team (after, "x"));
  choice.team = kcp_routes_add_team (after, "y");
  kcp_gateway_set_routes (&gateway, after);
  kcp_choose (&gateway, &choice);
  ck_assert_str_ne (choice.cache_space, "1//m");
  choice.team = g_ptr_array_index (before->teams, 0);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.cache_space, "1/t1:x/m");
  kcp_routes_unref (before);
  tear_down ();
}
END_TEST

/* Guards against two pairs of a model and a team having one cache space. */
START_TEST (test_cache_spaces_of_different_models_and_teams_differ)
{
  static const char *const names[] = { "", "m", "m/2", "2/m", "t1:x", "s", "/", "x/m" };
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct kcp_routes *routes = kcp_routes_new (1);

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    kcp_routes_isolate (routes, kcp_routes_add_team (routes, names[i]));
  for (guint team = 0; team <= G_N_ELEMENTS (names); team++)
    for (guint model = 0; model < G_N_ELEMENTS (names); model++)
      for (int64_t version = 1; version <= 2; version++)
        {
          g_autofree char *scope = kcp_cache_scope (
              routes, team < G_N_ELEMENTS (names) ? names[team] : NULL);

          ck_assert (g_hash_table_add (
              seen, kcp_cache_space_name (names[model], version, scope)));
        }
  kcp_routes_unref (routes);
}
END_TEST

/* Guards against VMs that read the same teams in another order not sharing parts. */
START_TEST (test_scope_does_not_depend_on_the_order_of_teams)
{
  static const char *const names[] = { "x", "y", "z" };
  struct kcp_routes *one = kcp_routes_new (1);
  struct kcp_routes *other = kcp_routes_new (2);
  g_autofree char *scope = NULL;
  g_autofree char *scope_of_other = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      kcp_routes_isolate (one, kcp_routes_add_team (one, names[i]));
      kcp_routes_isolate (
          other, kcp_routes_add_team (other, names[G_N_ELEMENTS (names) - 1 - i]));
    }
  scope = kcp_cache_scope (one, NULL);
  scope_of_other = kcp_cache_scope (other, NULL);
  ck_assert_str_eq (scope, scope_of_other);
  kcp_routes_unref (one);
  kcp_routes_unref (other);
}
END_TEST

START_TEST (test_prompt_is_sent_where_prefix_is_cached)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), chain->count);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "b");
  ck_assert_int_eq (choice.uncached_tokens, OWN_TOKENS);
  ck_assert_ptr_null (choice.fetch_from);
  ck_assert_str_eq (choice.save_to, STORE);
  tear_down ();
}
END_TEST

START_TEST (test_prefix_is_fetched_from_server_that_has_it)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), chain->count);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, "10.0.0.2:1");
  ck_assert_int_lt (choice.uncached_tokens, inbound.prompt_tokens);
  tear_down ();
}
END_TEST

START_TEST (test_prefix_only_in_store_is_fetched_from_store)
{
  const struct chain *chain = &chains[_i];

  set_up (chain);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), 0);
  set_cached_parts (store (), chain->count);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.fetch_from, STORE);
  ck_assert_ptr_null (choice.save_to);
  tear_down ();
}
END_TEST

/* A server with only part of the chain is not chosen as the source while the store has
   all of it. */
START_TEST (test_parts_are_fetched_from_holder_of_most_levels)
{
  set_up (&chains[2]);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), 3);
  set_cached_parts (store (), 4);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, STORE);
  tear_down ();
}
END_TEST

/* Load pattern: short questions from many sessions. Without a fetch, every server would
   prefill their common parts itself. */
START_TEST (test_short_prefix_is_fetched_but_not_saved)
{
  static const struct chain chain = { .count = 2, .tokens = { 341, 227 } };

  set_up (&chain);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), chain.count);
  server ("b")->in_flight = 100;
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, "10.0.0.2:1");
  ck_assert_ptr_null (choice.save_to);
  tear_down ();
}
END_TEST

/* What this VM has just sent takes precedence over the server's cache events. */
START_TEST (test_prompts_follow_prefix_that_is_being_prefilled)
{
  const struct chain *chain = &chains[_i];
  const struct kcp_server *first;

  set_up (chain);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), 0);
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.save_to, STORE);
  first = choice.server;
  kcp_choice_record (&gateway, &choice);
  for (int i = 0; i < CHOICES; i++)
    {
      kcp_choose (&gateway, &choice);
      ck_assert_ptr_eq (choice.server, first);
      ck_assert_int_eq (choice.uncached_tokens, OWN_TOKENS);
    }
  tear_down ();
}
END_TEST

/* Load pattern: a third of the servers do not answer and all others load new weights, so
   that requests wait at a server for up to 2.8 s before they start. */
START_TEST (test_old_weights_are_refused_near_end_of_their_time)
{
  int64_t now;

  set_up (&chains[0]);
  now = kcp_loop_now (gateway.loop);
  kcp_gateway_add_desired_weights (&gateway, "m", 2,
                                   now - (REPLACE_MS - WAIT_MAX_MS) * KCP_NS_PER_MS);
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_null (choice.server);
  tear_down ();
}
END_TEST

/* Load pattern: long prompts wait at all servers, so that a request that is sent now
   starts after the time for which old weights may be used. */
START_TEST (test_request_starts_on_old_weights_too_late_behind_a_long_queue)
{
  int64_t tokens = (REPLACE_MS / 2 + 1) * US_PER_MS / kcp_place_engine_costs.per_token;

  set_up (&chains[0]);
  kcp_servers_find (gateway.servers, "a")->prefill_tokens_pending = tokens;
  kcp_servers_find (gateway.servers, "b")->prefill_tokens_pending = tokens;
  kcp_gateway_add_desired_weights (
      &gateway, "m", 2, kcp_loop_now (gateway.loop) - REPLACE_MS / 2 * KCP_NS_PER_MS);
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_null (choice.server);
  tear_down ();
}
END_TEST

START_TEST (test_old_weights_are_used_at_half_of_their_time)
{
  int64_t now;

  set_up (&chains[0]);
  now = kcp_loop_now (gateway.loop);
  kcp_gateway_add_desired_weights (&gateway, "m", 2,
                                   now - REPLACE_MS / 2 * KCP_NS_PER_MS);
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_nonnull (choice.server);
  tear_down ();
}
END_TEST

/* Requests with the same prefix are sent to one server while no server has it cached. */
START_TEST (test_unknown_prefix_has_one_preferred_server)
{
  const struct chain *chain = &chains[_i];
  const struct kcp_server *preferred = NULL;

  set_up (chain);
  for (int i = 0; i < CHOICES; i++)
    {
      kcp_choose (&gateway, &choice);
      if (preferred == NULL)
        preferred = choice.server;
      ck_assert_ptr_eq (choice.server, preferred);
    }
  tear_down ();
}
END_TEST

/* Has a server name a limit just now, of which this VM has no room at first. */
static void
limit_server (const char *id)
{
  ck_assert (
      kcp_server_limit_name (&server (id)->limit, LIMIT, kcp_loop_now (gateway.loop), 0));
}

START_TEST (test_request_waits_for_a_server_with_a_limit_that_has_its_prefix)
{
  set_up (&chains[0]);
  set_cached_parts (server ("a"), 0);
  set_cached_parts (server ("b"), chains[0].count);
  limit_server ("b");
  kcp_choose (&gateway, &choice);
  ck_assert_str_eq (choice.server->entry.id, "a");
  ck_assert_str_eq (choice.fetch_from, "10.0.0.2:1");
  tear_down ();
}
END_TEST

START_TEST (test_refused_request_is_not_told_when_a_limit_has_room)
{
  set_up (&chains[0]);
  limit_server ("a");
  limit_server ("b");
  kcp_choose (&gateway, &choice);
  ck_assert_ptr_null (choice.server);
  ck_assert_int_gt (choice.earliest_available_ns,
                    kcp_loop_now (gateway.loop) + INTERVAL_NS / 2);
  ck_assert_int_le (choice.earliest_available_ns,
                    kcp_loop_now (gateway.loop) + INTERVAL_NS);
  tear_down ();
}
END_TEST

START_TEST (test_server_with_a_limit_is_preferred_for_new_prefixes)
{
  set_up (&chains[0]);
  for (int i = 0; i < CHOICES; i++)
    {
      const char *id = i % 2 == 0 ? "a" : "b";

      limit_server (id);
      kcp_server_limit_set_share (&server (id)->limit, 1e9,
                                  kcp_loop_now (gateway.loop) - KCP_NS_PER_S);
      ck_assert (
          kcp_server_limit_has_room (&server (id)->limit, kcp_loop_now (gateway.loop)));
      kcp_choose (&gateway, &choice);
      ck_assert_str_ne (choice.server->entry.id, id);
      server (id)->limit = (struct kcp_server_limit){ 0 };
    }
  tear_down ();
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("choose");
  int count = G_N_ELEMENTS (chains);

  tcase_add_test (cases, test_cache_space_follows_the_configuration_in_force);
  tcase_add_test (cases, test_cache_spaces_of_different_models_and_teams_differ);
  tcase_add_test (cases, test_scope_does_not_depend_on_the_order_of_teams);
  tcase_add_loop_test (cases, test_prompt_is_sent_where_prefix_is_cached, 0, count);
  tcase_add_loop_test (cases, test_prefix_is_fetched_from_server_that_has_it, 0, count);
  tcase_add_loop_test (cases, test_prefix_only_in_store_is_fetched_from_store, 0, count);
  tcase_add_test (cases, test_parts_are_fetched_from_holder_of_most_levels);
  tcase_add_test (cases, test_short_prefix_is_fetched_but_not_saved);
  tcase_add_loop_test (cases, test_prompts_follow_prefix_that_is_being_prefilled, 0,
                       count);
  tcase_add_loop_test (cases, test_unknown_prefix_has_one_preferred_server, 0, count);
  tcase_add_test (cases, test_old_weights_are_refused_near_end_of_their_time);
  tcase_add_test (cases, test_request_starts_on_old_weights_too_late_behind_a_long_queue);
  tcase_add_test (cases, test_old_weights_are_used_at_half_of_their_time);
  tcase_add_test (cases,
                  test_request_waits_for_a_server_with_a_limit_that_has_its_prefix);
  tcase_add_test (cases, test_refused_request_is_not_told_when_a_limit_has_room);
  tcase_add_test (cases, test_server_with_a_limit_is_preferred_for_new_prefixes);
  return run_started_suite ();
}
