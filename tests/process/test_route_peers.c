/* Tests the messages that a routing VM sends to the other VMs and applies from them. The
   test acts as another VM. */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <xxhash.h>

#include "forward/mesh_message.h"
#include "forward/server.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define REQUESTS    12
#define RECEIVE_MS  50
#define LEADER_SEED 1
#define LIST        "keyed.servers"
#define RELAYS      20
/* A VM that receives no relayed records reads the list every 1.5 poll intervals of 100
   ms, which is more often than this in the 1 s in which RELAYS messages are sent. */
#define MAX_READS       4
#define NO_RELAY_MS     1500
#define OUTAGE_MS       3000 /* long enough for entries of live servers to expire */
#define REGAIN_MS       600  /* until the VM has been answered again after it */
#define LEADER_GRACE_MS 2300
/* Minimum time for which a VM leaves the orders to the leader. */
#define MIN_TAKEOVER_MS 2000
/* A VM that has read another VM's lease record may take the lease after 5 s; it may need
   1 s until it reads. */
#define TAKEOVER_MS 6500
#define FIRST_BORN  1000 /* field born of server 0; server N has FIRST_BORN + N */
#define PROMPT_HEAD "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"
#define LONG_HEAD   "Model: m\r\nToken-Usage: 9010,5\r\nPrompt-Prefix: ab:9000,cd:10\r\n"

static int peer = -1;
static char peer_name[64];
static uint64_t sent;      /* gossip messages sent by the other VM so far */
static uint64_t datagrams; /* messages of any type sent by it so far */

static void
open_peer (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  struct timeval wait = { .tv_usec = RECEIVE_MS * 1000 };

  peer = socket (AF_INET, SOCK_DGRAM, 0);
  ck_assert_int_eq (bind (peer, (struct sockaddr *)&address, len), 0);
  ck_assert_int_eq (getsockname (peer, (struct sockaddr *)&address, &len), 0);
  ck_assert_int_eq (setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait), 0);
  g_snprintf (peer_name, sizeof peer_name, "127.0.0.1:%d", ntohs (address.sin_port));
  sent = 0;
}

/* Returns a counter of the VM's metrics. */
static uint64_t
read_counter (const char *name)
{
  struct raw_answer answer
      = raw_exchange (route_vm.metrics_port,
                      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                      ROUTE_VM_TIMEOUT_MS);
  g_autofree char *line = g_strdup_printf ("\nkingcuppoint_%s_total ", name);
  const char *found = strstr (answer.text->str, line);
  uint64_t value;

  ck_assert_ptr_nonnull (found);
  value = g_ascii_strtoull (found + strlen (line), NULL, 10);
  raw_answer_clear (&answer);
  return value;
}

/* Waits until the VM has taken all messages from its socket. */
static void
wait_until_received (void)
{
  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited++)
    {
      if (read_counter ("rpc_received") + read_counter ("rpc_rejected") >= datagrams)
        return;
      g_usleep (G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the VM did not receive the messages");
}

static void
send_bytes (const char *bytes, size_t len)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)route_vm.peers_port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (
      sendto (peer, bytes, len, 0, (struct sockaddr *)&address, sizeof address),
      (ssize_t)len);
  datagrams++;
}

/* Sends a gossip message of the other VM, which has no requests in flight. */
static void
send_state (bool leaving)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, peer_name, sizeof message.vm);
  g_strlcpy (message.data_center, "z", sizeof message.data_center);
  message.start_ms = 1;
  message.sequence = ++sent;
  message.leaving = leaving;
  send_bytes (bytes, kcp_mesh_message_encode (&message, bytes, sizeof bytes));
  kcp_mesh_message_clear (&message);
}

/* Sends a gossip message, so that the other VM counts as alive. */
static void
send_alive (void)
{
  send_state (false);
}

static void
send_update (uint64_t sequence, struct kcp_mesh_change change)
{
  struct kcp_mesh_update update;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, peer_name, sizeof update.vm);
  update.start_ms = 1;
  update.sequence = sequence;
  g_array_append_val (update.changes, change);
  send_bytes (bytes,
              kcp_mesh_update_encode (&update, KCP_MESH_UPDATE, bytes, sizeof bytes));
  kcp_mesh_update_clear (&update);
}

/* Waits for an update message while keeping the other VM alive. Returns false if none
   arrives. */
