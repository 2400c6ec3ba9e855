#include "base/histogram.h"

#include <ck_pr.h>

#include "base/clock.h"

/* The upper bounds of the buckets are 1 ms times powers of two, up to 16 s. */
#define BUCKET_COUNT   15
#define FIRST_BOUND_US 1000

struct histogram_description
{
  const char *name;
  const char *help;
};

struct histogram_values
{
  uint64_t buckets[BUCKET_COUNT + 1]; /* the last one is unbounded */
  uint64_t sum_us;
};

static const struct histogram_description descriptions[KCP_HISTOGRAM_COUNT] = {
  [KCP_HISTOGRAM_REQUEST] = { "request_seconds", "Arrival to final answer" },
  [KCP_HISTOGRAM_FIRST_BYTE]
  = { "first_byte_seconds", "Arrival to the first byte of a server's answer" },
  [KCP_HISTOGRAM_STORE] = { "store_seconds", "Calls to the platform's store" },
  [KCP_HISTOGRAM_ORDER] = { "order_seconds", "Orders to servers" },
  [KCP_HISTOGRAM_LOAD_AGE]
  = { "load_age_seconds", "Age of the oldest load of other VMs that counts" },
};

static struct histogram_values values[KCP_HISTOGRAM_COUNT];

static void
print_histogram (GString *out, const struct histogram_description *description,
                 const struct histogram_values *value);

/* Adds a duration of ns nanoseconds; a negative one counts as zero. Thread-safe. */
void
kcp_histogram_add (enum kcp_histogram histogram, int64_t ns)
{
  struct histogram_values *value = &values[histogram];
  uint64_t us = ns > 0 ? (uint64_t)(ns / KCP_NS_PER_US) : 0;
  unsigned bucket = 0;

  while (bucket < BUCKET_COUNT && us > ((uint64_t)FIRST_BOUND_US << bucket))
    bucket++;
  ck_pr_add_64 (&value->buckets[bucket], 1);
  ck_pr_add_64 (&value->sum_us, us);
}

/* Appends all histograms to out in the Prometheus text exposition format. */
void
kcp_histogram_print (GString *out)
{
  for (int i = 0; i < KCP_HISTOGRAM_COUNT; i++)
    print_histogram (out, &descriptions[i], &values[i]);
}

static void
print_histogram (GString *out, const struct histogram_description *description,
                 const struct histogram_values *value)
{
  uint64_t count = 0;

  g_string_append_printf (out, "# HELP kingcuppoint_%s %s\n", description->name,
                          description->help);
  g_string_append_printf (out, "# TYPE kingcuppoint_%s histogram\n", description->name);
  for (unsigned i = 0; i < BUCKET_COUNT; i++)
    {
      count += ck_pr_load_64 (&value->buckets[i]);
      g_string_append_printf (
          out, "kingcuppoint_%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
          description->name, (double)(FIRST_BOUND_US << i) / 1e6, count);
    }
  count += ck_pr_load_64 (&value->buckets[BUCKET_COUNT]);
  g_string_append_printf (out,
                          "kingcuppoint_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          description->name, count);
  g_string_append_printf (out, "kingcuppoint_%s_sum %g\n", description->name,
                          (double)ck_pr_load_64 (&value->sum_us) / 1e6);
  g_string_append_printf (out, "kingcuppoint_%s_count %" G_GUINT64_FORMAT "\n",
                          description->name, count);
}
