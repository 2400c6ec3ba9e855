/* What a VM of routed traffic tells the other VMs and takes from them. The test plays
   another VM. */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <xxhash.h>

#include "forward/mesh_message.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define REQUESTS    12
#define RECEIVE_MS  50
#define FIRST_SEED  1
#define LIST        "keyed.servers"
#define TELLINGS    20
#define READS_MOST  4 /* a VM that is not told reads twice as often in that time */
#define SILENT_MS   1500
#define LEFT_MS     2000 /* orders are left to another VM for that long at least */
#define FIRST_BORN  1000 /* as the fake platform writes it in the entries */
#define PROMPT_HEAD "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"
#define LONG_HEAD   "Model: m\r\nToken-Usage: 9010,5\r\nPrompt-Prefix: ab:9000,cd:10\r\n"

static int peer = -1;
static char peer_name[64];
static uint64_t sent; /* messages of the other VM so far */

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
}

/* Tells that the other VM has nothing in flight, and whether it leaves. */
static void
send_state (bool leaving)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, peer_name, sizeof message.vm);
  g_strlcpy (message.data_center, "z", sizeof message.data_center);
  message.start = 1;
  message.number = ++sent;
  message.leaving = leaving;
  send_bytes (bytes, kcp_mesh_message_encode (&message, bytes, sizeof bytes));
  kcp_mesh_message_clear (&message);
}

/* Tells that the other VM lives. */
static void
send_message (void)
{
  send_state (false);
}

static void
send_update (uint64_t number, struct kcp_mesh_change change)
{
  struct kcp_mesh_update update;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, peer_name, sizeof update.vm);
  update.start = 1;
  update.number = number;
  g_array_append_val (update.changes, change);
  send_bytes (bytes, kcp_mesh_update_encode (&update, bytes, sizeof bytes));
  kcp_mesh_update_clear (&update);
}

/* Waits for an update of the VM, keeping the other VM alive; false if none came. */
static bool
receive_update (struct kcp_mesh_update *update)
{
  char bytes[KCP_MESH_MESSAGE_MAX];

  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += RECEIVE_MS)
    {
      ssize_t len = recv (peer, bytes, sizeof bytes, 0);

      send_message ();
      if (len > 0 && kcp_mesh_procedure_of (bytes, (size_t)len) == KCP_MESH_UPDATE)
        return kcp_mesh_update_decode (update, bytes, (size_t)len);
    }
  return false;
}

static uint64_t
server_key (unsigned index)
{
  const char *id = fake_platform_server (route_vm.platform, index)->id;

  return XXH3_64bits_withSeed (id, strlen (id), FIRST_BORN + index);
}

static void
call (const char *head)
{
  struct raw_answer answer = route_vm_send ("POST", "/stream/x", head, "b");

  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
}

static void
set_up (void)
{
  route_vm_set_up ();
  open_peer ();
  send_message ();
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
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < REQUESTS; i++)
    call (PROMPT_HEAD);
  ck_assert_uint_eq (first->runs, 0);
  /* One that comes late, behind the news that the weights are there, changes nothing. */
  first->version = 2;
  send_update (3, (struct kcp_mesh_change){ .server = server_key (0), .version = 2 });
  send_update (2, (struct kcp_mesh_change){ .server = server_key (0),
                                            .loading_ms = ROUTE_VM_TIMEOUT_MS });
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < REQUESTS; i++)
    call (PROMPT_HEAD);
  ck_assert_uint_gt (first->runs, 0);
}
END_TEST

START_TEST (test_short_prompts_keep_away_from_a_server_that_reads_another_vms_long_one)
{
  send_update (1, (struct kcp_mesh_change){
                      .server = server_key (1), .part = 5, .unread_tokens = 300000 });
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < REQUESTS; i++)
    call (PROMPT_HEAD);
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 1)->runs, 0);
}
END_TEST

START_TEST (test_a_long_prompt_is_told_to_the_others_at_once)
{
  struct kcp_mesh_update update;
  const struct kcp_mesh_change *change;

  kcp_mesh_update_init (&update);
  call (LONG_HEAD);
  ck_assert (receive_update (&update));
  change = &g_array_index (update.changes, struct kcp_mesh_change, 0);
  ck_assert (change->server == server_key (0) || change->server == server_key (1));
  ck_assert_uint_ne (change->part, 0);
  ck_assert_uint_ge (change->unread_tokens, 9000);
  kcp_mesh_update_clear (&update);
}
END_TEST

START_TEST (test_a_load_of_weights_is_told_at_its_start_and_its_end)
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

/* Returns a VM's place in the order in which they act for their data center. */
static uint64_t
rank (const char *vm)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), FIRST_SEED);
}

/* Takes the place of a VM before or behind the tested one in that order. */
static void
take_place (bool before)
{
  g_autofree char *own = g_strdup_printf ("127.0.0.1:%d", route_vm.peers_port);

  while ((rank (peer_name) > rank (own)) != before)
    {
      send_state (true);
      (void)close (peer);
      open_peer ();
    }
  send_message ();
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
}

/* Keeps the other VM alive for so long, and returns after how many milliseconds both
   servers had version 2; -1: they do not. */
static int
wait_for_weights (int limit_ms)
{
  for (int waited = 0; waited < limit_ms; waited += RECEIVE_MS)
    {
      if (fake_platform_server (route_vm.platform, 0)->version == 2
          && fake_platform_server (route_vm.platform, 1)->version == 2)
        return waited;
      send_message ();
      g_usleep (RECEIVE_MS * G_TIME_SPAN_MILLISECOND);
    }
  return -1;
}

