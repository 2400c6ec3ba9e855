#include "tests/harness/vm_group.h"

#include <check.h>
#include <string.h>

#define OTHERS    (VM_GROUP_SIZE - 1)
#define TRIES_MAX 3

static const char *const data_centers[OTHERS] = { "z", "y", "y" };

static struct route_vm others[OTHERS];

/* Starts the platform with its servers, and the VMs, and waits until these have learned
   of each other. */
void
vm_group_set_up (unsigned servers)
{
  route_vm_set_up_servers (servers);
  for (unsigned i = 0; i < OTHERS; i++)
    route_vm_add (&others[i], data_centers[i]);
  vm_group_meet ();
}

/* Kills the VMs and stops the platform. */
void
vm_group_tear_down (void)
{
  for (unsigned i = 0; i < OTHERS; i++)
    route_vm_remove (&others[i]);
  route_vm_tear_down ();
}

/* Returns VM number i, counted over all VMs again and again. */
struct route_vm *
vm_group_at (unsigned i)
{
  unsigned index = i % VM_GROUP_SIZE;

  return index == 0 ? &route_vm : &others[index - 1];
}

/* Waits until VMs that have just started have learned of the others. */
void
vm_group_meet (void)
{
  g_usleep (VM_GROUP_MEET_MS * G_TIME_SPAN_MILLISECOND);
}

/* Kills all VMs, starts them again and waits until they have learned of each other. */
void
vm_group_restart_all (void)
{
  for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
    route_vm_kill (vm_group_at (i));
  route_vm_start ();
  route_vm_wait_ready ();
  for (unsigned i = 0; i < OTHERS; i++)
    route_vm_restart (&others[i]);
  vm_group_meet ();
}

/* Sends a request and returns the status of the VM's answer. */
int
vm_group_status (vm_group_sender *send, const struct route_vm *vm, const char *path,
                 const char *content)
{
  struct raw_answer answer = send (vm, path, content);
  int status = route_vm_status (&answer);

  raw_answer_clear (&answer);
  return status;
}

/* Sends a request and expects that the VM refuses it within within_ms, says that it was
   not run and when to send it again. */
void
vm_group_expect_refusal (vm_group_sender *send, const struct route_vm *vm,
                         const char *path, const char *content, int64_t within_ms)
{
  struct raw_answer answer = send (vm, path, content);

  ck_assert_int_eq (route_vm_status (&answer), 503);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "Retry-After: "));
  ck_assert_ptr_nonnull (strstr (answer.text->str, "\"execution\":\"not_run\""));
  ck_assert_int_lt (answer.elapsed_ms, within_ms);
  raw_answer_clear (&answer);
}

/* Sends a request and returns true if a server answers it. A request may be refused while
   the list still has servers that have just crashed; callers send it again when the
   refusal tells them to, and so does this function. */
bool
vm_group_serves (vm_group_sender *send, const struct route_vm *vm, const char *path,
                 const char *content)
{
  static const char header[] = "Retry-After: ";
  bool served = false;

  for (int i = 0; i < TRIES_MAX && !served; i++)
    {
      struct raw_answer answer = send (vm, path, content);
      const char *wait = strstr (answer.text->str, header);

      served = route_vm_status (&answer) == 200;
      if (wait != NULL)
        g_usleep ((gulong)(MIN (g_ascii_strtod (wait + strlen (header), NULL), 1)
                           * G_USEC_PER_SEC));
      raw_answer_clear (&answer);
    }
  return served;
}
