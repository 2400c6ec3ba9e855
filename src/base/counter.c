#include "base/counter.h"

#include <ck_pr.h>

struct counter_description
{
  const char *name;
  const char *help;
};

static const struct counter_description descriptions[KCP_COUNTER_COUNT] = {
  [KCP_COUNT_REQUESTS] = { "requests", "Requests accepted from callers" },
  [KCP_COUNT_REFUSED] = { "refused", "Requests refused before they ran" },
  [KCP_COUNT_COMPLETED] = { "completed", "Requests answered whole" },
  [KCP_COUNT_FAILED] = { "failed", "Requests that ended in an error after dispatch" },
  [KCP_COUNT_CANCELLED] = { "cancelled", "Requests whose caller went away" },
  [KCP_COUNT_ATTEMPTS] = { "attempts", "Dispatches to backend servers" },
  [KCP_COUNT_RETRIES] = { "retries", "Dispatches after the first of a request" },
  [KCP_COUNT_RESUMED] = { "resumed", "Streams resumed after a break" },
  [KCP_COUNT_ANSWERS_DROPPED]
  = { "answers_dropped", "Answers that belonged to no attempt" },
  [KCP_COUNT_PROMPT_TOKENS] = { "prompt_tokens", "Prompt tokens of answered requests" },
  [KCP_COUNT_CACHED_TOKENS] = { "cached_tokens", "Prompt tokens found in engine caches" },
  [KCP_COUNT_BOOKING_CLAIMS] = { "booking_claims", "Claims appended to the log" },
  [KCP_COUNT_BOOKING_REPEATS]
  = { "booking_repeats", "Repeats answered by a recorded outcome" },
  [KCP_COUNT_LOG_APPENDS] = { "log_appends", "Appends to the platform's log" },
  [KCP_COUNT_LOG_ERRORS] = { "log_errors", "Failed calls to the platform's log" },
  [KCP_COUNT_CONFIG_APPLIED] = { "config_applied", "Configuration records applied" },
  [KCP_COUNT_CACHE_EVENTS] = { "cache_events", "Cache events read from engines" },
  [KCP_COUNT_CACHE_GAPS] = { "cache_gaps", "Gaps seen in cache event streams" },
  [KCP_COUNT_RPC_SENT] = { "rpc_sent", "Datagrams sent to other VMs" },
  [KCP_COUNT_RPC_RECEIVED] = { "rpc_received", "Datagrams accepted from other VMs" },
  [KCP_COUNT_RPC_REJECTED]
  = { "rpc_rejected", "Datagrams dropped as malformed or unauthentic" },
  [KCP_COUNT_BOOKING_CHECKPOINTS]
  = { "booking_checkpoints", "Checkpoints of booking streams begun" },
  [KCP_COUNT_BOOKING_LOG_ROLLBACKS]
  = { "booking_log_went_back", "Times a booking stream had lost records that were read" },
  [KCP_COUNT_BOOKING_OUTCOMES_LOST]
  = { "booking_outcomes_lost", "Outcomes given up after appends failed for too long" },
  [KCP_COUNT_CONFIG_CHECKPOINTS]
  = { "config_checkpoints", "Checkpoints appended to the configuration stream" },
  [KCP_COUNT_CONFIG_LOG_RESTARTS]
  = { "config_log_restarts", "Times the configuration stream was read anew" },
  [KCP_COUNT_SERVER_CRASHES]
  = { "server_crashes", "Crashes of backend servers that requests were in flight at" },
  [KCP_COUNT_BLOCKED]
  = { "blocked", "Requests ended because copies of them crashed servers" },
  [KCP_COUNT_CUT_HEADS]
  = { "cut_heads", "Answers whose connection ended within the head" },
  [KCP_COUNT_ENDS_CHECKED]
  = { "ends_checked", "Answers without a length whose server was asked after the end" },
  [KCP_COUNT_ENDS_NOT_BELIEVED]
  = { "ends_not_believed", "Those whose server had not outlived the answer" },
  [KCP_COUNT_ANSWERS_TOO_LARGE]
  = { "answers_too_large", "Answers ended because they exceed a limit in bytes" },
  [KCP_COUNT_SERVER_BACKOFFS]
  = { "server_backoffs", "Times a server asked for no requests for some time" },
  [KCP_COUNT_STORE_ERAS]
  = { "store_eras", "Times the platform's store came back from an older copy" },
  [KCP_COUNT_ENTRIES_OLDER]
  = { "older_entries",
      "Entries of servers, and removals, not used as newer ones are known" },
  [KCP_COUNT_SERVERS_HELD]
  = { "servers_held", "Servers not used at once when their entries returned" },
  [KCP_COUNT_VERSION_CHECKS]
  = { "version_checks", "Times a server was asked for the versions of its weights" },
  [KCP_COUNT_VERSIONS_FELL]
  = { "versions_fell", "Times a server was found with older weights than before" },
  [KCP_COUNT_SERVER_LIMITS]
  = { "server_limits", "Times a server named a limit of requests a second" },
  [KCP_COUNT_UNCLEAN_CONNECTIONS]
  = { "unclean_connections", "Kept connections not used again as they had unread bytes" },
  [KCP_COUNT_REPEATS_PREVENTED]
  = { "repeats_prevented", "Requests that the HTTP library was kept from sending twice" },
  [KCP_COUNT_STREAM_RECORDS]
  = { "stream_records", "Records written of which software version began which streams" },
  [KCP_COUNT_RESUMES_REFUSED]
  = { "resumes_refused",
      "Resumed streams refused as their software version is not known" },
  [KCP_COUNT_PASSED_ON]
  = { "passed_on", "Requests passed on to a VM that reaches a server" },
  [KCP_COUNT_TAKEN_OVER]
  = { "taken_over", "Requests that another VM passed on to this one" },
  [KCP_COUNT_OVER_QUOTA]
  = { "over_quota", "Requests refused as their team exceeds its quota" },
  [KCP_COUNT_BODIES_DROPPED]
  = { "bodies_dropped", "Requests refused as all bodies together were too large" },
  [KCP_COUNT_CONNECTIONS_EVICTED]
  = { "connections_evicted", "Callers' connections closed to make room for others" },
  [KCP_COUNT_STREAMS_PAUSED]
  = { "streams_paused", "Times a server was not read because its caller did not read" },
};

static uint64_t values[KCP_COUNTER_COUNT];

/* Adds amount to a counter. Thread-safe. */
void
kcp_counter_add (enum kcp_counter counter, uint64_t amount)
{
  ck_pr_add_64 (&values[counter], amount);
}

/* Returns the value of a counter. Thread-safe. */
uint64_t
kcp_counter_get (enum kcp_counter counter)
{
  return ck_pr_load_64 (&values[counter]);
}

/* Appends all counters to out in the Prometheus text exposition format. */
void
kcp_counter_print (GString *out)
{
  for (int i = 0; i < KCP_COUNTER_COUNT; i++)
    {
      const struct counter_description *description = &descriptions[i];

      g_string_append_printf (out, "# HELP kingcuppoint_%s_total %s\n", description->name,
                              description->help);
      g_string_append_printf (out, "# TYPE kingcuppoint_%s_total counter\n",
                              description->name);
      g_string_append_printf (out, "kingcuppoint_%s_total %" G_GUINT64_FORMAT "\n",
                              description->name, kcp_counter_get (i));
    }
}