/* Load pattern: every VM asks the store again and again who gives orders, so that its
   calls grow with the VMs. */
START_TEST (test_a_vm_leaves_orders_to_the_first_of_its_data_center_while_they_come)
{
  take_place (true);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  ck_assert_int_eq (wait_for_weights (LEFT_MS), -1);
  ck_assert_int_eq (fake_platform_server (route_vm.platform, 0)->orders_taken, 0);
  /* The first one gives none, as if it were cut off. */
  ck_assert_int_ge (wait_for_weights (ROUTE_VM_TIMEOUT_MS), 0);
}
END_TEST

START_TEST (test_the_first_vm_of_a_data_center_gives_orders_at_once)
{
  int waited;

  take_place (false);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  waited = wait_for_weights (ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_ge (waited, 0);
  ck_assert_int_le (waited, LEFT_MS);
}
END_TEST

/* Tells, as the first VM of the data center, that the servers' list was read from an
   offset to its end, where server 0 may have become a leaving one. */
static void
tell_list (int64_t from, bool leaving)
{
  const struct fake_server *server = fake_platform_server (route_vm.platform, 0);
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"slots\":8,"
      "\"state\":\"draining\",\"born\":%d,\"models\":[{\"name\":\"m\",\"version\":1}]}",
      server->port, FIRST_BORN);
  struct kcp_mesh_record record = { .offset = from,
                                    .key = kcp_str_from_c (server->id),
                                    .value = kcp_str_from_c (entry) };
  struct kcp_mesh_records records;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_records_init (&records);
  g_strlcpy (records.vm, peer_name, sizeof records.vm);
  records.from = from;
  records.next = from + leaving;
  if (leaving)
    g_array_append_val (records.records, record);
  send_bytes (bytes, kcp_mesh_records_encode (&records, bytes, sizeof bytes));
  kcp_mesh_records_clear (&records);
}

/* Load pattern: 195 VMs that each read the servers' list 1.4 times a second. */
START_TEST (test_a_vm_that_is_told_of_the_servers_list_does_not_read_it)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);
  unsigned before;

  take_place (true);
  tell_list (end, false);
  before = fake_platform_read_count (route_vm.platform, LIST);
  for (int told = 0; told < TELLINGS; told++)
    {
      send_message ();
      tell_list (end, false);
      g_usleep (RECEIVE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_uint_le (fake_platform_read_count (route_vm.platform, LIST),
                     before + READS_MOST);
  /* Nothing is told any more. */
  g_usleep (SILENT_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_gt (fake_platform_read_count (route_vm.platform, LIST),
                     before + READS_MOST + 2);
}
END_TEST

START_TEST (test_what_is_told_of_a_server_is_in_force_at_once)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  take_place (true);
  tell_list (end, true);
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < REQUESTS; i++)
    call (PROMPT_HEAD);
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

START_TEST (test_what_is_told_behind_a_gap_changes_nothing)
{
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  take_place (true);
  tell_list (end + 1, true);
  g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < REQUESTS; i++)
    call (PROMPT_HEAD);
  ck_assert_uint_gt (fake_platform_server (route_vm.platform, 0)->runs, 0);
}
END_TEST

/* Waits for the VM to tell of a record of the servers' list; false if it does not. */
static bool
receive_record (struct kcp_mesh_records *records, char *bytes)
{
  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += RECEIVE_MS)
    {
      ssize_t len = recv (peer, bytes, KCP_MESH_MESSAGE_MAX, 0);

      send_message ();
      if (len > 0 && kcp_mesh_procedure_of (bytes, (size_t)len) == KCP_MESH_RECORDS
          && kcp_mesh_records_decode (records, bytes, (size_t)len)
          && records->records->len > 0)
        return true;
    }
  return false;
}

START_TEST (test_the_first_vm_tells_what_is_new_in_the_servers_list)
{
  struct kcp_mesh_records records;
  const struct kcp_mesh_record *record;
  char bytes[KCP_MESH_MESSAGE_MAX];
  int64_t end = fake_platform_end_offset (route_vm.platform, LIST);

  kcp_mesh_records_init (&records);
  take_place (false);
  /* A heartbeat that says nothing new is not told. */
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
  Suite *suite = suite_create ("route_peers");
  TCase *cases = tcase_create ("route_peers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_a_server_that_loads_weights_for_another_vm_gets_no_requests);
  tcase_add_test (
      cases, test_short_prompts_keep_away_from_a_server_that_reads_another_vms_long_one);
  tcase_add_test (cases, test_a_long_prompt_is_told_to_the_others_at_once);
  tcase_add_test (cases, test_a_load_of_weights_is_told_at_its_start_and_its_end);
  tcase_add_test (
      cases, test_a_vm_leaves_orders_to_the_first_of_its_data_center_while_they_come);
  tcase_add_test (cases, test_the_first_vm_of_a_data_center_gives_orders_at_once);
  tcase_add_test (cases, test_a_vm_that_is_told_of_the_servers_list_does_not_read_it);
  tcase_add_test (cases, test_what_is_told_of_a_server_is_in_force_at_once);
  tcase_add_test (cases, test_what_is_told_behind_a_gap_changes_nothing);
  tcase_add_test (cases, test_the_first_vm_tells_what_is_new_in_the_servers_list);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
