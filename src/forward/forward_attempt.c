#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "forward/forward_private.h"
#include "forward/mesh_speeds.h"
#include "forward/server_notices.h"
#include "forward/version_check.h"
#include "policy/fingerprint.h"
#include "policy/queue_priority.h"

#define LOGGED_PARTS_MAX 8u /* parts of a prompt that a line of the log names */

static void log_sent (const struct kcp_forward *forward);
static char *list_parts (const struct kcp_forward *forward);
static struct curl_slist *make_headers (const struct kcp_forward *forward);
static void on_head_began (void *user);
static void drop_head (struct kcp_forward *forward);
static void on_head_ended (void *user);
static void on_header (void *user, struct kcp_str name, struct kcp_str value);
static bool tells_of_limit (const struct kcp_forward *forward, long status);
static bool on_data (void *user, struct kcp_str bytes);
static void record_first_byte (struct kcp_forward *forward);
static void record_speed (const struct kcp_forward *forward);
static void on_done (void *user, const struct kcp_http_result *result);
static void learn_version (const struct kcp_forward *forward, long status);
static struct kcp_http_result
check_stream_end (const struct kcp_forward *forward, struct kcp_http_result result);
static bool
lacks_events (const struct kcp_forward *forward, const struct kcp_http_result *result);
static void clear_attempt (struct kcp_attempt *attempt);

/* Sends the request to the chosen server. The callbacks of the HTTP call continue the
   attempt. */
void
kcp_forward_start_attempt (struct kcp_forward *forward)
{
  struct kcp_gateway *gateway = forward->gateway;
  struct kcp_attempt *attempt = &forward->attempt;
  struct kcp_server *server = forward->choice.server;
  bool new_connection = kcp_forward_needs_new_connection (forward, server->entry.address);

  kcp_forward_begin_attempt (forward, server);
  attempt->server_start_ms = MAX (server->entry.started_ms, server->reported_start_ms);
  kcp_histogram_add (KCP_HISTOGRAM_LOAD_AGE, forward->choice.load_age_ns);
  attempt->prefill_tokens_pending = forward->choice.uncached_tokens;
  attempt->found_idle = forward->choice.idle && forward->choice.inbound->model != NULL;
  kcp_server_limit_take (&server->limit, attempt->sent_ns);
  server->prefill_tokens_pending += attempt->prefill_tokens_pending;
  kcp_forward_note_sent (forward);
  kcp_choice_record (gateway, &forward->choice);
  kcp_counter_add (KCP_COUNT_ATTEMPTS, 1);
  if (forward->tried->len > 1)
    kcp_counter_add (KCP_COUNT_RETRIES, 1);
  log_sent (forward);
  kcp_forward_send_attempt (forward, make_headers (forward), new_connection);
}

/* Fills in what all attempts have. server may be another VM. */
void
kcp_forward_begin_attempt (struct kcp_forward *forward, struct kcp_server *server)
{
  struct kcp_attempt *attempt = &forward->attempt;

  attempt->server = kcp_server_ref (server);
  attempt->headers = g_ptr_array_new_with_free_func (g_free);
  attempt->buffered_body = g_string_new (NULL);
  attempt->sent_ns = kcp_loop_now (forward->gateway->loop);
  attempt->events_before = forward->framer.events;
  forward->framer.resumed = forward->answer->begun;
  server->in_flight++;
  g_ptr_array_add (forward->tried, kcp_server_ref (server));
}

/* Sends the attempt with these header lines, which the call owns from then on. */
void
kcp_forward_send_attempt (struct kcp_forward *forward, struct curl_slist *headers,
                          bool new_connection)
{
  const struct kcp_forward_settings *settings = forward->gateway->settings;

  forward->attempt.call = kcp_http_start (
      forward->gateway->client,
      &(struct kcp_http_spec){
          .method = forward->inbound->method,
          .address = forward->attempt.server->entry.address,
          .target = forward->inbound->target,
          .headers = headers,
          .body = { forward->inbound->body->str, forward->inbound->body->len },
          .connect_ms = settings->servers_connect_timeout_ms,
          .ack_timeout_ms = settings->servers_ack_timeout_ms,
          .max_idle_s = settings->servers_max_idle_s,
          .new_connection = new_connection,
          .head_began = on_head_began,
          .head_ended = on_head_ended,
          .header = on_header,
          .data = on_data,
          .done = on_done,
          .user = forward,
      });
}

/* Returns true if the server at address must not get the request on a kept connection: a
   request without a body that may run only once, or one that was sent to this address
   before, by an entry of the list that has been replaced since. On the connection of that
   attempt a late copy of its answer may arrive, with the id of this request. */
