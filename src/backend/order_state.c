#include "backend/order_state.h"

#include <glib.h>
#include <string.h>

struct kcp_order_state
{
  uint64_t next_offset;
  unsigned max_open_grants;
  GHashTable *desired_by_engine; /* engine -> struct kcp_order_desired */
  GHashTable *grants_by_engine;  /* engine -> struct kcp_order_grant */
};

static void
apply_desired (struct kcp_order_state *state, uint64_t offset, json_t *record);
static void apply_grant (struct kcp_order_state *state, uint64_t offset, json_t *record);
static void apply_close (struct kcp_order_state *state, json_t *record);
static const char *get_text (json_t *record, const char *key);
static void desired_free (gpointer data);
static void grant_free (gpointer data);

/* Creates an empty state that allows at most max_open_grants open grants at a time. */
struct kcp_order_state *
kcp_order_state_new (unsigned max_open_grants)
{
  struct kcp_order_state *state = g_new0 (struct kcp_order_state, 1);

  state->max_open_grants = max_open_grants;
  state->desired_by_engine
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, desired_free);
  state->grants_by_engine
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, grant_free);
  return state;
}

/* Frees the state. NULL is allowed. */
void
kcp_order_state_free (struct kcp_order_state *state)
{
  if (state == NULL)
    return;
  g_hash_table_unref (state->desired_by_engine);
  g_hash_table_unref (state->grants_by_engine);
  g_free (state);
}

/* Applies the record at an offset. Offsets that were applied before and records that are
   not understood are ignored. */
void
kcp_order_state_apply (struct kcp_order_state *state, uint64_t offset, json_t *record)
{
  const char *op = get_text (record, "op");

  if (offset < state->next_offset)
    return;
  state->next_offset = offset + 1;
  if (strcmp (op, "want") == 0)
    apply_desired (state, offset, record);
  else if (strcmp (op, "grant") == 0)
    apply_grant (state, offset, record);
  else if (strcmp (op, "done") == 0 || strcmp (op, "lapse") == 0)
    apply_close (state, record);
}

/* Returns the offset of the next record to apply. */
uint64_t
kcp_order_state_next_offset (const struct kcp_order_state *state)
{
  return state->next_offset;
}

/* Continues at offset, the first one that a trimmed log retains. VMs that start later do
   not learn the desired states that were trimmed. An engine keeps its weights and role
   until it receives another order, so an operator has to repeat a desired state that was
   not reached before the trim. */
void
kcp_order_state_skip_to (struct kcp_order_state *state, uint64_t offset)
{
  state->next_offset = MAX (state->next_offset, offset);
}

/* Returns the number of open grants over all engines. */
unsigned
kcp_order_state_count_open_grants (const struct kcp_order_state *state)
{
  return g_hash_table_size (state->grants_by_engine);
}

/* Returns the latest desired state of an engine, or NULL. */
const struct kcp_order_desired *
kcp_order_state_desired (const struct kcp_order_state *state, const char *engine)
{
  return g_hash_table_lookup (state->desired_by_engine, engine);
}

/* Returns the open grant of an engine, or NULL. */
const struct kcp_order_grant *
kcp_order_state_grant (const struct kcp_order_state *state, const char *engine)
{
  return g_hash_table_lookup (state->grants_by_engine, engine);
}

/* Returns true if a grant for the latest desired state would take effect as the next
   record of the log. */
bool
kcp_order_state_may_grant (const struct kcp_order_state *state, const char *engine)
{
  return g_hash_table_contains (state->desired_by_engine, engine)
         && !g_hash_table_contains (state->grants_by_engine, engine)
         && kcp_order_state_count_open_grants (state) < state->max_open_grants;
}

/* Returns the engines that have a desired state, as a NULL-terminated array to be freed
   with g_strfreev(). */
char **
kcp_order_state_engines (const struct kcp_order_state *state)
{
  GStrvBuilder *builder = g_strv_builder_new ();
  GHashTableIter iter;
  gpointer key;
  char **engines;

  g_hash_table_iter_init (&iter, state->desired_by_engine);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_strv_builder_add (builder, key);
  engines = g_strv_builder_end (builder);
  g_strv_builder_unref (builder);
  return engines;
}

