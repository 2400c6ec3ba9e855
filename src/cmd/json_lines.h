/* Reads files in JSON Lines format: timelines and logs of several processes. */
#ifndef KCP_CMD_JSON_LINES_H
#define KCP_CMD_JSON_LINES_H

#include <jansson.h>
#include <stdbool.h>

/* How lines that are not valid JSON are handled. */
enum kcp_json_lines_mode
{
  KCP_JSON_LINES_STRICT, /* such a line is an error */
  KCP_JSON_LINES_LOG     /* text before an object is ignored; other lines are skipped */
};

bool kcp_json_lines_read (json_t *lines, const char *path, enum kcp_json_lines_mode mode);

#endif
