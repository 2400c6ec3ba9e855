#include "tests/harness/mesh_vm.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/platform.h"
#include "tests/harness/free_port.h"
#include "tests/harness/steady_store.h"

#define STEP_MS  10
#define START_NS (1000 * KCP_NS_PER_S)

/* An entry of the store's list of VMs. */
struct mesh_vm_entry
{
  char *name;
  char *value;
};

static void
entry_clear (gpointer data)
{
  struct mesh_vm_entry *entry = data;

  g_free (entry->name);
  g_free (entry->value);
}

static void
store_append (void *self, enum kcp_store_topic topic, int64_t expected_end,
              struct kcp_str key, struct kcp_str value, kcp_store_done *done, void *user)
{
  const struct mesh_vm *vm = self;
  struct kcp_store_answer answer
      = { .end = vm->list_fails ? KCP_STORE_FAILED : KCP_STORE_DONE };

  (void)topic;
  (void)expected_end;
  (void)key;
  (void)value;
  done (user, &answer);
}

static void
store_list (void *self, enum kcp_store_topic topic, const char *after_key,
            kcp_store_done *done, void *user)
{
  const struct mesh_vm *vm = self;
  struct kcp_store_answer answer
      = { .end = vm->list_fails ? KCP_STORE_FAILED : KCP_STORE_DONE };

  (void)topic;
  (void)after_key;
  answer.records = g_array_new (FALSE, TRUE, sizeof (struct kcp_store_record));
  for (guint i = 0; i < vm->listed->len; i++)
    {
      const struct mesh_vm_entry *entry
          = &g_array_index (vm->listed, struct mesh_vm_entry, i);
      struct kcp_store_record record = { .key = kcp_str_from_c (entry->name),
                                         .value = kcp_str_from_c (entry->value) };

      g_array_append_val (answer.records, record);
    }
  done (user, &answer);
  g_array_unref (answer.records);
}

/* Initializes a VM that is not started. */
void
mesh_vm_init (struct mesh_vm *vm)
{
  memset (vm, 0, sizeof *vm);
  vm->clock = (struct kcp_clock){ .kind = KCP_CLOCK_MANUAL,
                                  .monotonic = kcp_timespec_from_ns (START_NS),
                                  .realtime = kcp_timespec_from_ns (START_NS) };
  vm->listed = g_array_new (FALSE, TRUE, sizeof (struct mesh_vm_entry));
  g_array_set_clear_func (vm->listed, entry_clear);
  vm->address
      = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)free_port (SOCK_DGRAM)),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  g_snprintf (vm->listen, sizeof vm->listen, "127.0.0.1:%d",
              ntohs (vm->address.sin_port));
  vm->settings = (struct kcp_forward_settings){ .vm_data_center = (char *)MESH_VM_DC,
                                                .peers_listen = vm->listen,
                                                .retry_burst = 54,
                                                .retry_window_s = 10 };
  vm->store = (struct kcp_store){ .self = vm,
                                  .era = steady_store_era,
                                  .watch_era = steady_store_watch_era,
                                  .append = store_append,
                                  .list = store_list };
  kcp_gateway_init (&vm->gateway, &vm->settings, &kcp_platform_dialect, &vm->clock);
}

/* Adds a VM to the store's list; data_center may be NULL, for an entry without one. */
void
mesh_vm_list (struct mesh_vm *vm, const char *name, const char *data_center)
{
  struct mesh_vm_entry entry = { .name = g_strdup (name) };

  entry.value = data_center == NULL
                    ? g_strdup ("{}")
                    : g_strdup_printf ("{\"data_center\":\"%s\"}", data_center);
  g_array_append_val (vm->listed, entry);
}

void
mesh_vm_start (struct mesh_vm *vm)
{
  struct kcp_error error = { 0 };

  vm->mesh = kcp_mesh_start (&vm->gateway, &vm->store, &error);
  ck_assert_ptr_nonnull (vm->mesh);
  vm->gateway.mesh = vm->mesh;
}

void
mesh_vm_clear (struct mesh_vm *vm)
{
  kcp_mesh_stop (vm->mesh);
  vm->gateway.mesh = NULL;
  kcp_gateway_clear (&vm->gateway);
  g_array_unref (vm->listed);
}

