#include "backend/list_poller.h"

#include <ck_pr.h>
#include <pthread.h>

#include "base/logger.h"

struct kcp_list_poller
{
  struct kcp_registry *registry;
  char *url;
  int64_t timeout_ms;
  int64_t poll_ms;
  kcp_list_observer *observer;
  void *user;
  pthread_t thread;
  int stopping;
  int has_list;
  struct kcp_vm_list list; /* accessed only by the poller's thread */
};

static void *run (void *user);
static void poll_once (struct kcp_list_poller *poller);

/* Starts a thread that fetches the VM list from a URL and waits poll_ms milliseconds
   between two fetches. observer may be NULL. */
struct kcp_list_poller *
kcp_list_poller_start (struct kcp_registry *registry, const char *url, int64_t timeout_ms,
                       int64_t poll_ms, kcp_list_observer *observer, void *user)
{
  struct kcp_list_poller *poller = g_new0 (struct kcp_list_poller, 1);

  poller->registry = registry;
  poller->url = g_strdup (url);
  poller->timeout_ms = timeout_ms;
  poller->poll_ms = poll_ms;
  poller->observer = observer;
  poller->user = user;
  pthread_create (&poller->thread, NULL, run, poller);
  return poller;
}

/* Stops polling and frees the poller. NULL is allowed. */
void
kcp_list_poller_stop (struct kcp_list_poller *poller)
{
  if (poller == NULL)
    return;
  ck_pr_store_int (&poller->stopping, 1);
  pthread_join (poller->thread, NULL);
  kcp_vm_list_clear (&poller->list);
  g_free (poller->url);
  g_free (poller);
}

/* Returns true if a list has been fetched since the start. */
bool
kcp_list_poller_has_list (struct kcp_list_poller *poller)
{
  return ck_pr_load_int (&poller->has_list) != 0;
}

static void *
run (void *user)
{
  struct kcp_list_poller *poller = user;

  while (!ck_pr_load_int (&poller->stopping))
    {
      poll_once (poller);
      g_usleep ((gulong)(poller->poll_ms * G_TIME_SPAN_MILLISECOND));
    }
  return NULL;
}

static void
poll_once (struct kcp_list_poller *poller)
{
  struct kcp_error error;

  if (!kcp_vm_list_fetch (poller->url, poller->timeout_ms, &poller->list, &error))
    {
      kcp_logger_error ("list_read_failed", NULL, &error);
      return;
    }
  if (poller->list.members == NULL)
    return;
  kcp_registry_apply_list (poller->registry, &poller->list);
  if (poller->observer != NULL)
    poller->observer (poller->user, &poller->list);
  ck_pr_store_int (&poller->has_list, 1);
}
