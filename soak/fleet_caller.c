/* Callers of the soak test of a fleet, which try again as the callers' protocol says. */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/fleet.h"
#include "soak/fleet_answer.h"

#define ATTEMPTS_MAX       4u
#define DEADLINE_MS        4000
#define BODY_BYTES_SMALL   2000
#define BODY_BYTES_MAX     60000
#define BODY_LARGE_PERCENT 8
#define PIECES_MAX         5
#define PIECE_GAP_MAX_US   4000
#define LEAVES_PERCENT     4
#define LEAVE_MAX_US       300000
#define EVENTS_MAX         14
#define EVENTS_MAX_LONG    68
#define LONG_PERCENT       25 /* of the streams */
#define LINKED_PERCENT     50 /* of the connections go through the VM's link */
#define PAUSE_MAX_US       30000
#define REUSES_PERCENT     85
#define CHUNKS_PERCENT     20
#define EMPTY_PERCENT      20 /* of the requests have no body */
#define RETRY_AFTER_PART   3  /* of the time left that a caller waits at most */

struct caller
{
  unsigned number;
  unsigned sent; /* attempts so far */
  GRand *random;
  int fd;      /* kept connection; -1: none */
  bool linked; /* it goes through the VM's link, which may reset it */
  unsigned vm;
  struct fleet_answer answer;
};

/* What a caller wants, over all its attempts. */
struct want
{
  enum fleet_kind kind;
  char path[64];
  GString *body;
  long sum;
  int64_t end_us;
  unsigned events;   /* of a stream */
  unsigned received; /* events that it has */
  char first_id[24]; /* of the attempt that brought its first event; empty: none */
  char software[16]; /* that began it */
};

static const char *const prefixes[FLEET_KIND_COUNT]
    = { "stream/", "stream/", "once/", "again/", "changing/" };
static const char *const hosts[FLEET_KIND_COUNT]
    = { "resumable", "stream", "h", "h", "h" };

static bool
is_percent (const struct caller *caller, int percent)
{
  return g_rand_int_range (caller->random, 0, 100) < percent;
}

static void
choose_want (struct caller *caller, struct want *want)
{
  int len = is_percent (caller, BODY_LARGE_PERCENT) ? BODY_BYTES_MAX : BODY_BYTES_SMALL;

  *want = (struct want){
    .kind = (enum fleet_kind)g_rand_int_range (caller->random, 0, FLEET_KIND_COUNT),
    .body = g_string_new (NULL),
    .end_us = g_get_monotonic_time () + DEADLINE_MS * 1000,
  };
  want->events = (unsigned)g_rand_int_range (
      caller->random, 1,
      is_percent (caller, LONG_PERCENT) ? EVENTS_MAX_LONG : EVENTS_MAX);
  len = is_percent (caller, EMPTY_PERCENT) ? 0
                                           : g_rand_int_range (caller->random, 2, len);
  for (int i = 0; i < len; i++)
    {
      g_string_append_c (want->body, (char)('a' + (i * 7 + len) % 26));
      want->sum += (unsigned char)want->body->str[i];
    }
  (void)g_snprintf (want->path, sizeof want->path, "/%s%u", prefixes[want->kind],
                    want->events);
}

/* How an attempt is written. */
struct form
{
  bool http_1_0;
  bool chunked; /* its body */
};

/* HTTP/1.0 has no chunks. */
static struct form
choose_form (const struct caller *caller)
{
  struct form form = { .http_1_0 = is_percent (caller, fleet.http_1_0_percent) };

  form.chunked = !form.http_1_0 && is_percent (caller, CHUNKS_PERCENT);
  return form;
}

/* Appends a request. */
static void
write_request (const struct want *want, const struct fleet_attempt *attempt,
               struct form form, GString *out)
{
  int64_t remaining_ms = (want->end_us - attempt->begin_us) / 1000;
  size_t half = want->body->len / 2;
  bool gets = want->body->len == 0
              && (want->kind == FLEET_AGAIN || want->kind == FLEET_CHANGING);

