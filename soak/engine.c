/* The process of a soak test's server: its connections, slots and queue. */
#include "soak/engine.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS              12u
#define QUEUE              24u
#define CONNECTIONS_MAX    300u
#define CONNECTIONS_FEW    6u /* limit in some moods */
#define FEW_PERCENT        20 /* of the moods */
#define BACKLOG            512
#define READ_BLOCK_BYTES   16384
#define MOOD_MIN_MS        300
#define MOOD_MAX_MS        2500
#define FAULT_PERCENT      30 /* of the requests in a mood that isn't sound */
#define SOUND_PERCENT      55 /* of the moods */
#define HALVES_PERCENT     20 /* of the pieces are written in two halves */
#define HALVES_GAP_US      3000
#define LATE_ANSWER_US     60000
#define LATE_ANSWER_MAX_US 500000
#define OVERLOAD_US        (1000 * 1000)
#define REFUSAL_MAX_US     60000 /* until a request is refused */
#define IDLE_US            (2 * G_USEC_PER_SEC)
#define IDLE_SHORT_US      (60 * 1000) /* in some moods */
#define LATE_LOOP_US       (100 * 1000)
#define POLL_MAX_MS        50
#define EVENTS_WAIT_US     (300 * 1000)

enum client_state
{
  CLIENT_READS,
  CLIENT_WAITS, /* for a slot */
  CLIENT_RUNS,
  CLIENT_IS_REFUSED,      /* when its time has come */
  CLIENT_WAITS_FOR_EVENTS /* a call that isn't a request */
};

struct client
{
  int fd;
  enum client_state state;
  GString *in;
  GString *out;
  GString *late;   /* written when late_us has come and no answer is under way */
  int64_t late_us; /* 0: none */
  int64_t due_us;  /* time of its next step; 0: none */
  int64_t end_us;  /* deadline of its request; 0: none */
  int64_t used_us; /* time at which it last rested or received */
  int64_t discard; /* bytes of a body that was answered early, to read over */
  bool head_sent;
  bool ended;  /* the other side closed */
  bool closes; /* once out is written */
  bool dead;
  struct engine_request request;
  enum engine_fault fault;
  struct engine_plan plan;
};

struct engine
{
  struct engine_process process;
  int listener;
  GPtrArray *clients;
  unsigned running;
  unsigned waiting;
  enum engine_fault mood;
  bool short_idle;
  unsigned connections_max;
  int64_t mood_end_us;
};

static volatile sig_atomic_t leave_asked;
static volatile sig_atomic_t overload_asked;

static void
on_leave (int number)
{
  (void)number;
  leave_asked = 1;
}

static void
on_overload (int number)
{
  (void)number;
  overload_asked = 1;
}

/* Writes one line of the records. */
void
engine_record (const struct engine_process *process, const char *event, const char *id,
               const char *detail)
{
  char line[256];
  int len = g_snprintf (line, sizeof line, "%" G_GINT64_FORMAT " %s %s %s %s\n",
                        g_get_monotonic_time (), process->instance, event, id, detail);

  if (write (process->records, line, (size_t)MIN (len, (int)sizeof line - 1)) < 0)
    abort ();
}

static void
client_free (void *data)
{
  struct client *client = data;

  (void)close (client->fd);
  g_string_free (client->in, TRUE);
  g_string_free (client->out, TRUE);
  g_string_free (client->late, TRUE);
  engine_plan_clear (&client->plan);
  g_free (client);
}

