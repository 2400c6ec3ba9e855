#include "forward/hop.h"

#include <glib.h>
#include <string.h>

#define PREFIX          "Kingcuppoint-Hop-"
#define TEAM            PREFIX "Team"
#define SERVICE         PREFIX "Service"
#define AVOID           PREFIX "Avoid"
#define ROUTES_VERSION  PREFIX "Routes-Version"
#define RUNS            PREFIX "Runs"
#define SOFTWARE        PREFIX "Software"
#define END             PREFIX "End"
#define SOFTWARE_FORMAT "%016" G_GINT64_MODIFIER "x"
#define SOFTWARE_SIZE   17
#define SOFTWARE_BASE   16

static const char *const end_names[KCP_HOP_ENDS] = {
  [KCP_HOP_UNKNOWN] = "unknown", [KCP_HOP_ANSWERED] = "answered",
  [KCP_HOP_REFUSED] = "refused", [KCP_HOP_DECLINED] = "declined",
  [KCP_HOP_FAILED] = "failed",
};

static const char *look_up (struct MHD_Connection *connection, const char *name);
static int64_t look_up_int (struct MHD_Connection *connection, const char *name);
static struct curl_slist *
add_line (struct curl_slist *lines, const char *name, const char *value);
static struct curl_slist *
add_int_line (struct curl_slist *lines, const char *name, int64_t value);

/* Returns true if only VMs may set a header of this name. */
bool
kcp_hop_is_header (const char *name)
{
  return g_ascii_strncasecmp (name, PREFIX, strlen (PREFIX)) == 0;
}

/* Returns what another VM has added to the request, to be freed with
   kcp_hop_head_free(). */
struct kcp_hop_head *
kcp_hop_read_head (struct MHD_Connection *connection)
{
  struct kcp_hop_head *head = g_new0 (struct kcp_hop_head, 1);
  const char *software = look_up (connection, SOFTWARE);

  head->team = g_strdup (look_up (connection, TEAM));
  head->service = g_strdup (look_up (connection, SERVICE));
  head->avoid = g_strdup (look_up (connection, AVOID));
  head->routes_version = look_up_int (connection, ROUTES_VERSION);
  head->runs = look_up_int (connection, RUNS);
  head->bound = software != NULL;
  if (software != NULL)
    head->software = g_ascii_strtoull (software, NULL, SOFTWARE_BASE);
  return head;
}

/* Frees a head; NULL is allowed. */
void
kcp_hop_head_free (struct kcp_hop_head *head)
{
  if (head == NULL)
    return;
  g_free (head->team);
  g_free (head->service);
  g_free (head->avoid);
  g_free (head);
}

/* Appends the lines of a head to lines and returns them. */
struct curl_slist *
kcp_hop_write_head (struct curl_slist *lines, const struct kcp_hop_head *head)
{
  char software[SOFTWARE_SIZE];

  if (head->team != NULL)
    lines = add_line (lines, TEAM, head->team);
  lines = add_line (lines, SERVICE, head->service);
  if (head->avoid != NULL)
    lines = add_line (lines, AVOID, head->avoid);
  lines = add_int_line (lines, ROUTES_VERSION, head->routes_version);
  lines = add_int_line (lines, RUNS, head->runs);
  if (!head->bound)
    return lines;
  (void)g_snprintf (software, sizeof software, SOFTWARE_FORMAT, head->software);
  return add_line (lines, SOFTWARE, software);
}

/* Returns the name that messages and the log use for end. */
const char *
kcp_hop_end_name (enum kcp_hop_end end)
{
  return end_names[end];
}

/* Adds to an answer how the request ended, and the software version of the server that
   answered it; 0: none did. */
void
kcp_hop_add_answer_lines (struct MHD_Response *response, enum kcp_hop_end end,
                          uint64_t software)
{
  char text[SOFTWARE_SIZE];

  MHD_add_response_header (response, END, kcp_hop_end_name (end));
  (void)g_snprintf (text, sizeof text, SOFTWARE_FORMAT, software);
  MHD_add_response_header (response, SOFTWARE, text);
}

/* Reads a line of an answer: sets end or software if it is about them. */
void
kcp_hop_read_answer_line (struct kcp_str name, struct kcp_str value,
                          enum kcp_hop_end *end, uint64_t *software)
{
  g_autofree char *text = NULL;

  if (kcp_str_equals_ignoring_case (name, SOFTWARE))
    {
      text = kcp_str_dup (value);
      *software = g_ascii_strtoull (text, NULL, SOFTWARE_BASE);
    }
  if (!kcp_str_equals_ignoring_case (name, END))
    return;
  for (unsigned i = 0; i < KCP_HOP_ENDS; i++)
    if (kcp_str_equal (value, kcp_str_from_c (end_names[i])))
      *end = (enum kcp_hop_end)i;
}

static const char *
look_up (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

/* Returns the value of a header, or 0 if there is none. */
static int64_t
look_up_int (struct MHD_Connection *connection, const char *name)
{
  const char *value = look_up (connection, name);
  int64_t number = 0;

  if (value == NULL || !kcp_str_to_int64 (kcp_str_from_c (value), &number))
    return 0;
  return number;
}

static struct curl_slist *
add_line (struct curl_slist *lines, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s: %s", name, value);

  return curl_slist_append (lines, line);
}

static struct curl_slist *
add_int_line (struct curl_slist *lines, const char *name, int64_t value)
{
  g_autofree char *line = g_strdup_printf ("%s: %" G_GINT64_FORMAT, name, value);

  return curl_slist_append (lines, line);
}
