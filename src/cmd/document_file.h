/* Loads files that contain one profile or team as JSON. The name of a file without
   ".json" is the name of the document. */
#ifndef KCP_CMD_DOCUMENT_FILE_H
#define KCP_CMD_DOCUMENT_FILE_H

#include <jansson.h>
#include <stdbool.h>

struct kcp_document_file
{
  char *key; /* "profiles/NAME" or "teams/NAME" */
  json_t *document;
};

bool kcp_document_file_load (const char *path, struct kcp_document_file *file);
void kcp_document_file_clear (struct kcp_document_file *file);

#endif