static bool
receive_update (struct kcp_mesh_update *update)
{
  char bytes[KCP_MESH_MESSAGE_MAX];

  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += RECEIVE_MS)
    {
      ssize_t len = recv (peer, bytes, sizeof bytes, 0);

      send_alive ();
      if (len > 0 && kcp_mesh_procedure_of (bytes, (size_t)len) == KCP_MESH_UPDATE)
        return kcp_mesh_update_decode (update, KCP_MESH_UPDATE, bytes, (size_t)len);
    }
  return false;
}

static uint64_t
server_key (unsigned index)
{
  const char *id = fake_platform_server (route_vm.platform, index)->id;

  return kcp_server_make_key (id, FIRST_BORN + index);
}

static void
send_request (const char *head)
{
  struct raw_answer answer = route_vm_send ("POST", "/stream/x", head, "b");

  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
}

static void
set_up (void)
{
  datagrams = 0;
  route_vm_set_up ();
  open_peer ();
  send_alive ();
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
}

static void
tear_down (void)
{
  (void)close (peer);
  route_vm_tear_down ();
}

START_TEST (test_a_server_that_loads_weights_for_another_vm_gets_no_requests)
{
  struct fake_server *first = fake_platform_server (route_vm.platform, 0);

  send_update (1, (struct kcp_mesh_change){ .server = server_key (0),
                                            .loading_ms = ROUTE_VM_TIMEOUT_MS });
  wait_until_received ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (PROMPT_HEAD);
  ck_assert_uint_eq (first->runs, 0);
  /* An update that arrives out of order, after the one that reports the loaded weights,
     is ignored. */
  first->version = 2;
  send_update (3, (struct kcp_mesh_change){ .server = server_key (0), .version = 2 });
  send_update (2, (struct kcp_mesh_change){ .server = server_key (0),
                                            .loading_ms = ROUTE_VM_TIMEOUT_MS });
  wait_until_received ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (PROMPT_HEAD);
  ck_assert_uint_gt (first->runs, 0);
}
END_TEST

START_TEST (test_short_prompts_avoid_a_server_that_prefills_another_vms_long_prompt)
{
  send_update (1, (struct kcp_mesh_change){ .server = server_key (1),
                                            .part = 5,
                                            .prefill_tokens_pending = 300000 });
  wait_until_received ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (PROMPT_HEAD);
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 1)->runs, 0);
}
END_TEST

START_TEST (test_a_long_prompt_is_announced_to_the_other_vms_immediately)
{
  struct kcp_mesh_update update;
  const struct kcp_mesh_change *change;

  kcp_mesh_update_init (&update);
  send_request (LONG_HEAD);
  ck_assert (receive_update (&update));
  change = &g_array_index (update.changes, struct kcp_mesh_change, 0);
  ck_assert (change->server == server_key (0) || change->server == server_key (1));
  ck_assert_uint_ne (change->part, 0);
  ck_assert_uint_ge (change->prefill_tokens_pending, 9000);
  kcp_mesh_update_clear (&update);
}
END_TEST

START_TEST (test_a_weights_load_is_announced_at_its_start_and_its_end)
{
  bool started[2] = { false, false };
  bool ended[2] = { false, false };

  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  while (!ended[0] || !ended[1])
    {
      struct kcp_mesh_update update;

      kcp_mesh_update_init (&update);
      ck_assert (receive_update (&update));
      for (guint i = 0; i < update.changes->len; i++)
        {
          const struct kcp_mesh_change *change
              = &g_array_index (update.changes, struct kcp_mesh_change, i);
          unsigned server = change->server == server_key (0) ? 0 : 1;

          if (change->loading_ms > 0)
            started[server] = true;
          if (change->version == 2)
            {
              ck_assert (started[server]);
              ended[server] = true;
            }
        }
      kcp_mesh_update_clear (&update);
    }
}
END_TEST

/* Returns a VM's score in the rendezvous order that determines the leader. */
static uint64_t
rendezvous_score (const char *vm)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), LEADER_SEED);
}

/* Gives the other VM an address before or after the tested VM in that order. */
static void
choose_peer_address (bool before)
{
  g_autofree char *own = g_strdup_printf ("127.0.0.1:%d", route_vm.peers_port);

  while ((rendezvous_score (peer_name) > rendezvous_score (own)) != before)
    {
      send_state (true);
      (void)close (peer);
      open_peer ();
    }
  send_alive ();
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
}

/* Keeps the other VM alive for up to limit_ms. Returns the milliseconds until both
   servers had version 2, or -1 if they did not get it. */