bool
kcp_forward_needs_new_connection (const struct kcp_forward *forward, const char *address)
{
  for (guint i = 0; i < forward->tried->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (forward->tried, i);

      if (strcmp (server->entry.address, address) == 0)
        return true;
    }
  return forward->choice.route->repeat == KCP_REPEAT_ONCE
         && forward->inbound->body->len == 0;
}

/* Logs an attempt that is about to be sent, with what its server was chosen by. */
static void
log_sent (const struct kcp_forward *forward)
{
  const struct kcp_attempt *attempt = &forward->attempt;
  const struct kcp_server *server = attempt->server;
  char fingerprint[KCP_FINGERPRINT_TEXT_SIZE];
  g_autofree char *parts = list_parts (forward);

  KCP_LOG (
      "sent", KCP_LOG_TEXT ("request", forward->inbound->id),
      KCP_LOG_TEXT ("route", forward->choice.route->name),
      KCP_LOG_TEXT ("server", server->entry.id),
      KCP_LOG_TEXT ("software", server->entry.software),
      KCP_LOG_INT ("try", forward->tried->len),
      KCP_LOG_INT ("team_priority",
                   forward->choice.team ? forward->choice.team->priority : -1),
      KCP_LOG_INT ("routes_version", forward->routes->version),
      KCP_LOG_INT ("weights", forward->choice.weights),
      KCP_LOG_INT ("replaced_ms",
                   forward->choice.replaced_ns != 0
                       ? (attempt->sent_ns - forward->choice.replaced_ns) / KCP_NS_PER_MS
                       : -1),
      KCP_LOG_INT ("usable", forward->choice.usable),
      KCP_LOG_INT ("cost_us", forward->choice.cost_us),
      KCP_LOG_INT ("failing_us", forward->choice.failing_us),
      KCP_LOG_INT ("slowness", forward->choice.slowness),
      KCP_LOG_INT ("load_age_ms", forward->choice.load_age_ns / KCP_NS_PER_MS),
      KCP_LOG_INT ("open_there", server->in_flight),
      KCP_LOG_INT ("limit_share",
                   kcp_server_limit_is_in_force (&server->limit, attempt->sent_ns)
                       ? (int64_t)(server->limit.share * KCP_SERVER_LIMIT_SCALE)
                       : -1),
      KCP_LOG_INT ("uncached", forward->choice.uncached_tokens),
      KCP_LOG_INT ("prompt", forward->inbound->prompt_tokens),
      KCP_LOG_TEXT ("cache_space", forward->choice.cache_space),
      KCP_LOG_TEXT ("fetch_from", forward->choice.fetch_from),
      KCP_LOG_TEXT ("save_to", forward->choice.save_to),
      KCP_LOG_TEXT (
          "prefix",
          forward->inbound->parts != NULL && forward->inbound->parts->len > 0
              ? g_array_index (forward->inbound->parts, struct kcp_prompt_part, 0).id
              : NULL),
      KCP_LOG_INT (
          "prefix_tokens",
          forward->inbound->parts != NULL && forward->inbound->parts->len > 0
              ? g_array_index (forward->inbound->parts, struct kcp_prompt_part, 0).tokens
              : 0),
      KCP_LOG_INT ("left_ms", kcp_forward_remaining_ms (forward)),
      KCP_LOG_TEXT ("fingerprint",
                    kcp_fingerprint_text (forward->causes.fingerprint, fingerprint)),
      KCP_LOG_TEXT ("parts", parts));
}

/* Returns the fingerprints of the prompt's first parts as the log shows them, separated
   by spaces; to be freed with g_free(). */
static char *
list_parts (const struct kcp_forward *forward)
{
  GString *list = g_string_new (NULL);

  for (guint i = 0; i < MIN (forward->causes.parts->len, LOGGED_PARTS_MAX); i++)
    {
      char text[KCP_FINGERPRINT_TEXT_SIZE];

      g_string_append_printf (
          list, "%s%s", i > 0 ? " " : "",
          kcp_fingerprint_text (g_array_index (forward->causes.parts, uint64_t, i),
                                text));
    }
  return g_string_free (list, FALSE);
}

