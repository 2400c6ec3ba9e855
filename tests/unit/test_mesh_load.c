/* Measures the processor time of the mesh at the target size of 370 VMs and 128 servers,
   with messages received at the rate that the senders' bandwidth limits allow. Control
   traffic may use 4.9% of a core. */
#include <arpa/inet.h>
#include <check.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "forward/mesh.h"
#include "forward/mesh_message.h"
#include "platform/platform.h"
#include "tests/harness/free_port.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/steady_store.h"

#define VMS            369 /* not counting this one */
#define SERVERS        128
#define ROWS           32
#define RUN_MS         2000
#define SEND_EVERY_MS  5     /* interval between messages to the tested VM */
#define MAX_CORE_SHARE 0.049 /* of one core */

static struct kcp_gateway gateway;
static struct kcp_loop_timer send_timer;
static struct kcp_loop_timer end_timer;
static struct sockaddr_in own_address;
static int sender;
static GPtrArray *messages; /* GBytes, encoded before the measurement begins */
static uint64_t sent;

static void
store_append (void *self, enum kcp_store_topic topic, int64_t expected_end,
              struct kcp_str key, struct kcp_str value, kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_DONE };

  (void)self;
  (void)topic;
  (void)expected_end;
  (void)key;
  (void)value;
  done (user, &answer);
}

static char *
vm_name (unsigned i)
{
  return g_strdup_printf ("127.1.%u.%u:9", i / 250 + 1, i % 250 + 1);
}

static void
store_list (void *self, enum kcp_store_topic topic, const char *after_key,
            kcp_store_done *done, void *user)
{
  struct kcp_store_answer answer = { .end = KCP_STORE_DONE };
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  (void)self;
  (void)topic;
  (void)after_key;
  answer.records = g_array_new (FALSE, TRUE, sizeof (struct kcp_store_record));
  for (unsigned i = 0; i < VMS; i++)
    {
      struct kcp_store_record record = { .value = KCP_STR ("{}") };

      g_ptr_array_add (names, vm_name (i));
      record.key = kcp_str_from_c (g_ptr_array_index (names, i));
      g_array_append_val (answer.records, record);
    }
  done (user, &answer);
  g_array_unref (answer.records);
}

static void
add_servers (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct kcp_server_entry entry;

      kcp_server_entry_init (&entry);
      entry.id = g_strdup_printf ("i-%u", i);
      entry.service = g_strdup ("s");
      entry.address = g_strdup_printf ("10.0.0.%u:1", i);
      entry.data_center = g_strdup ("z");
      entry.state = KCP_SERVER_READY;
      entry.started_ms = 1;
      kcp_servers_apply (gateway.servers, &entry);
    }
}

/* Encodes a gossip message of the next VM with rows for some of the servers. */
static GBytes *
build_message (uint64_t sequence)
{
  const GPtrArray *servers = kcp_servers_all (gateway.servers);
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  g_autofree char *name = vm_name ((unsigned)(sequence % VMS));
  size_t len;

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, name, sizeof message.vm);
  g_strlcpy (message.data_center, sequence % 2 == 0 ? "z" : "y",
             sizeof message.data_center);
  message.start_ms = 1;
  message.sequence = sequence;
  for (unsigned i = 0; i < ROWS; i++)
    {
      struct kcp_mesh_row *row = kcp_mesh_message_add_row (&message);

      row->server = kcp_server_key (
          g_ptr_array_index (servers, (sequence * 7 + i * 3) % SERVERS));
      row->in_flight = 1;
    }
  len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  kcp_mesh_message_clear (&message);
  ck_assert_uint_gt (len, 0);
  return g_bytes_new (bytes, len);
}

static void
send_message (void *user)
{
  gsize len;
  const void *bytes = g_bytes_get_data (g_ptr_array_index (messages, sent++), &len);

  (void)user;
  ck_assert_int_eq (
      sendto (sender, bytes, len, 0, (struct sockaddr *)&own_address, sizeof own_address),
      (ssize_t)len);
  kcp_loop_timer_set (gateway.loop, &send_timer,
                      kcp_loop_now (gateway.loop) + SEND_EVERY_MS * KCP_NS_PER_MS,
                      send_message, NULL);
}

static void
stop_loop (void *user)
{
  (void)user;
  kcp_loop_timer_cancel (&send_timer);
  kcp_loop_stop (gateway.loop);
}

static int64_t
thread_cpu_ns (void)
{
  struct timespec spent;

  ck_assert_int_eq (clock_gettime (CLOCK_THREAD_CPUTIME_ID, &spent), 0);
  return (int64_t)spent.tv_sec * KCP_NS_PER_S + spent.tv_nsec;
}

START_TEST (test_the_mesh_stays_within_its_processor_share_at_target_size)
{
  int port = free_port (SOCK_DGRAM);
  g_autofree char *listen = g_strdup_printf ("127.0.0.1:%d", port);
  struct kcp_forward_settings settings = { .vm_data_center = (char *)"z",
                                           .peers_listen = listen,
                                           .retry_burst = 54,
                                           .retry_window_s = 10 };
  struct kcp_store store = { .era = steady_store_era,
                             .watch_era = steady_store_watch_era,
                             .append = store_append,
                             .list = store_list };
  struct kcp_error error = { 0 };
  struct kcp_mesh *mesh;
  int64_t before;
  int64_t limit_ns = (int64_t)(MAX_CORE_SHARE * RUN_MS * KCP_NS_PER_MS);

  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  add_servers ();
  own_address = (struct sockaddr_in){ .sin_family = AF_INET,
                                      .sin_port = htons ((uint16_t)port),
                                      .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  sender = socket (AF_INET, SOCK_DGRAM, 0);
  mesh = kcp_mesh_start (&gateway, &store, &error);
  ck_assert_ptr_nonnull (mesh);
  messages = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (uint64_t i = 1; i <= VMS + RUN_MS / SEND_EVERY_MS + 1; i++)
    g_ptr_array_add (messages, build_message (i));
  /* All other VMs are known before the measurement begins. */
  for (unsigned i = 0; i < VMS; i++)
    send_message (NULL);
  before = thread_cpu_ns ();
  kcp_loop_timer_set (gateway.loop, &end_timer,
                      kcp_loop_now (gateway.loop) + RUN_MS * KCP_NS_PER_MS, stop_loop,
                      NULL);
  kcp_loop_run (gateway.loop);
  printf ("spent %ld\n", (long)(thread_cpu_ns () - before));
  ck_assert_int_le (thread_cpu_ns () - before, limit_ns);
  ck_assert_uint_gt (kcp_mesh_count (mesh), VMS / 2);
  kcp_mesh_stop (mesh);
  (void)close (sender);
  g_ptr_array_unref (messages);
  kcp_gateway_clear (&gateway);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("mesh load");

  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_the_mesh_stays_within_its_processor_share_at_target_size);
  return run_started_suite ();
}