static int
wait_for_weights (int limit_ms)
{
  for (int waited = 0; waited < limit_ms; waited += RECEIVE_MS)
    {
      if (fake_platform_server (route_vm.platform, 0)->version == 2
          && fake_platform_server (route_vm.platform, 1)->version == 2)
        return waited;
      send_alive ();
      g_usleep (RECEIVE_MS * G_TIME_SPAN_MILLISECOND);
    }
  return -1;
}

/* Guards against every VM polling the store for the holder of the order lease, by which
   the number of calls to the store would grow with the number of VMs. */
START_TEST (test_a_vm_gives_orders_only_after_the_leader_has_given_none_for_a_time)
{
  choose_peer_address (true);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  ck_assert_int_eq (wait_for_weights (MIN_TAKEOVER_MS), -1);
  ck_assert_int_eq (fake_platform_server (route_vm.platform, 0)->orders_taken, 0);
  /* The leader gives no orders, as if it were partitioned. */
  ck_assert_int_ge (wait_for_weights (ROUTE_VM_TIMEOUT_MS), 0);
}
END_TEST

START_TEST (test_the_leader_of_a_data_center_gives_orders_immediately)
{
  int waited;

  choose_peer_address (false);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  waited = wait_for_weights (ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_ge (waited, 0);
  ck_assert_int_le (waited, MIN_TAKEOVER_MS);
}
END_TEST

/* The VM starts long before the orders become necessary, and the holder of the newest
   lease record ended before that. */
START_TEST (test_orders_wait_for_a_holder_that_ended_long_ago)
{
  int waited;

  route_vm_kill (&route_vm);
  fake_platform_put_lease_record (route_vm.platform, "127.0.0.1:1");
  route_vm_start ();
  route_vm_wait_ready ();
  choose_peer_address (false);
  g_usleep (TAKEOVER_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  waited = wait_for_weights (ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_ge (waited, 0);
  ck_assert_int_le (waited, MIN_TAKEOVER_MS);
}
END_TEST

/* Sends, as the leader of the data center, records of the servers' list from an offset
   on; record is the only one of them that changes something, or NULL. */
static void
relay_records (int64_t from, const struct kcp_mesh_record *record)
{
  struct kcp_mesh_records records;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_records_init (&records);
  g_strlcpy (records.vm, peer_name, sizeof records.vm);
  records.from = from;
  records.next = from + (record != NULL);
  if (record != NULL)
    g_array_append_val (records.records, *record);
  send_bytes (bytes, kcp_mesh_records_encode (&records, bytes, sizeof bytes));
  kcp_mesh_records_clear (&records);
}

/* Sends, as the leader of the data center, the records of the servers' list from an
   offset to its end. If draining is true, one of them marks server 0 as draining. */
static void
relay_list (int64_t from, bool draining)
{
  const struct fake_server *server = fake_platform_server (route_vm.platform, 0);
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"slots\":8,"
      "\"state\":\"draining\",\"born\":%d,\"models\":[{\"name\":\"m\",\"version\":1}]}",
      server->port, FIRST_BORN);
  struct kcp_mesh_record record = { .offset = from,
                                    .key = kcp_str_from_c (server->id),
                                    .value = kcp_str_from_c (entry) };

  relay_records (from, draining ? &record : NULL);
}

/* Sends, as the leader of the data center, that the entry of server 0 was deleted. The
   leader was cut off from the store, and waits itself before it removes the server. */
static void
relay_deletion (int64_t from)
{
  const struct fake_server *server = fake_platform_server (route_vm.platform, 0);
  struct kcp_mesh_record record = { .offset = from,
                                    .removal_delay_ms = LEADER_GRACE_MS,
                                    .key = kcp_str_from_c (server->id) };

  relay_records (from, &record);
}

/* Sends requests to the VM. Before each one the leader relays that the list has not
   changed since next, as leaders do: a VM that is told nothing reads the list itself, and
   the store of these tests does not have the relayed record. */
static void
send_requests_relaying (int64_t next)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      send_alive ();
      relay_records (next, NULL);
      send_request (PROMPT_HEAD);
    }
}

/* Guards against every VM reading the servers' list itself. In a group of 195 VMs, each
   of them read it 1.4 times a second. */
