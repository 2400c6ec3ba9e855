#include "profile/profile.h"

#include <string.h>

#define IMPORTANCE_MAX     100
#define IMPORTANCE_DEFAULT 50
#define DURATION_MAX_MS    86400000LL
#define STEP               "profile"

static const char *const class_names[KCP_CLASSES] = {
  [KCP_CLASS_URGENT] = "urgent",
  [KCP_CLASS_NORMAL] = "normal",
  [KCP_CLASS_BATCH] = "batch",
};

static const char *const known_keys[] = {
  "prompt_in",  "cache_in",   "compute_in",  "transit",           "class",
  "repeatable", "importance", "deadline_ms", "max_config_age_ms",
};

static bool check_keys (const char *name, json_t *document, struct kcp_error *error);
static bool read_set (const char *name, json_t *document, const char *key,
                      struct kcp_dc_set *set, struct kcp_error *error);
static bool read_class (const char *name, json_t *document, enum kcp_class *out,
                        struct kcp_error *error);
static bool read_bool (const char *name, json_t *document, const char *key, bool *out,
                       struct kcp_error *error);
static bool read_int (const char *name, json_t *document, const char *key, int64_t max,
                      int64_t *out, struct kcp_error *error);
static void profile_clear (gpointer data);

/* Parses and validates a profile document. On failure returns NULL and sets an error that
   names the document, the key and the reason. */
struct kcp_profile *
kcp_profile_parse (const char *name, json_t *document, struct kcp_error *error)
{
  struct kcp_profile *profile = g_atomic_rc_box_new0 (struct kcp_profile);
  int64_t importance = IMPORTANCE_DEFAULT;

  profile->name = g_strdup (name);
  profile->class = KCP_CLASS_NORMAL;
  if (!check_keys (name, document, error)
      || !read_set (name, document, "prompt_in", &profile->prompt_in, error)
      || !read_set (name, document, "cache_in", &profile->cache_in, error)
      || !read_set (name, document, "compute_in", &profile->compute_in, error)
      || !read_bool (name, document, "transit", &profile->transit, error)
      || !read_class (name, document, &profile->class, error)
      || !read_bool (name, document, "repeatable", &profile->repeatable, error)
      || !read_int (name, document, "importance", IMPORTANCE_MAX, &importance, error)
      || !read_int (name, document, "deadline_ms", DURATION_MAX_MS, &profile->deadline_ms,
                    error)
      || !read_int (name, document, "max_config_age_ms", DURATION_MAX_MS,
                    &profile->max_config_age_ms, error))
    {
      kcp_profile_unref (profile);
      return NULL;
    }
  profile->importance = (int)importance;
  return profile;
}

/* Adds a reference to the profile and returns it. */
struct kcp_profile *
kcp_profile_ref (struct kcp_profile *profile)
{
  return g_atomic_rc_box_acquire (profile);
}

/* Drops a reference. profile may be NULL. */
void
kcp_profile_unref (struct kcp_profile *profile)
{
  if (profile != NULL)
    g_atomic_rc_box_release_full (profile, profile_clear);
}

/* Returns the name that a class has in documents. */
const char *kcp_class_name (enum kcp_class class)
{
  return class_names[class];
}

static bool
check_keys (const char *name, json_t *document, struct kcp_error *error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (document))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "profiles/%s: not a JSON object", name);
      return false;
    }
  json_object_foreach (document, key, value)
  {
    bool known = false;

    for (size_t i = 0; i < G_N_ELEMENTS (known_keys); i++)
      known = known || strcmp (known_keys[i], key) == 0;
    if (!known)
      {
        kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                       "profiles/%s: %s: unknown key", name, key);
        return false;
      }
  }
  return true;
}

static bool
read_set (const char *name, json_t *document, const char *key, struct kcp_dc_set *set,
          struct kcp_error *error)
{
  json_t *list = json_object_get (document, key);
  json_t *member;
  size_t i;

  if (!json_is_array (list) || json_array_size (list) == 0
      || json_array_size (list) > KCP_DC_SET_MAX)
    {
      kcp_error_set (
          error, KCP_ERR_BAD_REQUEST, STEP, NULL,
          "profiles/%s: %s: required, 1 to %d names of data centers are allowed", name,
          key, KCP_DC_SET_MAX);
      return false;
    }
  json_array_foreach (list, i, member)
  {
    if (!json_is_string (member) || json_string_length (member) == 0)
      {
        kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                       "profiles/%s: %s[%zu]: not the name of a data center", name, key,
                       i);
        return false;
      }
    kcp_dc_set_add (set, g_quark_from_string (json_string_value (member)));
  }
  return true;
}

static bool
read_class (const char *name, json_t *document, enum kcp_class *out,
            struct kcp_error *error)
{
  json_t *value = json_object_get (document, "class");

  if (value == NULL)
    return true;
  for (int i = 0; i < KCP_CLASSES; i++)
    if (json_is_string (value) && strcmp (json_string_value (value), class_names[i]) == 0)
      {
        *out = i;
        return true;
      }
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                 "profiles/%s: class: urgent, normal or batch is allowed", name);
  return false;
}

static bool
read_bool (const char *name, json_t *document, const char *key, bool *out,
           struct kcp_error *error)
{
  json_t *value = json_object_get (document, key);

  if (value == NULL)
    return true;
  if (!json_is_boolean (value))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "profiles/%s: %s: true or false is allowed", name, key);
      return false;
    }
  *out = json_is_true (value);
  return true;
}

static bool
read_int (const char *name, json_t *document, const char *key, int64_t max, int64_t *out,
          struct kcp_error *error)
{
  json_t *value = json_object_get (document, key);

  if (value == NULL)
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > max)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "profiles/%s: %s: a whole number from 0 to %" G_GINT64_FORMAT
                     " is allowed",
                     name, key, max);
      return false;
    }
  *out = json_integer_value (value);
  return true;
}

static void
profile_clear (gpointer data)
{
  struct kcp_profile *profile = data;

  g_free (profile->name);
}