/* Returns all desired states with their grants as a new JSON array, for the admin API. */
json_t *
kcp_order_state_to_json (const struct kcp_order_state *state)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->desired_by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct kcp_order_desired *desired = value;
      const struct kcp_order_grant *grant
          = kcp_order_state_grant (state, desired->engine);
      json_t *object = json_pack ("{sssIss*ss*}", "engine", desired->engine, "offset",
                                  (json_int_t)desired->offset, "weights",
                                  desired->weights, "role", desired->role);

      if (grant != NULL)
        {
          json_object_set_new (object, "vm", json_string (grant->vm));
          json_object_set_new (object, "fencing",
                               json_integer ((json_int_t)grant->offset));
        }
      json_array_append_new (list, object);
    }
  return list;
}

/* Returns a new "want" record with the desired state of an engine. weights and role may
   be NULL. */
json_t *
kcp_order_make_desired (const char *engine, const char *weights, const char *role)
{
  return json_pack ("{ssssss*ss*}", "op", "want", "engine", engine, "weights", weights,
                    "role", role);
}

/* Returns a new "grant" record, which requests an order lease for a desired state. */
json_t *
kcp_order_make_grant (const char *engine, uint64_t desired_offset, const char *vm,
                      const char *id, int64_t lease_ms)
{
  return json_pack ("{sssssIsssssI}", "op", "grant", "engine", engine, "want",
                    (json_int_t)desired_offset, "vm", vm, "id", id, "lease_ms",
                    (json_int_t)lease_ms);
}

/* Returns a new record that closes a grant. op is "done" or "lapse". */
json_t *
kcp_order_make_close (const char *op, const char *engine, uint64_t grant)
{
  return json_pack ("{sssssI}", "op", op, "engine", engine, "grant", (json_int_t)grant);
}

static void
apply_desired (struct kcp_order_state *state, uint64_t offset, json_t *record)
{
  struct kcp_order_desired *desired = g_new0 (struct kcp_order_desired, 1);

  desired->offset = offset;
  desired->engine = g_strdup (get_text (record, "engine"));
  desired->weights = g_strdup (json_string_value (json_object_get (record, "weights")));
  desired->role = g_strdup (json_string_value (json_object_get (record, "role")));
  g_hash_table_replace (state->desired_by_engine, desired->engine, desired);
}

static void
apply_grant (struct kcp_order_state *state, uint64_t offset, json_t *record)
{
  const char *engine = get_text (record, "engine");
  const struct kcp_order_desired *desired = kcp_order_state_desired (state, engine);
  uint64_t desired_offset
      = (uint64_t)json_integer_value (json_object_get (record, "want"));
  struct kcp_order_grant *grant;

  if (!kcp_order_state_may_grant (state, engine) || desired->offset != desired_offset)
    return;
  grant = g_new0 (struct kcp_order_grant, 1);
  grant->offset = offset;
  grant->desired = desired_offset;
  grant->engine = g_strdup (engine);
  grant->vm = g_strdup (get_text (record, "vm"));
  grant->lease_ms = json_integer_value (json_object_get (record, "lease_ms"));
  g_strlcpy (grant->id, get_text (record, "id"), sizeof grant->id);
  g_hash_table_replace (state->grants_by_engine, grant->engine, grant);
}

static void
apply_close (struct kcp_order_state *state, json_t *record)
{
  const char *engine = get_text (record, "engine");
  const struct kcp_order_grant *grant = kcp_order_state_grant (state, engine);
  uint64_t grant_offset
      = (uint64_t)json_integer_value (json_object_get (record, "grant"));

  if (grant != NULL && grant->offset == grant_offset)
    g_hash_table_remove (state->grants_by_engine, engine);
}

static const char *
get_text (json_t *record, const char *key)
{
  const char *text = json_string_value (json_object_get (record, key));

  return text != NULL ? text : "";
}

static void
desired_free (gpointer data)
{
  struct kcp_order_desired *desired = data;

  g_free (desired->engine);
  g_free (desired->weights);
  g_free (desired->role);
  g_free (desired);
}

static void
grant_free (gpointer data)
{
  struct kcp_order_grant *grant = data;

  g_free (grant->engine);
  g_free (grant->vm);
  g_free (grant);
}