START_TEST (test_a_vm_that_receives_relayed_records_does_not_read_the_servers_list)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);
  unsigned before;

  choose_peer_address (true);
  relay_list (end, false);
  before = fake_platform_read_count (route_vm.platform, LIST);
  for (int relayed = 0; relayed < RELAYS; relayed++)
    {
      send_alive ();
      relay_list (end, false);
      g_usleep (RECEIVE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_uint_le (fake_platform_read_count (route_vm.platform, LIST),
                     before + MAX_READS);
  /* No more records are sent. */
  g_usleep (NO_RELAY_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_gt (fake_platform_read_count (route_vm.platform, LIST),
                     before + MAX_READS + 2);
}
END_TEST

START_TEST (test_a_relayed_record_takes_effect_immediately)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  choose_peer_address (true);
  relay_list (end, true);
  wait_until_received ();
  send_requests_relaying (end + 1);
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

START_TEST (test_removal_waits_since_the_vm_that_relays_it_was_cut_off_from_the_store)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  choose_peer_address (true);
  relay_deletion (end);
  wait_until_received ();
  send_requests_relaying (end + 1);
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

START_TEST (test_relayed_removal_of_a_live_server_after_an_outage_is_carried_out_at_once)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  choose_peer_address (true);
  fake_platform_set_down (route_vm.platform, true);
  g_usleep (OUTAGE_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_set_down (route_vm.platform, false);
  g_usleep (REGAIN_MS * G_TIME_SPAN_MILLISECOND);
  send_alive ();
  relay_deletion (end);
  wait_until_received ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (PROMPT_HEAD);
  ck_assert_uint_gt (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

START_TEST (test_relayed_records_after_a_gap_are_ignored)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  choose_peer_address (true);
  relay_list (end + 1, true);
  wait_until_received ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (PROMPT_HEAD);
  ck_assert_uint_gt (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

/* Waits for a record of the servers' list from the VM. Returns false if none arrives. */
static bool
receive_record (struct kcp_mesh_records *records, char *bytes)
{
  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += RECEIVE_MS)
    {
      ssize_t len = recv (peer, bytes, KCP_MESH_MESSAGE_MAX, 0);

      send_alive ();
      if (len > 0 && kcp_mesh_procedure_of (bytes, (size_t)len) == KCP_MESH_RECORDS
          && kcp_mesh_records_decode (records, bytes, (size_t)len)
          && records->records->len > 0)
        return true;
    }
  return false;
}

START_TEST (test_the_leader_relays_changes_of_the_servers_list)
{
  struct kcp_mesh_records records;
  const struct kcp_mesh_record *record;
  char bytes[KCP_MESH_MESSAGE_MAX];
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  kcp_mesh_records_init (&records);
  choose_peer_address (false);
  /* A heartbeat that changes nothing is not sent. */
  fake_platform_put_server (route_vm.platform, 0, "ready");
  fake_platform_put_server (route_vm.platform, 1, "draining");
  ck_assert (receive_record (&records, bytes));
  record = &g_array_index (records.records, struct kcp_mesh_record, 0);
  ck_assert_int_eq (record->offset, end + 1);
  ck_assert (kcp_str_equal (
      record->key, kcp_str_from_c (fake_platform_server (route_vm.platform, 1)->id)));
  ck_assert_int_eq (records.next, end + 2);
  kcp_mesh_records_clear (&records);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("route_peers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_a_server_that_loads_weights_for_another_vm_gets_no_requests);
  tcase_add_test (
      cases, test_short_prompts_avoid_a_server_that_prefills_another_vms_long_prompt);
  tcase_add_test (cases, test_a_long_prompt_is_announced_to_the_other_vms_immediately);
  tcase_add_test (cases, test_a_weights_load_is_announced_at_its_start_and_its_end);
  tcase_add_test (cases,
                  test_a_vm_gives_orders_only_after_the_leader_has_given_none_for_a_time);
  tcase_add_test (cases, test_the_leader_of_a_data_center_gives_orders_immediately);
  tcase_add_test (cases, test_orders_wait_for_a_holder_that_ended_long_ago);
  tcase_add_test (cases,
                  test_a_vm_that_receives_relayed_records_does_not_read_the_servers_list);
  tcase_add_test (cases, test_a_relayed_record_takes_effect_immediately);
  tcase_add_test (
      cases, test_removal_waits_since_the_vm_that_relays_it_was_cut_off_from_the_store);
  tcase_add_test (
      cases,
      test_relayed_removal_of_a_live_server_after_an_outage_is_carried_out_at_once);
  tcase_add_test (cases, test_relayed_records_after_a_gap_are_ignored);
  tcase_add_test (cases, test_the_leader_relays_changes_of_the_servers_list);
  return run_started_suite ();
}
