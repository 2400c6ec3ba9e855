/* Answers whose end is the end of the connection (RFC 9112, 6.3, rule 8): any orderly
   close makes such an answer look complete, also that of a process that was killed. */
#ifndef KCP_HTTP_CLOSE_DELIMITED_H
#define KCP_HTTP_CLOSE_DELIMITED_H

#include <stdbool.h>

bool kcp_close_delimited_applies (const char *version, const char *method);
bool kcp_close_delimited_has_body (unsigned status);
void kcp_close_delimited_begin (int fd);
void kcp_close_delimited_complete (int fd);
bool kcp_close_delimited_abort (int fd);

#endif
