/* Prints rows of JSON members in columns. */
#ifndef KCP_CMD_TABLE_H
#define KCP_CMD_TABLE_H

#include <jansson.h>
#include <stdbool.h>

struct kcp_table_column
{
  const char *title;
  const char *member; /* of each row's object */
  int width;          /* in characters, at least */
};

/* columns ends with a NULL title. */
void kcp_table_print_header (const struct kcp_table_column *columns);
void kcp_table_print_row (const struct kcp_table_column *columns, const json_t *row);
void kcp_table_print (const struct kcp_table_column *columns, const json_t *rows);

#endif
