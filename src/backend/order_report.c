#include "backend/order_report.h"

#include <string.h>

#include "logstore/http_call.h"

#define HTTP_STATUS_OK 200

static void copy_text (char *out, size_t size, json_t *object, const char *key);

/* Queries the engine at a URL. Blocks for up to timeout_ms milliseconds. If the engine
   does not respond with status 200, reachable is false in the result. */
struct kcp_order_report
kcp_order_report_fetch (const char *url, int64_t timeout_ms)
{
  g_autofree char *load_url = g_strconcat (url, "/load", NULL);
  struct kcp_http_call call = {
    .url = load_url,
    .timeout_ms = (long)timeout_ms,
  };
  struct kcp_http_answer answer;
  struct kcp_order_report report = { 0 };

  if (!kcp_http_call_run (&call, &answer, NULL))
    return report;
  report.reachable = answer.status == HTTP_STATUS_OK;
  report.loading = json_is_true (json_object_get (answer.body, "loading"));
  copy_text (report.weights, sizeof report.weights, answer.body, "weights");
  copy_text (report.role, sizeof report.role, answer.body, "role");
  kcp_http_answer_clear (&answer);
  return report;
}

/* Returns true if an engine has finished loading and reports the desired weights and
   role. */
bool
kcp_order_report_meets (const struct kcp_order_report *report,
                        const struct kcp_order_desired *desired)
{
  return report->reachable && !report->loading
         && (desired->weights == NULL || strcmp (desired->weights, report->weights) == 0)
         && (desired->role == NULL || strcmp (desired->role, report->role) == 0);
}

static void
copy_text (char *out, size_t size, json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  g_strlcpy (out, text != NULL ? text : "", size);
}
