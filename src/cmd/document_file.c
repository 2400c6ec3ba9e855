#include "cmd/document_file.h"

#include <stdio.h>
#include <string.h>

#include "profile/config.h"

#define SUFFIX ".json"

static char *make_key (const char *path, json_t *document);
static int find_line (const char *text, const char *key, const char *detail);

/* Loads and validates a document. Returns false after printing an error message of the
   form "file:line: document: key: reason" to standard error. A document with key_hashes
   is a team, any other document is a profile. */
bool
kcp_document_file_load (const char *path, struct kcp_document_file *file)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) file_error = NULL;
  struct kcp_error error;
  json_error_t where;
  size_t len;

  *file = (struct kcp_document_file){ 0 };
  if (!g_file_get_contents (path, &text, &len, &file_error))
    {
      (void)fprintf (stderr, "%s: %s\n", path, file_error->message);
      return false;
    }
  file->document = json_loadb (text, len, JSON_REJECT_DUPLICATES, &where);
  if (file->document == NULL)
    {
      (void)fprintf (stderr, "%s:%d: %s\n", path, where.line, where.text);
      return false;
    }
  file->key = make_key (path, file->document);
  if (kcp_config_check_document (file->key, file->document, &error))
    return true;
  (void)fprintf (stderr, "%s:%d: %s\n", path, find_line (text, file->key, error.detail),
                 error.detail);
  kcp_document_file_clear (file);
  return false;
}

/* Frees the members of a file. */
void
kcp_document_file_clear (struct kcp_document_file *file)
{
  g_free (file->key);
  json_decref (file->document);
  *file = (struct kcp_document_file){ 0 };
}

static char *
make_key (const char *path, json_t *document)
{
  g_autofree char *name = g_path_get_basename (path);
  bool team = json_object_get (document, "key_hashes") != NULL;

  if (g_str_has_suffix (name, SUFFIX))
    name[strlen (name) - strlen (SUFFIX)] = '\0';
  return g_strconcat (team ? "teams/" : "profiles/", name, NULL);
}

/* Returns the line of the member named by an error "document: member: reason", or 1 if
   the member is not found. Searches the text because jansson stores no line numbers. */
static int
find_line (const char *text, const char *key, const char *detail)
{
  size_t prefix_len = strlen (key) + strlen (": ");
  g_autofree char *member = NULL;
  g_autofree char *quoted = NULL;
  const char *found;
  int line = 1;

  if (strlen (detail) <= prefix_len)
    return line;
  member = g_strndup (detail + prefix_len, strcspn (detail + prefix_len, ":["));
  quoted = g_strdup_printf ("\"%s\"", member);
  found = strstr (text, quoted);
  for (const char *c = text; found != NULL && c < found; c++)
    line += *c == '\n';
  return line;
}