/* Adds a backend server and returns it. */
struct kcp_server *
mesh_vm_add_server (struct mesh_vm *vm, const char *id, const char *data_center)
{
  struct kcp_server_entry entry;

  kcp_server_entry_init (&entry);
  entry.id = g_strdup (id);
  entry.service = g_strdup ("s");
  entry.address = g_strdup ("10.0.0.1:1");
  entry.data_center = g_strdup (data_center);
  entry.state = KCP_SERVER_READY;
  entry.started_ms = 1;
  kcp_server_entry_add_weights (&entry, "m", 1);
  kcp_servers_apply (vm->gateway.servers, &entry);
  return kcp_servers_find (vm->gateway.servers, id);
}

static void
stop_loop (void *user)
{
  kcp_loop_stop (user);
}

/* Advances the clock by ms in steps, and handles in each what has arrived and is due. */
void
mesh_vm_run (struct mesh_vm *vm, int64_t ms)
{
  struct kcp_loop *loop = vm->gateway.loop;
  struct kcp_loop_timer stop = { 0 };

  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      kcp_clock_advance (&vm->clock, STEP_MS * KCP_NS_PER_MS);
      kcp_loop_timer_set (loop, &stop, kcp_loop_now (loop), stop_loop, loop);
      kcp_loop_run (loop);
    }
}

/* Sends a datagram of another VM to the tested one, which has received it on return. */
void
mesh_vm_send (struct mesh_vm *vm, const struct mesh_vm_peer *peer, const char *bytes,
              size_t len)
{
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (sendto (peer->fd, bytes, len, 0, (struct sockaddr *)&vm->address,
                            sizeof vm->address),
                    (ssize_t)len);
  mesh_vm_run (vm, STEP_MS);
}

/* Opens the socket of another VM. */
void
mesh_vm_peer_init (struct mesh_vm_peer *peer, const char *data_center)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  memset (peer, 0, sizeof *peer);
  peer->data_center = data_center;
  peer->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (peer->fd, (struct sockaddr *)&address, len), 0);
  ck_assert_int_eq (getsockname (peer->fd, (struct sockaddr *)&address, &len), 0);
  g_snprintf (peer->vm, sizeof peer->vm, "127.0.0.1:%d", ntohs (address.sin_port));
}

void
mesh_vm_peer_clear (struct mesh_vm_peer *peer)
{
  (void)close (peer->fd);
}

/* Sends the state of another VM, with in_flight requests at the server; NULL: at none. */
void
mesh_vm_gossip (struct mesh_vm *vm, struct mesh_vm_peer *peer,
                const struct kcp_server *server, uint32_t in_flight)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, peer->vm, sizeof message.vm);
  g_strlcpy (message.data_center, peer->data_center, sizeof message.data_center);
  message.start_ms = 1;
  message.sequence = ++peer->sequence;
  if (server != NULL)
    {
      struct kcp_mesh_row *row = kcp_mesh_message_add_row (&message);

      row->server = kcp_server_key (server);
      row->in_flight = in_flight;
    }
  mesh_vm_send (vm, peer, bytes, kcp_mesh_message_encode (&message, bytes, sizeof bytes));
  kcp_mesh_message_clear (&message);
}

/* Takes datagrams of another VM's socket up to the next one of the procedure. Returns its
   length, or 0 if there is none. */
size_t
mesh_vm_receive (const struct mesh_vm_peer *peer, enum kcp_mesh_procedure procedure,
                 char *bytes, size_t max)
{
  ssize_t len;

  while ((len = recv (peer->fd, bytes, max, 0)) > 0)
    if (kcp_mesh_procedure_of (bytes, (size_t)len) == procedure)
      return (size_t)len;
  return 0;
}

/* Takes all datagrams of another VM's socket and counts those of the procedure. */
unsigned
mesh_vm_count_received (const struct mesh_vm_peer *peer,
                        enum kcp_mesh_procedure procedure)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  unsigned count = 0;

  while (mesh_vm_receive (peer, procedure, bytes, sizeof bytes) > 0)
    count++;
  return count;
}