static struct curl_slist *
make_headers (const struct kcp_forward *forward)
{
  const struct kcp_choice *choice = &forward->choice;
  const struct kcp_team_access *team = choice->team;
  struct kcp_request_head head = {
    .server_id = choice->server->entry.id,
    .model = forward->inbound->model,
    .weights = choice->weights,
    .team = team != NULL ? team->name : NULL,
    .remaining_ms = kcp_forward_remaining_ms (forward),
    .priority = kcp_queue_priority (choice->route->priority,
                                    team != NULL ? team->priority : KCP_PRIORITY_NONE,
                                    kcp_forward_is_resumed (forward)),
    .cache_space = choice->cache_space,
    .fetch_from = choice->fetch_from,
    .save_to = choice->save_to,
    .resume_after = kcp_forward_last_event (forward),
  };
  struct curl_slist *list = NULL;

  if (forward->inbound->model == NULL)
    head.priority = KCP_PRIORITY_NONE;
  for (const struct curl_slist *line = forward->inbound->forwarded; line != NULL;
       line = line->next)
    list = curl_slist_append (list, line->data);
  forward->gateway->dialect->write_request_head (&list, &head);
  return list;
}

/* Returns the milliseconds until the deadline of the request; 0 if it has passed. */
int64_t
kcp_forward_remaining_ms (const struct kcp_forward *forward)
{
  int64_t remaining_ns = forward->deadline_ns - kcp_loop_now (forward->gateway->loop);

  return MAX (remaining_ns / KCP_NS_PER_MS, 0);
}

/* Drops the header lines of an interim answer. */
static void
on_head_began (void *user)
{
  drop_head (user);
}

/* Forgets the header lines so far. Nothing may be taken from a head that never ended. */
static void
drop_head (struct kcp_forward *forward)
{
  struct kcp_attempt *attempt = &forward->attempt;

  g_ptr_array_set_size (attempt->headers, 0);
  kcp_answer_head_clear (&attempt->head);
  attempt->head = (struct kcp_answer_head){ 0 };
  attempt->hop_end = KCP_HOP_UNKNOWN;
}

static void
on_header (void *user, struct kcp_str name, struct kcp_str value)
{
  struct kcp_forward *forward = user;
  struct kcp_attempt *attempt = &forward->attempt;

  g_ptr_array_add (attempt->headers, kcp_str_dup (name));
  g_ptr_array_add (attempt->headers, kcp_str_dup (value));
  forward->gateway->dialect->read_answer_header (&attempt->head, name, value);
  if (attempt->passed_on)
    kcp_hop_read_answer_line (name, value, &attempt->hop_end, &attempt->software);
}

/* Applies what the head says of the server itself. A status that also another server
   returns, to which the address was reassigned, is ignored. */
static void
on_head_ended (void *user)
{
  struct kcp_forward *forward = user;
  struct kcp_attempt *attempt = &forward->attempt;
  long status = kcp_http_status (attempt->call);
  struct kcp_gateway *gateway = forward->gateway;

  if (status >= MHD_HTTP_OK
      && g_strcmp0 (attempt->head.request_id, forward->inbound->id) != 0)
    kcp_http_forbid_reuse (attempt->call);
  if (attempt->passed_on)
    return;
  kcp_reach_watch_on_contact (gateway->reach_watch, attempt->server);
  if (gateway->dialect->status_is_not_run (status))
    return;
  if (tells_of_limit (forward, status))
    kcp_server_notices_hear_limit (gateway, attempt->server, &attempt->head,
                                   attempt->sent_ns);
  if (attempt->head.server_leaving)
    kcp_server_notices_hear_leaving (gateway, attempt->server);
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    kcp_server_notices_hear_backoff (gateway, attempt->server,
                                     attempt->head.retry_after_ms);
}

/* Returns true if the head of an answer to this request names the server's limit, or
   shows that there is none: a success without one. An error may come from elsewhere than
   what names the limit. */
static bool
tells_of_limit (const struct kcp_forward *forward, long status)
{
  const struct kcp_answer_head *head = &forward->attempt.head;
  bool success = status >= MHD_HTTP_OK && status < MHD_HTTP_MULTIPLE_CHOICES;

  return g_strcmp0 (head->request_id, forward->inbound->id) == 0
         && (head->has_limit || (success && head->signed_));
}

static bool
on_data (void *user, struct kcp_str bytes)
{
  struct kcp_forward *forward = user;

  record_first_byte (forward);
  return kcp_forward_take_bytes (forward, bytes);
}

/* Records the time of the first byte of the answer. The prefill of the prompt has ended
   by then, so its tokens no longer count as pending at the server. */
static void
record_first_byte (struct kcp_forward *forward)
{
  struct kcp_attempt *attempt = &forward->attempt;

  if (attempt->first_byte_ns != 0)
    return;
  attempt->first_byte_ns = kcp_loop_now (forward->gateway->loop);
  record_speed (forward);
  attempt->server->prefill_tokens_pending -= attempt->prefill_tokens_pending;
  attempt->prefill_tokens_pending = 0;
  kcp_histogram_add (KCP_HISTOGRAM_FIRST_BYTE,
                     attempt->first_byte_ns - forward->arrived_ns);
}

