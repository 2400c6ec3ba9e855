#include "logstore/vm_list.h"

#include <string.h>

#include "logstore/http_call.h"

#define STEP                     "vm_list"
#define HTTP_STATUS_OK           200
#define HTTP_STATUS_NOT_MODIFIED 304
#define PORT_MAX                 65535

static const char *const kind_names[KCP_MEMBER_KINDS] = {
  [KCP_MEMBER_ENTRY] = "entry",       [KCP_MEMBER_ENGINE] = "engine",
  [KCP_MEMBER_SERVICE] = "service",   [KCP_MEMBER_WEIGHT_STORE] = "weight_store",
  [KCP_MEMBER_KV_STORE] = "kv_store",
};

static bool read_members (json_t *body, struct kcp_vm_list *list);
static struct kcp_member *parse_member (json_t *object);
static int parse_kind (json_t *object);
static void member_free (gpointer data);

/* Fetches the list at a URL. The ETag of the previous fetch, if any, is sent so that an
   unchanged list is not transferred again. Invalid members are skipped. On failure sets
   an error and returns false. Blocks. */
bool
kcp_vm_list_fetch (const char *url, int64_t timeout_ms, struct kcp_vm_list *list,
                   struct kcp_error *error)
{
  g_autofree char *condition = g_strconcat ("If-None-Match: ", list->etag, NULL);
  struct kcp_http_call call = {
    .url = url,
    .timeout_ms = (long)timeout_ms,
    .header = list->etag[0] != '\0' ? condition : NULL,
  };
  struct kcp_http_answer answer;
  bool ok;

  kcp_vm_list_clear (list);
  if (!kcp_http_call_run (&call, &answer, error))
    return false;
  ok = answer.status == HTTP_STATUS_NOT_MODIFIED
       || (answer.status == HTTP_STATUS_OK && read_members (answer.body, list));
  if (ok && answer.status == HTTP_STATUS_OK)
    g_strlcpy (list->etag, answer.etag, sizeof list->etag);
  if (!ok)
    kcp_error_set (error, KCP_ERR_PLATFORM, STEP, url, "the list answered %ld",
                   answer.status);
  kcp_http_answer_clear (&answer);
  return ok;
}

/* Frees the members of a list. Its ETag is kept. */
void
kcp_vm_list_clear (struct kcp_vm_list *list)
{
  g_clear_pointer (&list->members, g_ptr_array_unref);
}

static bool
read_members (json_t *body, struct kcp_vm_list *list)
{
  json_t *members = json_object_get (body, "members");
  json_t *object;
  size_t i;

  if (!json_is_array (members))
    return false;
  list->members = g_ptr_array_new_with_free_func (member_free);
  json_array_foreach (members, i, object)
  {
    struct kcp_member *member = parse_member (object);

    if (member != NULL)
      g_ptr_array_add (list->members, member);
  }
  return true;
}

static struct kcp_member *
parse_member (json_t *object)
{
  const char *id = json_string_value (json_object_get (object, "id"));
  const char *address = json_string_value (json_object_get (object, "address"));
  const char *data_center = json_string_value (json_object_get (object, "data_center"));
  const char *state = json_string_value (json_object_get (object, "state"));
  json_int_t port = json_integer_value (json_object_get (object, "port"));
  int kind = parse_kind (object);
  struct kcp_member *member;

  if (id == NULL || address == NULL || data_center == NULL || kind < 0 || port < 1
      || port > PORT_MAX)
    return NULL;
  member = g_new0 (struct kcp_member, 1);
  *member = (struct kcp_member){
    .kind = kind,
    .id = g_strdup (id),
    .address = g_strdup (address),
    .port = (int)port,
    .data_center = g_quark_from_string (data_center),
    .model = g_strdup (json_string_value (json_object_get (object, "model"))),
    .service = g_strdup (json_string_value (json_object_get (object, "service"))),
    .leaving = state != NULL && strcmp (state, "leaving") == 0,
    .checks_fencing = json_is_true (json_object_get (object, "checks_fencing")),
  };
  return member;
}

static int
parse_kind (json_t *object)
{
  const char *text = json_string_value (json_object_get (object, "kind"));

  for (int i = 0; text != NULL && i < KCP_MEMBER_KINDS; i++)
    if (strcmp (text, kind_names[i]) == 0)
      return i;
  return -1;
}

static void
member_free (gpointer data)
{
  struct kcp_member *member = data;

  g_free (member->id);
  g_free (member->address);
  g_free (member->model);
  g_free (member->service);
  g_free (member);
}