  g_string_append_printf (out,
                          "%s %s HTTP/1.%d\r\nHost: %s\r\nRequest-Id: %s\r\n"
                          "Authorization: Bearer key1\r\nX-Sum: %ld\r\n"
                          "Request-Deadline: %" G_GINT64_FORMAT "\r\n",
                          gets ? "GET" : "POST", want->path, form.http_1_0 ? 0 : 1,
                          hosts[want->kind], attempt->id, want->sum,
                          MAX (remaining_ms, 1));
  if (attempt->first_id[0] != '\0')
    g_string_append_printf (out, "Resumes: %s\r\nLast-Event-Id: %u\r\n",
                            attempt->first_id, want->received);
  if (gets)
    g_string_append (out, "\r\n");
  else if (!form.chunked || want->body->len == 0)
    g_string_append_printf (out, "Content-Length: %zu\r\n\r\n%s", want->body->len,
                            want->body->str);
  else
    {
      g_string_append_printf (out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", half);
      g_string_append_len (out, want->body->str, (gssize)half);
      g_string_append_printf (out, "\r\n%zx\r\n%s\r\n0\r\n\r\n", want->body->len - half,
                              want->body->str + half);
    }
}

/* Sends bytes in pieces. Returns false if the connection takes them no more. */
static bool
send_in_pieces (const struct caller *caller, const GString *text)
{
  int pieces = g_rand_int_range (caller->random, 1, PIECES_MAX + 1);
  size_t size = text->len / (size_t)pieces + 1;

  for (size_t at = 0; at < text->len; at += size)
    {
      size_t len = MIN (size, text->len - at);

      if (at > 0)
        g_usleep ((gulong)g_rand_int_range (caller->random, 0, PIECE_GAP_MAX_US));
      if (send (caller->fd, text->str + at, len, MSG_NOSIGNAL) != (ssize_t)len)
        return false;
    }
  return true;
}

static void
close_connection (struct caller *caller)
{
  if (caller->fd >= 0)
    (void)close (caller->fd);
  caller->fd = -1;
}

/* Leaves the connection: with a reset in half of the cases. */
static void
leave (struct caller *caller)
{
  struct linger linger = { .l_onoff = 1 };

  if (g_rand_boolean (caller->random))
    (void)setsockopt (caller->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close_connection (caller);
}

/* Checks the events of one attempt against those that the caller has. */
static void
check_events (const struct fleet_attempt *attempt, struct want *want,
              const struct fleet_answer *answer)
{
  const char *at = answer->body->str;
  const char *end;
  char first_run[32] = "";

  for (; (end = strstr (at, "\n\n")) != NULL; at = end + 2)
    {
      g_autofree char *event = g_strndup (at, (gsize)(end - at));
      unsigned named = 0;
      unsigned piece = 0;
      unsigned count = 0;
      char id[48] = "";
      char run[32] = "";
      char software[16] = "";

      if (sscanf (event, "id: %u\ndata: piece %u of %u for %47s run %31s by %15s", &named,
                  &piece, &count, id, run, software)
              != 6
          || named != piece || count != want->events)
        {
          fleet_broken ("MIXED, no event", attempt->id, answer->bytes->str);
          return;
        }
      if (strcmp (id, attempt->id) != 0)
        fleet_broken ("MIXED, event of another request", attempt->id, answer->bytes->str);
      if (piece != want->received + 1)
        fleet_broken ("ORDER, event missing or doubled", attempt->id, answer->bytes->str);
      if (first_run[0] == '\0')
        (void)g_strlcpy (first_run, run, sizeof first_run);
      if (want->kind == FLEET_STREAM && strcmp (run, first_run) != 0)
        fleet_broken ("ORDER, events of two runs", attempt->id, answer->bytes->str);
      if (want->software[0] != '\0' && strcmp (want->software, software) != 0)
        fleet_broken ("ORDER, another software version", attempt->id, answer->bytes->str);
      if (want->received == 0)
        (void)g_strlcpy (want->first_id, attempt->id, sizeof want->first_id);
      (void)g_strlcpy (want->software, software, sizeof want->software);
      want->received = piece;
    }
  if (answer->end == FLEET_WHOLE && *at != '\0')
    fleet_broken ("ORDER, whole with a part of an event", attempt->id,
                  answer->bytes->str);
  else if (answer->end == FLEET_WHOLE && want->received != want->events)
    fleet_broken ("ORDER, whole before its last event", attempt->id, answer->bytes->str);
}

static void
check_body (const struct fleet_attempt *attempt, const struct fleet_answer *answer)
{
  char id[48] = "";
  char run[32] = "";
  size_t filler = 0;
  int head = 0;

  if (answer->end != FLEET_WHOLE)
    return;
  if (sscanf (answer->body->str, "for %47s run %31s filler %zu%n", id, run, &filler,
              &head)
          != 3
      || answer->body->len != (size_t)head + 1 + filler)
    fleet_broken ("MIXED, not the whole body", attempt->id, answer->bytes->str);
  else if (strcmp (id, attempt->id) != 0)
    fleet_broken ("MIXED, body of another request", attempt->id, answer->bytes->str);
}

static void
check_answer (const struct fleet_attempt *attempt, struct want *want,
              const struct fleet_answer *answer)
{
  if (answer->status != 0 && answer->id[0] != '\0'
      && strcmp (answer->id, attempt->id) != 0)
    fleet_broken ("MIXED, answer to another request", attempt->id, answer->bytes->str);
  if (answer->status / 100 != 2)
    return;
  if (!answer->signed_)
    fleet_broken ("MIXED, without a seal", attempt->id, answer->bytes->str);
  if (want->kind == FLEET_RESUMABLE || want->kind == FLEET_STREAM)
    check_events (attempt, want, answer);
  else
    check_body (attempt, answer);
}

static bool
is_promise (const struct fleet_attempt *attempt)
{
  return attempt->complete
         && (attempt->status == 503 || attempt->status == 429 || attempt->status == 408
             || attempt->status == 421);
}

static void
count_attempt (const struct fleet_attempt *attempt)
{
  if (attempt->status == 200 && attempt->complete)
    g_atomic_int_inc (&fleet.answered);
  else if (is_promise (attempt))
    g_atomic_int_inc (&fleet.refused);
  else if (attempt->complete)
    g_atomic_int_inc (&fleet.failed);
  else
    g_atomic_int_inc (&fleet.broken);
  if (attempt->status == 200 && attempt->first_id[0] != '\0')
    g_atomic_int_inc (&fleet.resumed);
}

static void
add_attempt (const struct fleet_attempt *attempt)
{
  g_mutex_lock (&fleet.lock);
  g_array_append_val (fleet.attempts, *attempt);
  g_mutex_unlock (&fleet.lock);
}

/* Connects to a VM that is chosen at random. Returns false if it can't. */
static bool
connect_to_vm (struct caller *caller)
{
  caller->vm = (unsigned)g_rand_int_range (caller->random, 0, (gint32)fleet.vm_count);
  caller->linked = fleet.has_links && is_percent (caller, LINKED_PERCENT);
  caller->fd = soak_connect (caller->linked ? fleet_link_vm_port (caller->vm)
                                            : fleet.vms[caller->vm].port,
                             DEADLINE_MS);
  return caller->fd >= 0;
}

/* Waits for a part of an answer, and leaves. */
static void
leave_early (struct caller *caller, struct fleet_attempt *attempt)
{
  int64_t leave_us
      = g_get_monotonic_time () + g_rand_int_range (caller->random, 0, LEAVE_MAX_US);

  fleet_answer_read (&caller->answer, caller->fd, leave_us);
  attempt->end_us = g_get_monotonic_time ();
  leave (caller);
  add_attempt (attempt);
  g_atomic_int_inc (&fleet.left);
}

/* Sends one attempt and reads its answer. Returns false if the caller left. */
static bool
try_once (struct caller *caller, struct want *want, struct fleet_attempt *attempt)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct form form = choose_form (caller);
  bool sent;

  *attempt
      = (struct fleet_attempt){ .kind = want->kind, .begin_us = g_get_monotonic_time () };
  (void)g_snprintf (attempt->id, sizeof attempt->id, "c%u-%u", caller->number,
                    caller->sent++);
  if (want->received > 0)
    (void)g_strlcpy (attempt->first_id, want->first_id, sizeof attempt->first_id);
  if (caller->fd < 0 && !connect_to_vm (caller))
    {
      caller->answer.end = FLEET_RESET;
      caller->answer.status = 0;
      g_string_truncate (caller->answer.bytes, 0);
      return true;
    }
  attempt->vm = caller->vm;
  write_request (want, attempt, form, text);
  sent = send_in_pieces (caller, text);
  if (sent && is_percent (caller, LEAVES_PERCENT))
    {
      leave_early (caller, attempt);
      return false;
    }
  fleet_answer_read (&caller->answer, caller->fd, want->end_us);
  attempt->end_us = g_get_monotonic_time ();
  attempt->status = caller->answer.status;
  attempt->complete = caller->answer.end == FLEET_WHOLE;
  check_answer (attempt, want, &caller->answer);
  count_attempt (attempt);
  if (!sent || !attempt->complete || caller->answer.closing || form.http_1_0)
    close_connection (caller);
  return true;
}

/* Returns true if the caller may send what it wants once more. A reset shows that the VM
   has not read the request only if no link may have reset the connection. */
static bool
may_retry (const struct caller *caller, const struct want *want,
           struct fleet_attempt *attempt)
{
  const struct fleet_answer *answer = &caller->answer;