/* Records the time to the first byte of a stream as a sample of the server's speed. */
static void
record_speed (const struct kcp_forward *forward)
{
  const struct kcp_attempt *attempt = &forward->attempt;

  if (!attempt->found_idle
      || !kcp_forward_is_streamed (forward, kcp_http_status (attempt->call)))
    return;
  kcp_mesh_speeds_record (forward->gateway, attempt->server,
                          attempt->prefill_tokens_pending,
                          (attempt->first_byte_ns - attempt->sent_ns) / KCP_NS_PER_US);
}

static void
on_done (void *user, const struct kcp_http_result *http_result)
{
  struct kcp_forward *forward = user;
  struct kcp_attempt *attempt = &forward->attempt;
  struct kcp_http_result result = check_stream_end (forward, *http_result);

  attempt->call = NULL;
  if (result.status == 0)
    drop_head (forward);
  attempt->framing = result.framing;
  attempt->own_port = result.own_port;
  attempt->reused = result.reused;
  attempt->partial_event_len = forward->framer.pending->len;
  if (attempt->passed_on)
    {
      kcp_forward_conclude_hop (forward, &result);
      return;
    }
  if (forward->inbound->model != NULL)
    learn_version (forward, result.status);
  if (!kcp_forward_check_end (forward, &result))
    kcp_forward_conclude (forward, &result);
}

/* Learns from an answer which weights the server has. It began to write it at some moment
   since the request was sent. One that turns away a request that names the server and its
   version shows that the server may have another one. */
static void
learn_version (const struct kcp_forward *forward, long status)
{
  const struct kcp_attempt *attempt = &forward->attempt;
  const struct kcp_gateway *gateway = forward->gateway;
  int64_t now = kcp_loop_now (gateway->loop);
  int64_t begun_ns = attempt->first_byte_ns != 0 ? attempt->first_byte_ns : now;

  if (kcp_forward_answer_matches (forward))
    kcp_server_show_version (attempt->server, forward->inbound->model,
                             &(struct kcp_weights_evidence){
                                 .version = attempt->head.weights,
                                 .from_ns = attempt->sent_ns,
                                 .until_ns = begun_ns,
                             });
  if (gateway->dialect->status_is_not_run (status))
    kcp_version_checks_on_turned_away (gateway->version_checks, attempt->server);
}

/* Returns the result of a call; as interrupted if HTTP took the answer for complete but
   its stream has no end. */
static struct kcp_http_result
check_stream_end (const struct kcp_forward *forward, struct kcp_http_result result)
{
  if (result.end != KCP_HTTP_COMPLETE
      || !kcp_forward_is_streamed (forward, result.status))
    return result;
  if (kcp_event_framer_is_within_event (&forward->framer))
    {
      result.end = KCP_HTTP_INTERRUPTED;
      result.reason = "the stream ended within an event";
    }
  else if (lacks_events (forward, &result))
    {
      result.end = KCP_HTTP_INTERRUPTED;
      result.reason = "the connection ended before the first event";
    }
  return result;
}

/* Returns true if a stream that ends with its connection has no event of this attempt.
   One that the caller resumes, and that has not begun, may have none: the caller may have
   them all. */
static bool
lacks_events (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  return result->framing == KCP_HTTP_FRAMING_CLOSE
         && forward->framer.events == forward->attempt.events_before
         && (forward->answer->begun || forward->inbound->resume_after == NULL)
         && strcmp (forward->inbound->method, MHD_HTTP_METHOD_HEAD) != 0;
}

/* Ends the attempt, if there is one. Closes its connection if the answer is
   incomplete. */
void
kcp_forward_end_attempt (struct kcp_forward *forward)
{
  struct kcp_attempt *attempt = &forward->attempt;

  if (attempt->server == NULL)
    return;
  if (attempt->call != NULL)
    {
      if (!attempt->passed_on)
        kcp_forward_watch_server (forward, KCP_CRASH_WATCH_PASSIVE);
      kcp_http_cancel (attempt->call);
    }
  kcp_end_check_cancel (attempt->end_check);
  attempt->server->in_flight--;
  attempt->server->prefill_tokens_pending -= attempt->prefill_tokens_pending;
  clear_attempt (attempt);
}

static void
clear_attempt (struct kcp_attempt *attempt)
{
  kcp_server_unref (attempt->server);
  kcp_answer_head_clear (&attempt->head);
  g_ptr_array_unref (attempt->headers);
  g_string_free (attempt->buffered_body, TRUE);
  memset (attempt, 0, sizeof *attempt);
}
