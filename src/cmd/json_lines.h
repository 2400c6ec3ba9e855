/* Reads files of JSON lines: time lines and logs of several processes. */
#ifndef KCP_CMD_JSON_LINES_H
#define KCP_CMD_JSON_LINES_H

#include <jansson.h>
#include <stdbool.h>

/* What becomes of a line that is no JSON. */
enum kcp_json_lines_mode
{
  KCP_JSON_LINES_STRICT, /* it ends the reading */
  KCP_JSON_LINES_LOG     /* text before an object is dropped, other lines are counted */
};

bool kcp_json_lines_read (json_t *lines, const char *path, enum kcp_json_lines_mode mode);

#endif
