/* Client of the admin API, for the operators' subcommands. */
#ifndef KCP_CMD_ADMIN_CLIENT_H
#define KCP_CMD_ADMIN_CLIENT_H

#include "logstore/http_call.h"

struct kcp_admin_client
{
  char *url;
  char *token;
};

bool kcp_admin_client_init (struct kcp_admin_client *client, const char *url,
                            const char *token_path);
void kcp_admin_client_clear (struct kcp_admin_client *client);
json_t *kcp_admin_client_get (const struct kcp_admin_client *client, const char *path);
bool kcp_admin_client_run (const struct kcp_admin_client *client, const char *method,
                           const char *path, json_t *body, const char *header,
                           struct kcp_http_answer *answer);

#endif
