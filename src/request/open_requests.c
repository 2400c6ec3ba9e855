#include "request/open_requests.h"

#include "request/request_end.h"
#include "request/request_private.h"

#define STEP          "shutdown"
#define RETRY_AFTER_S 1

/* The lock is taken after the locks of requests. */
struct kcp_open_requests
{
  pthread_mutex_t lock;
  GHashTable *requests; /* a set; each is referenced elsewhere until it ends */
};

static GPtrArray *ref_all (struct kcp_open_requests *open);
static void end_request (struct kcp_request *request);

/* Returns an empty set. */
struct kcp_open_requests *
kcp_open_requests_new (void)
{
  struct kcp_open_requests *open = g_new0 (struct kcp_open_requests, 1);

  pthread_mutex_init (&open->lock, NULL);
  open->requests = g_hash_table_new (NULL, NULL);
  return open;
}

/* Frees the set; NULL is allowed. */
void
kcp_open_requests_free (struct kcp_open_requests *open)
{
  if (open == NULL)
    return;
  g_hash_table_unref (open->requests);
  pthread_mutex_destroy (&open->lock);
  g_free (open);
}

/* Adds a new request. */
void
kcp_open_requests_add (struct kcp_open_requests *open, struct kcp_request *request)
{
  pthread_mutex_lock (&open->lock);
  g_hash_table_add (open->requests, request);
  pthread_mutex_unlock (&open->lock);
}

/* Removes a request that has ended. */
void
kcp_open_requests_remove (struct kcp_open_requests *open, struct kcp_request *request)
{
  pthread_mutex_lock (&open->lock);
  g_hash_table_remove (open->requests, request);
  pthread_mutex_unlock (&open->lock);
}

/* Returns the number of requests that have not ended. */
size_t
kcp_open_requests_count (struct kcp_open_requests *open)
{
  size_t count;

  pthread_mutex_lock (&open->lock);
  count = g_hash_table_size (open->requests);
  pthread_mutex_unlock (&open->lock);
  return count;
}

/* Ends every request with an error that states whether its work may have run. */
void
kcp_open_requests_end_all (struct kcp_open_requests *open)
{
  g_autoptr (GPtrArray) requests = ref_all (open);

  for (guint i = 0; i < requests->len; i++)
    end_request (g_ptr_array_index (requests, i));
}

static GPtrArray *
ref_all (struct kcp_open_requests *open)
{
  GPtrArray *requests
      = g_ptr_array_new_with_free_func ((GDestroyNotify)kcp_request_unref);
  GHashTableIter iter;
  gpointer request;

  pthread_mutex_lock (&open->lock);
  g_hash_table_iter_init (&iter, open->requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    g_ptr_array_add (requests, kcp_request_ref (request));
  pthread_mutex_unlock (&open->lock);
  return requests;
}

static void
end_request (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_SHUTDOWN, STEP, NULL,
                 "this VM ended before the request did");
  error.retry_after_s = RETRY_AFTER_S;
  pthread_mutex_lock (&request->lock);
  if (request->attempts > 0 || request->kind == KCP_REQUEST_SERVICE)
    error.execution = KCP_EXECUTION_UNKNOWN;
  kcp_request_fail (request, &error);
  pthread_mutex_unlock (&request->lock);
}
