/* The subcommands. Each one returns the exit code of the program. */
#ifndef KCP_CMD_CMD_H
#define KCP_CMD_CMD_H

enum kcp_exit
{
  KCP_EXIT_OK,
  KCP_EXIT_FAILED,
  KCP_EXIT_USAGE
};

int kcp_cmd_serve (int argc, char **argv);
int kcp_cmd_route (int argc, char **argv);
int kcp_cmd_check (int argc, char **argv);
int kcp_cmd_publish (int argc, char **argv);
int kcp_cmd_profiles (int argc, char **argv);
int kcp_cmd_status (int argc, char **argv);
int kcp_cmd_timeline (int argc, char **argv);
int kcp_cmd_explain (int argc, char **argv);

#endif