/* Makes the client's connection end with a reset when it is closed. */
static void
reset_on_close (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
accept_clients (struct engine *engine)
{
  for (;;)
    {
      struct client *client;
      int fd = accept4 (engine->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return;
      if (engine->clients->len >= engine->connections_max)
        {
          reset_on_close (fd);
          (void)close (fd);
          continue;
        }
      client = g_new0 (struct client, 1);
      client->fd = fd;
      client->in = g_string_new (NULL);
      client->out = g_string_new (NULL);
      client->late = g_string_new (NULL);
      client->used_us = g_get_monotonic_time ();
      g_ptr_array_add (engine->clients, client);
    }
}

/* Ends the request in progress, which leaves its slot or the queue. */
static void
end_request (struct engine *engine, struct client *client)
{
  if (client->state == CLIENT_RUNS)
    engine->running--;
  else if (client->state == CLIENT_WAITS)
    engine->waiting--;
  client->state = CLIENT_READS;
  client->due_us = 0;
  client->head_sent = false;
  client->used_us = g_get_monotonic_time ();
  engine_plan_clear (&client->plan);
}

static void
drop_client (struct engine *engine, struct client *client)
{
  if (client->dead)
    return;
  if (client->state == CLIENT_RUNS)
    engine_record (&engine->process, "abandoned", client->request.id, "");
  end_request (engine, client);
  client->dead = true;
}

static enum engine_fault
choose_fault (const struct engine *engine)
{
  if (engine->mood == ENGINE_SOUND
      || g_rand_int_range (engine->process.random, 0, 100) >= FAULT_PERCENT)
    return ENGINE_SOUND;
  return engine->mood;
}

static void
refuse (struct engine *engine, struct client *client, unsigned status)
{
  engine_record (&engine->process, "refused", client->request.id, "");
  engine_write_refusal (&client->request, status, client->out);
}

static void
write_late (const struct engine *engine, struct client *client, const GString *text)
{
  g_string_append_len (client->late, text->str, (gssize)text->len);
  client->late_us
      = g_get_monotonic_time ()
        + g_rand_int_range (engine->process.random, 0,
                            g_rand_boolean (engine->process.random) ? LATE_ANSWER_US
                                                                    : LATE_ANSWER_MAX_US);
}

static bool
is_refusal (enum engine_fault fault)
{
  return fault == ENGINE_REFUSE || fault == ENGINE_REFUSE_EARLY
         || fault == ENGINE_REFUSE_TWICE || fault == ENGINE_REFUSE_LATE;
}

/* Refuses a request as its fault says. */
static void
refuse_by_fault (struct engine *engine, struct client *client)
{
  g_autoptr (GString) again = g_string_new (NULL);

  refuse (engine, client, 503);
  if (client->fault == ENGINE_REFUSE_TWICE)
    refuse (engine, client, 503);
  engine_write_refusal (&client->request, 503, again);
  if (client->fault == ENGINE_REFUSE_LATE)
    write_late (engine, client, again);
  client->state = CLIENT_READS;
  client->due_us = 0;
  client->request = (struct engine_request){ 0 };
}

static void
start_run (struct engine *engine, struct client *client)
{
  static const char *const framings[] = { "length", "chunks", "close" };
  static const char *const faults[ENGINE_FAULT_COUNT]
      = { "none",        "refuse",    "refuse_early", "refuse_twice",
          "refuse_late", "lose",      "lose_reset",   "cut_head",
          "cut_body",    "cut_reset", "twice",        "interim",
          "fail",        "slow",      "close",        "announced" };
  char detail[64];

  engine_plan_request (&engine->process, client->fault, &client->request, &client->plan);
  client->state = CLIENT_RUNS;
  client->due_us = g_get_monotonic_time () + client->plan.work_us;
  engine->running++;
  (void)g_snprintf (detail, sizeof detail, "run=%u framing=%s fault=%s after=%u",
                    engine->process.runs, framings[client->plan.framing],
                    faults[client->fault], client->request.resume_after);
  engine_record (&engine->process, "begin", client->request.id, detail);
}

/* Answers calls that aren't requests of callers. Returns false if it is one. */
static bool
answer_call (struct engine *engine, struct client *client)
{
  const char *path = client->request.path;
  bool fails = engine->process.leaving || engine->mood == ENGINE_FAIL;
  g_autofree char *text = NULL;

  if (g_str_has_prefix (path, "/kingcuppoint/kv-events"))
    {
      client->state = CLIENT_WAITS_FOR_EVENTS;
      client->due_us = g_get_monotonic_time () + EVENTS_WAIT_US;
      return true;
    }
  if (g_str_has_prefix (path, "/kingcuppoint/order"))
    {
      g_string_append (client->out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
  if (!g_str_has_prefix (path, "/kingcuppoint/report")
      && !g_str_has_prefix (path, "/health"))
    return false;
  text = g_strdup_printf (
      "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":false,"
      "\"seq-no\":0,\"queued\":%u,\"active\":%u,\"born\":%" G_GINT64_FORMAT "}",
      engine->waiting, engine->running, engine->process.born_ms);
  g_string_append_printf (
      client->out,
      "HTTP/1.1 %d Report\r\nInstance-Id: %s\r\n"
      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
      fails && path[1] == 'h' ? 503 : 200, engine->process.instance, strlen (text), text);
  return true;
}

/* Handles a request that was read whole. */
static void
take_request (struct engine *engine, struct client *client, long sum)
{
  const struct engine_request *request = &client->request;

  if (request->id[0] == '\0')
    refuse (engine, client, 400);
  else if (request->wanted[0] != '\0'
           && strcmp (request->wanted, engine->process.instance) != 0)
    refuse (engine, client, 421);
  else if (client->fault == ENGINE_CLOSE_AT_ONCE)
    client->closes = true;
  else if (is_refusal (client->fault))
    {
      client->state = CLIENT_IS_REFUSED;
      client->due_us = g_get_monotonic_time ()
                       + g_rand_int_range (engine->process.random, 0, REFUSAL_MAX_US);
    }
  else if (engine->running < SLOTS || engine->waiting < QUEUE)
    {
      if (request->sum >= 0 && sum != request->sum)
        engine_record (&engine->process, "garbled", request->id, "");
      client->end_us = request->deadline_ms > 0
                           ? g_get_monotonic_time () + request->deadline_ms * 1000
                           : 0;
      if (engine->running < SLOTS)
        {
          start_run (engine, client);
          return;
        }
      client->state = CLIENT_WAITS;
      engine->waiting++;
    }
  else
    refuse (engine, client, 503);
}

/* Reads over the rest of a body that was answered early. */
static void
discard_body (struct client *client)
{
  size_t count = MIN ((size_t)client->discard, client->in->len);

  g_string_erase (client->in, 0, (gssize)count);
  client->discard -= (int64_t)count;
}

/* Takes the next request from the bytes that were received, if it is whole. Returns true
   if there may be another one. */
static bool
read_request (struct engine *engine, struct client *client)
{
  const char *head_end;
  int64_t body;
  size_t head;
  long sum;

  discard_body (client);
  head_end = strstr (client->in->str, "\r\n\r\n");
  if (client->state != CLIENT_READS || client->discard > 0 || head_end == NULL
      || client->closes)
    return false;
  head = (size_t)(head_end - client->in->str) + 4;
  if (client->request.id[0] == '\0' && client->request.path[0] == '\0')
    {
      engine_read_head (client->in->str, &client->request);
      client->fault = choose_fault (engine);
    }
  body = engine_read_body (&client->request, client->in->str + head,
                           client->in->len - head, &sum);
  if (body < 0 && client->fault == ENGINE_REFUSE_EARLY && client->request.length > 0
      && client->request.wanted[0] != '\0'
      && strcmp (client->request.wanted, engine->process.instance) == 0)
    {
      refuse (engine, client, 503);
      client->discard = client->request.length + (int64_t)head;
      client->request = (struct engine_request){ 0 };
      return true;
    }
  if (body < 0)
    return false;
  g_string_erase (client->in, 0, (gssize)head + (gssize)body);
  if (!answer_call (engine, client))
    take_request (engine, client, sum);
  if (client->state == CLIENT_READS)
    client->request = (struct engine_request){ 0 };
  return client->state == CLIENT_READS;
}

static void
flush_client (struct engine *engine, struct client *client)
{
  ssize_t count;

  while (client->out->len > 0)
    {
      count = send (client->fd, client->out->str, client->out->len, MSG_NOSIGNAL);
      if (count < 0 && errno == EAGAIN)
        return;
      if (count < 0)
        {
          drop_client (engine, client);
          return;
        }
      g_string_erase (client->out, 0, count);
    }
  if (client->closes)
    drop_client (engine, client);
}

/* Ends a run that its server cuts: its records say so, and the connection goes. */
static void
cut_run (struct engine *engine, struct client *client, bool by_reset)
{
  engine_record (&engine->process, "end", client->request.id, "cut");
  end_request (engine, client);
  client->request = (struct engine_request){ 0 };
  if (by_reset)
    {
      flush_client (engine, client);
      reset_on_close (client->fd);
    }
  client->closes = true;
}

static void
finish_run (struct engine *engine, struct client *client)
{
  bool closes = client->plan.framing == ENGINE_BY_CLOSE || engine->process.leaving
                || client->plan.fault == ENGINE_CLOSE_ANNOUNCED;
  g_autoptr (GString) again = g_string_new (NULL);

  if (client->plan.framing == ENGINE_BY_CHUNKS)
    g_string_append (client->out, "0\r\n\r\n");
  if (client->plan.fault == ENGINE_ANSWER_TWICE && client->plan.pieces->len > 0
      && !closes)
    {
      const char *text = g_ptr_array_index (client->plan.pieces, 0);

      client->plan.framing = ENGINE_BY_CHUNKS;
      engine_write_head (&engine->process, &client->request, &client->plan, again);
      engine_write_piece (&client->plan, text, strlen (text), again);
      g_string_append (again, "0\r\n\r\n");
      write_late (engine, client, again);
    }
  engine_record (&engine->process, "end", client->request.id, "whole");
  end_request (engine, client);
  client->request = (struct engine_request){ 0 };
  client->closes = closes;
}

/* Cuts a run that reached the place where its fault says so. Returns false if it goes on.
 */
static bool
cut_by_fault (struct engine *engine, struct client *client)
{
  struct engine_plan *plan = &client->plan;
  const char *text;
  bool by_reset = plan->fault == ENGINE_CUT_BY_RESET;
  bool is_stream = g_str_has_prefix (client->request.path, "/stream/");

  if (plan->fault == ENGINE_LOSE_IN_ORDER || plan->fault == ENGINE_LOSE_BY_RESET)
    {
      cut_run (engine, client, plan->fault == ENGINE_LOSE_BY_RESET);
      return true;
    }
  if (plan->fault == ENGINE_CUT_HEAD)
    {
      engine_write_head (&engine->process, &client->request, plan, client->out);
      g_string_truncate (client->out,
                         (gsize)g_rand_int_range (engine->process.random, 1,
                                                  (gint32)client->out->len - 2));
      cut_run (engine, client, false);
      return true;
    }
  if ((plan->fault != ENGINE_CUT_BODY && !by_reset) || plan->sent + 1 < plan->pieces->len
      || plan->pieces->len == 0)
    return false;
  text = g_ptr_array_index (plan->pieces, plan->sent);
  if (!client->head_sent)
    engine_write_head (&engine->process, &client->request, plan, client->out);
  engine_write_piece (plan, text, strlen (text) / 2, client->out);
  if (plan->framing == ENGINE_BY_CHUNKS && !by_reset && is_stream
      && g_rand_boolean (engine->process.random))
    g_string_append (client->out, "0\r\n\r\n"); /* around half an event */
  /* The end of a body without a length is its connection's: only a reset cuts it, except
     within an event. */
  cut_run (engine, client, by_reset || (plan->framing == ENGINE_BY_CLOSE && !is_stream));
  return true;
}

/* Answers that the request's deadline has passed while it ran. */
static void
end_late_run (struct engine *engine, struct client *client)
{
  engine_record (&engine->process, "end", client->request.id, "deadline");
  g_string_append_printf (client->out,
                          "HTTP/1.1 504 Late\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          client->request.id, engine->process.instance);
  end_request (engine, client);
  client->request = (struct engine_request){ 0 };
}

/* Returns true if the next piece is written in two halves. */
static bool
is_halved (const struct engine *engine, const struct engine_plan *plan, size_t len)
{
  return len > 1 && plan->fault != ENGINE_CUT_BODY && plan->fault != ENGINE_CUT_BY_RESET
         && g_rand_int_range (engine->process.random, 0, 100) < HALVES_PERCENT;
}

/* Writes the next piece of an answer, or a half of it. */
static void
write_next_piece (struct engine *engine, struct client *client, int64_t now_us)
{
  struct engine_plan *plan = &client->plan;
  const char *text = g_ptr_array_index (plan->pieces, plan->sent);
  size_t len = strlen (text);
  char number[16];

  if (!plan->half_sent && is_halved (engine, plan, len))
    {
      engine_write_piece (plan, text, len / 2, client->out);
      plan->half_sent = true;
      client->due_us = now_us + HALVES_GAP_US;
      return;
    }
  if (plan->half_sent)
    engine_write_piece (plan, text + len / 2, len - len / 2, client->out);
  else
    engine_write_piece (plan, text, len, client->out);
  plan->half_sent = false;
  plan->sent++;
  client->due_us = now_us + plan->gap_us;
  (void)g_snprintf (number, sizeof number, "%u",
                    client->request.resume_after + plan->sent);
  engine_record (&engine->process, "event", client->request.id, number);
}

/* Writes the next part of an answer. */
static void
continue_run (struct engine *engine, struct client *client, int64_t now_us)
{
  const struct engine_plan *plan = &client->plan;

  if (client->end_us != 0 && now_us > client->end_us && !client->head_sent)
    {
      end_late_run (engine, client);
      return;
    }
  if (cut_by_fault (engine, client))
    return;
  if (!client->head_sent)
    engine_write_head (&engine->process, &client->request, plan, client->out);
  client->head_sent = true;
  if (plan->sent < plan->pieces->len)
    write_next_piece (engine, client, now_us);
  if (plan->sent >= plan->pieces->len)
    finish_run (engine, client);
}

static void
answer_events (struct client *client)
{
  static const char text[] = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";

  g_string_append_printf (client->out,
                          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          strlen (text), text);
  client->state = CLIENT_READS;
  client->due_us = 0;
  client->request = (struct engine_request){ 0 };
}

static void
start_waiting (struct engine *engine, struct client *client, int64_t now_us)
{
  if (client->end_us != 0 && now_us > client->end_us)
    {
      refuse (engine, client, 503);
      end_request (engine, client);
      client->request = (struct engine_request){ 0 };
    }
  else if (engine->running < SLOTS)
    {
      engine->waiting--;
      start_run (engine, client);
    }
}

/* Does what is due of a client. */
static void
step_client (struct engine *engine, struct client *client, int64_t now_us)
{
  int64_t idle_us = engine->short_idle ? IDLE_SHORT_US : IDLE_US;

  if (client->state == CLIENT_WAITS)
    start_waiting (engine, client, now_us);
  else if (client->state == CLIENT_RUNS && now_us >= client->due_us)
    continue_run (engine, client, now_us);
  else if (client->state == CLIENT_IS_REFUSED && now_us >= client->due_us)
    refuse_by_fault (engine, client);
  else if (client->state == CLIENT_WAITS_FOR_EVENTS && now_us >= client->due_us)
    answer_events (client);
  if (client->late_us != 0 && now_us >= client->late_us && !client->head_sent
      && !client->closes)
    {
      g_string_append_len (client->out, client->late->str, (gssize)client->late->len);
      g_string_truncate (client->late, 0);
      client->late_us = 0;
    }
  while (read_request (engine, client))
    continue;
  if (client->state == CLIENT_READS && client->in->len == 0
      && now_us - client->used_us > idle_us)
    client->closes = true;
  flush_client (engine, client);
}

static void
receive (struct engine *engine, struct client *client)
{
  char block[READ_BLOCK_BYTES];
  ssize_t count;

  while ((count = recv (client->fd, block, sizeof block, 0)) > 0)
    {
      g_string_append_len (client->in, block, count);
      client->used_us = g_get_monotonic_time ();
    }
  while (read_request (engine, client))
    continue;
  if (count == 0 || errno != EAGAIN)
    drop_client (engine, client);
}

static void
change_mood (struct engine *engine, int64_t now_us)
{
  GRand *random = engine->process.random;

  if (overload_asked)
    {
      overload_asked = 0;
      engine->mood = ENGINE_REFUSE_LATE;
      engine->mood_end_us = now_us + OVERLOAD_US;
    }
  if (now_us < engine->mood_end_us)
    return;
  engine->mood_end_us
      = now_us + g_rand_int_range (random, MOOD_MIN_MS, MOOD_MAX_MS) * 1000;
  engine->mood = ENGINE_SOUND;
  if (g_rand_int_range (random, 0, 100) >= SOUND_PERCENT)
    engine->mood = (enum engine_fault)g_rand_int_range (random, 1, ENGINE_FAULT_COUNT);
  engine->connections_max = g_rand_int_range (random, 0, 100) < FEW_PERCENT
                                ? CONNECTIONS_FEW
                                : CONNECTIONS_MAX;
  engine->short_idle = g_rand_int_range (random, 0, 100) >= SOUND_PERCENT;
}

static int
listen_at (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0
      || listen (fd, BACKLOG) < 0)
    return -1;
  return fd;
}

/* Returns the time until the next step of any client, in milliseconds. */
static int
next_step_ms (const struct engine *engine, int64_t now_us)
{
  int64_t next_us = now_us + POLL_MAX_MS * 1000;

  for (guint i = 0; i < engine->clients->len; i++)
    {
      const struct client *client = g_ptr_array_index (engine->clients, i);

      if (client->due_us != 0)
        next_us = MIN (next_us, client->due_us);
      if (client->late_us != 0 && !client->head_sent)
        next_us = MIN (next_us, client->late_us);
    }
  return (int)(MAX (next_us - now_us, 0) + 999) / 1000;
}

/* Lists the sockets of all clients, and the listener last. */
static void
list_sockets (const struct engine *engine, GArray *polled)
{
  struct pollfd listener = { .fd = engine->listener, .events = POLLIN };

  g_array_set_size (polled, 0);
  for (guint i = 0; i < engine->clients->len; i++)
    {
      const struct client *client = g_ptr_array_index (engine->clients, i);
      struct pollfd item = { .fd = client->fd, .events = POLLIN };

      if (client->out->len > 0)
        item.events |= POLLOUT;
      g_array_append_val (polled, item);
    }
  g_array_append_val (polled, listener);
}

static void
remove_dead_clients (const struct engine *engine)
{
  for (guint i = engine->clients->len; i > 0; i--)
    if (((struct client *)g_ptr_array_index (engine->clients, i - 1))->dead)
      g_ptr_array_remove_index (engine->clients, i - 1);
}

static void
poll_once (struct engine *engine, GArray *polled)
{
  int64_t before_us = g_get_monotonic_time ();
  int wait_ms = next_step_ms (engine, before_us);
  guint count = engine->clients->len;
  int64_t now_us;

  list_sockets (engine, polled);
  (void)poll ((struct pollfd *)(void *)polled->data, polled->len, wait_ms);
  now_us = g_get_monotonic_time ();
  if (now_us - before_us > wait_ms * 1000 + LATE_LOOP_US)
    engine_record (&engine->process, "late", "-", "");
  for (guint i = 0; i < count; i++)
    if (g_array_index (polled, struct pollfd, i).revents & (POLLIN | POLLHUP | POLLERR))
      receive (engine, g_ptr_array_index (engine->clients, i));
  if (g_array_index (polled, struct pollfd, count).revents != 0)
    accept_clients (engine);
  for (guint i = 0; i < engine->clients->len; i++)
    {
      struct client *client = g_ptr_array_index (engine->clients, i);

      if (!client->dead)
        step_client (engine, client, now_us);
    }
  remove_dead_clients (engine);
}

/* Runs a server until it is killed: SEED INSTANCE PORT SOFTWARE BORN_MS RECORDS. From
   SIGUSR1 on it is leaving; after SIGUSR2 it refuses for a time. */
int
engine_main (int argc, char **argv)
{
  struct engine engine = { 0 };
  GArray *polled = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  sigset_t none;

  if (argc < 6)
    return EXIT_FAILURE;
  (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
  (void)signal (SIGUSR1, on_leave);
  (void)signal (SIGUSR2, on_overload);
  (void)signal (SIGPIPE, SIG_IGN);
  (void)sigemptyset (&none);
  (void)sigprocmask (SIG_SETMASK, &none, NULL);
  engine.process = (struct engine_process){ .random = g_rand_new_with_seed (
                                                (guint32)strtoul (argv[0], NULL, 10)),
                                            .instance = argv[1],
                                            .software = argv[3],
                                            .born_ms = strtoll (argv[4], NULL, 10) };
  engine.process.records = open (argv[5], O_WRONLY | O_APPEND | O_CREAT, 0644);
  engine.listener = listen_at ((int)strtol (argv[2], NULL, 10));
  engine.clients = g_ptr_array_new_with_free_func (client_free);
  if (engine.process.records < 0 || engine.listener < 0)
    {
      perror (argv[1]);
      return EXIT_FAILURE;
    }
  engine_record (&engine.process, "start", "-", argv[2]);
  for (;;)
    {
      engine.process.leaving = leave_asked != 0;
      change_mood (&engine, g_get_monotonic_time ());
      poll_once (&engine, polled);
    }
}
