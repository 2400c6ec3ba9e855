/* Prints JSON objects as the rows of a table. */
#ifndef KCP_CMD_TABLE_H
#define KCP_CMD_TABLE_H

#include <jansson.h>
#include <stdbool.h>

struct kcp_table_column
{
  const char *title;
  const char *member; /* of each row's object */
  int width;          /* minimum, in characters */
};

/* The array of columns ends with an element whose title is NULL. */
void kcp_table_print_header (const struct kcp_table_column *columns);
void kcp_table_print_row (const struct kcp_table_column *columns, const json_t *row);
void kcp_table_print (const struct kcp_table_column *columns, const json_t *rows);

#endif
