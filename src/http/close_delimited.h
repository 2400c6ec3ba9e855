/* Answers whose end is the end of the connection (RFC 9112, 6.3, rule 8): any orderly
   close makes such an answer look complete, also that of a process that was killed. */
#ifndef KCP_HTTP_CLOSE_DELIMITED_H
#define KCP_HTTP_CLOSE_DELIMITED_H

void kcp_close_delimited_begin (int fd);
void kcp_close_delimited_complete (int fd);
void kcp_close_delimited_abort (int fd);

#endif