  if (attempt->complete && (attempt->status < 429 && attempt->status != 408))
    return false;
  if (want->kind == FLEET_RESUMABLE || want->kind == FLEET_AGAIN || is_promise (attempt))
    return true;
  attempt->unread_retried
      = answer->end == FLEET_RESET && answer->bytes->len == 0 && !caller->linked;
  attempt->closed_unanswered = answer->end == FLEET_CLOSED && answer->bytes->len == 0;
  return attempt->unread_retried;
}

static void
wait_to_retry (const struct want *want, const struct fleet_answer *answer)
{
  int64_t left_us = want->end_us - g_get_monotonic_time ();
  int64_t wait_us = (int64_t)(answer->retry_after_s * G_USEC_PER_SEC);

  if (answer->status != 0 && wait_us > 0 && left_us > 0)
    g_usleep ((gulong)MIN (wait_us, left_us / RETRY_AFTER_PART));
}

/* Sends what a caller wants until it is answered, or may not be sent again. */
static void
pursue (struct caller *caller, struct want *want)
{
  for (unsigned i = 0; i < ATTEMPTS_MAX; i++)
    {
      struct fleet_attempt attempt;
      bool retries;

      if (!try_once (caller, want, &attempt))
        return;
      retries = may_retry (caller, want, &attempt);
      add_attempt (&attempt);
      if (!retries || g_get_monotonic_time () >= want->end_us)
        return;
      close_connection (caller);
      wait_to_retry (want, &caller->answer);
    }
}

/* Sends requests until the test stops. */
gpointer
fleet_run_caller (gpointer number)
{
  struct caller caller = { .number = GPOINTER_TO_UINT (number), .fd = -1 };

  caller.random = g_rand_new_with_seed (fleet.seed * FLEET_CALLERS_MAX + caller.number);
  fleet_answer_init (&caller.answer);
  while (!g_atomic_int_get (&fleet.stopping))
    {
      struct want want;

      choose_want (&caller, &want);
      pursue (&caller, &want);
      g_string_free (want.body, TRUE);
      if (!is_percent (&caller, REUSES_PERCENT))
        close_connection (&caller);
      g_usleep ((gulong)g_rand_int_range (caller.random, 0, PAUSE_MAX_US));
    }
  close_connection (&caller);
  fleet_answer_clear (&caller.answer);
  g_rand_free (caller.random);
  return NULL;
}

/* Returns true if a VM answers a request of the route that may run again. */
bool
fleet_vm_serves (unsigned vm)
{
  /* No two are equal: VMs block requests that were in flight at several crashes. */
  static gint asked;
  g_autofree char *request
      = g_strdup_printf ("POST /again/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: end\r\n"
                         "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                         "Content-Length: 8\r\n\r\n%08d",
                         g_atomic_int_add (&asked, 1));
  struct fleet_answer answer;
  bool serves;
  int fd = soak_connect (fleet.vms[vm].port, DEADLINE_MS);

  if (fd < 0)
    return false;
  fleet_answer_init (&answer);
  serves = send (fd, request, strlen (request), MSG_NOSIGNAL) > 0;
  if (serves)
    fleet_answer_read (&answer, fd, g_get_monotonic_time () + DEADLINE_MS * 1000);
  serves = serves && answer.end == FLEET_WHOLE && answer.status == 200;
  (void)close (fd);
  fleet_answer_clear (&answer);
  return serves;
}
