/* Measures requests through one entry VM: the latency that the VM adds, the throughput,
   the memory with many concurrent streams, and the cost of polling engine loads. */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/process_memory.h"

#define LATENCY_CALLS          2000
#define THROUGHPUT_CALLS       20000
#define THROUGHPUT_CONCURRENCY 32 /* concurrent calls */
#define STREAMS                1000
#define STREAM_HOLD_MS         3000
#define OVERHEAD_TARGET_US     1000
#define MEMORY_TARGET_KB       (64 * 1024)
#define POLLED_ENGINES         20
#define POLLING_S              3
#define POLLS_PER_S            20 /* load polls per engine, from the cluster's settings */
#define US_PER_S               1000000.0

static const char short_body[] = "{\"model\":\"" CLUSTER_MODEL
                                 "\",\"prompt\":\"Which road to Ayr?\",\"max_tokens\":1,"
                                 "\"stream\":true}";
static const char stream_body[]
    = "{\"model\":\"" CLUSTER_MODEL
      "\",\"prompt\":\"Which road to Ayr?\",\"max_tokens\":40,"
      "\"stream\":true}";

static struct cluster *start_cluster (void);
static void stop_cluster (struct cluster *cluster);
static CURL *make_call (int port, struct curl_slist *headers, const char *body);
static struct curl_slist *make_headers (void);
static size_t discard (char *data, size_t size, size_t count, void *user);
static int64_t run_once (CURL *curl);
static int64_t percentile (GArray *values, unsigned percent);
static gint compare (gconstpointer a, gconstpointer b);
static void measure_latency (struct cluster *cluster);
static void measure_throughput (struct cluster *cluster);
static void measure_streams (struct cluster *cluster);
static void measure_polling (struct cluster *cluster);
static double idle_cpu_seconds (const struct process *vm);
static double cpu_seconds (const struct process *process);

/* Prints the results. Exits with status 1 only if a call failed. */
int
main (void)
{
  struct cluster *cluster = start_cluster ();

  measure_latency (cluster);
  measure_throughput (cluster);
  measure_streams (cluster);
  measure_polling (cluster);
  stop_cluster (cluster);
  return EXIT_SUCCESS;
}

static struct cluster *
start_cluster (void)
{
  struct cluster *cluster = cluster_new ("bench-path");

  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", "[backends]\nconcurrency=4000\n");
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  return cluster;
}

static void
stop_cluster (struct cluster *cluster)
{
  process_signal (cluster_vm (cluster, 0), SIGTERM);
  (void)process_wait (cluster_vm (cluster, 0));
  cluster_free (cluster);
}

/* Alternates calls to the stand-in engine and to the VM, each on its own persistent
   connection. */
static void
measure_latency (struct cluster *cluster)
{
  const struct process *engine = g_ptr_array_index (cluster->engines, 0);
  struct curl_slist *headers = make_headers ();
  CURL *direct = make_call (engine->port, headers, short_body);
  CURL *routed = make_call (cluster_vm (cluster, 0)->port, headers, short_body);
  g_autoptr (GArray) direct_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_autoptr (GArray) routed_us = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (int i = 0; i < LATENCY_CALLS; i++)
    {
      int64_t us = run_once (direct);

      g_array_append_val (direct_us, us);
      us = run_once (routed);
      g_array_append_val (routed_us, us);
    }
  (void)printf ("latency: %d calls each; direct median %" G_GINT64_FORMAT
                " us, 99%% %" G_GINT64_FORMAT " us; through a VM median %" G_GINT64_FORMAT
                " us, 99%% %" G_GINT64_FORMAT " us; added median %" G_GINT64_FORMAT
                " us (target %d us)\n",
                LATENCY_CALLS, percentile (direct_us, 50), percentile (direct_us, 99),
                percentile (routed_us, 50), percentile (routed_us, 99),
                percentile (routed_us, 50) - percentile (direct_us, 50),
                OVERHEAD_TARGET_US);
  curl_easy_cleanup (direct);
  curl_easy_cleanup (routed);
  curl_slist_free_all (headers);
}

static void
measure_throughput (struct cluster *cluster)
{
  struct process *vm = cluster_vm (cluster, 0);
  struct curl_slist *headers = make_headers ();
  CURLM *multi = curl_multi_init ();
  double cpu_before = cpu_seconds (vm);
  int64_t start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  int unstarted = THROUGHPUT_CALLS - THROUGHPUT_CONCURRENCY;
  int done = 0;
  double seconds;

  for (int i = 0; i < THROUGHPUT_CONCURRENCY; i++)
    curl_multi_add_handle (multi, make_call (vm->port, headers, short_body));
  while (done < THROUGHPUT_CALLS)
    {
      CURLMsg *message;
      int running;
      int queued;

      curl_multi_perform (multi, &running);
      while ((message = curl_multi_info_read (multi, &queued)) != NULL)
        {
          CURL *curl = message->easy_handle;

          if (message->data.result != CURLE_OK)
            exit (EXIT_FAILURE);
          done++;
          curl_multi_remove_handle (multi, curl);
          if (unstarted-- > 0)
            curl_multi_add_handle (multi, curl);
          else
            curl_easy_cleanup (curl);
        }
      curl_multi_poll (multi, NULL, 0, 100, NULL);
    }
  seconds
      = (double)(kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns) / KCP_NS_PER_S;
  (void)printf (
      "throughput: %d calls, %d at a time: %.0f requests/s, %.0f us of the VM's "
      "processor per request\n",
      THROUGHPUT_CALLS, THROUGHPUT_CONCURRENCY, THROUGHPUT_CALLS / seconds,
      (cpu_seconds (vm) - cpu_before) * US_PER_S / THROUGHPUT_CALLS);
  curl_multi_cleanup (multi);
  curl_slist_free_all (headers);
}

/* Runs STREAMS concurrent streams and reads the VM's memory after STREAM_HOLD_MS, while
   all of them are open. */
static void
measure_streams (struct cluster *cluster)
{
  static char *const options[] = { "--token-ms", "100", NULL };
  struct process *vm = cluster_vm (cluster, 0);
  struct curl_slist *headers = make_headers ();
  CURLM *multi = curl_multi_init ();
  CURL *calls[STREAMS];
  long before_kb;
  long streaming_kb = 0;
  int running = STREAMS;
  int succeeded = 0;
  int64_t start_ns;
  double cpu_before;
  double cpu;

  process_kill (g_ptr_array_index (cluster->engines, 0));
  cluster_set_member (cluster, "engine", "engine-1", 0, "dc1", NULL);
  g_ptr_array_set_size (cluster->engines, 0);
  cluster_add_engine (cluster, "engine-2", "dc1", options);
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  before_kb = process_memory_kb (vm->pid, PROCESS_MEMORY_RESIDENT);
  cpu_before = cpu_seconds (vm);
  for (int i = 0; i < STREAMS; i++)
    {
      calls[i] = make_call (vm->port, headers, stream_body);
      curl_multi_add_handle (multi, calls[i]);
    }
  start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  while (running > 0)
    {
      curl_multi_perform (multi, &running);
      if (streaming_kb == 0
          && kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns
                 > STREAM_HOLD_MS * KCP_NS_PER_MS)
        streaming_kb = process_memory_kb (vm->pid, PROCESS_MEMORY_RESIDENT);
      curl_multi_poll (multi, NULL, 0, 100, NULL);
    }
  cpu = cpu_seconds (vm) - cpu_before;
  for (int i = 0; i < STREAMS; i++)
    {
      long status = 0;

      curl_easy_getinfo (calls[i], CURLINFO_RESPONSE_CODE, &status);
      succeeded += status == 200;
      curl_multi_remove_handle (multi, calls[i]);
      curl_easy_cleanup (calls[i]);
    }
  (void)printf (
      "streams: %d of %d answered 200; VM memory %ld KB before, %ld KB with all open, "
      "peak %ld KB (target %d KB); %.1f us of the VM's processor per token\n",
      succeeded, STREAMS, before_kb, streaming_kb,
      process_memory_kb (vm->pid, PROCESS_MEMORY_PEAK), MEMORY_TARGET_KB,
      cpu * US_PER_S / (STREAMS * 40));
  curl_multi_cleanup (multi);
  curl_slist_free_all (headers);
}

/* Measures the processor time of a VM without requests and the cost of a load report,
   from the difference that POLLED_ENGINES more engines make. The cluster's settings poll
   loads every 50 ms. */
static void
measure_polling (struct cluster *cluster)
{
  struct process *vm = cluster_vm (cluster, 0);
  double before = idle_cpu_seconds (vm);
  double after;

  for (int i = 0; i < POLLED_ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%d", i + 10);

      cluster_add_engine (cluster, name, "dc1", NULL);
    }
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  after = idle_cpu_seconds (vm);
  (void)printf (
      "load polling: %.2f%% of a core with 1 engine, %.2f%% with %d; %.0f us per "
      "load report\n",
      before * 100 / POLLING_S, after * 100 / POLLING_S, POLLED_ENGINES + 1,
      (after - before) * US_PER_S / POLLING_S / POLLED_ENGINES / POLLS_PER_S);
}

static double
idle_cpu_seconds (const struct process *vm)
{
  double before = cpu_seconds (vm);

  g_usleep (POLLING_S * G_USEC_PER_SEC);
  return cpu_seconds (vm) - before;
}

static struct curl_slist *
make_headers (void)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  headers = curl_slist_append (headers, "Authorization: Bearer " CLUSTER_TEAM_KEY);
  headers = curl_slist_append (headers, "Kingcuppoint-Profile: review");
  return curl_slist_append (headers, "Content-Type: application/json");
}

static CURL *
make_call (int port, struct curl_slist *headers, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/v1/completions", port);
  CURL *curl = curl_easy_init ();

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  return curl;
}

static size_t
discard (char *data, size_t size, size_t count, void *user)
{
  (void)data;
  (void)user;
  return size * count;
}

static int64_t
run_once (CURL *curl)
{
  curl_off_t us = 0;

  if (curl_easy_perform (curl) != CURLE_OK)
    exit (EXIT_FAILURE);
  curl_easy_getinfo (curl, CURLINFO_TOTAL_TIME_T, &us);
  return us;
}

static int64_t
percentile (GArray *values, unsigned percent)
{
  g_array_sort (values, compare);
  return g_array_index (values, int64_t, (values->len - 1) * percent / 100);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Returns the processor time in seconds that all threads of the process have used. */
static double
cpu_seconds (const struct process *process)
{
  g_autofree char *folder = g_strdup_printf ("/proc/%d/task", process->pid);
  g_autoptr (GDir) tasks = g_dir_open (folder, 0, NULL);
  const char *name;
  double ns = 0;

  while (tasks != NULL && (name = g_dir_read_name (tasks)) != NULL)
    {
      g_autofree char *task = g_strdup_printf ("%s/%s/schedstat", folder, name);
      g_autofree char *text = NULL;

      if (g_file_get_contents (task, &text, NULL, NULL))
        ns += g_ascii_strtod (text, NULL);
    }
  return ns / KCP_NS_PER_S;
}
