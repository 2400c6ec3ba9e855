/* The soak test of a fleet: VMs and backend servers as processes, callers as threads. */
#ifndef KCP_SOAK_FLEET_H
#define KCP_SOAK_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "soak/vm.h"
#include "tests/harness/fake_platform.h"

#define FLEET_VMS_MAX      64u
#define FLEET_SERVERS_MAX  72u
#define FLEET_CALLERS_MAX  128u
#define FLEET_DATA_CENTERS 3u

/* Routes, in the order of fleet_routes. */
enum fleet_kind
{
  FLEET_RESUMABLE, /* a stream that may be resumed */
  FLEET_STREAM,    /* a stream that may run once */
  FLEET_ONCE,
  FLEET_AGAIN,
  FLEET_CHANGING, /* its kind, attempts and service change */
  FLEET_KIND_COUNT
};

/* One attempt of a caller. */
struct fleet_attempt
{
  char id[24];
  enum fleet_kind kind;
  unsigned vm;
  int64_t begin_us;
  int64_t end_us;
  int status;             /* 0: none was received whole */
  bool complete;          /* the answer was whole by its framing */
  bool unread_retried;    /* tried again since the VM reset the connection unanswered */
  bool closed_unanswered; /* the VM closed it in order without an answer */
  char first_id[24];      /* of the stream that it resumes; empty: none */
};

struct fleet_server
{
  unsigned number;
  int port;
  unsigned service; /* index of fleet_services */
  char instance[24];
  unsigned starts;
  unsigned entries; /* that it has written since it started */
  const char *software;
  pid_t pid; /* 0: it does not run */
  int64_t born_ms;
  char *records;     /* file */
  int64_t list_us;   /* time at which its entry is written; 0: no entry is due */
  int64_t start_us;  /* time at which it starts again; 0: it runs */
  int64_t resume_us; /* time at which it is continued; 0: it is not stopped */
  int64_t leave_us; /* time at which it ends after it has said that it leaves; 0: never */
  unsigned lapses;  /* times that its entry still leaves the list and comes back */
  unsigned flaps;   /* ends that still follow */
  bool new_id;      /* its next start has another id */
  bool new_service; /* and another service */
};

/* An entry that is removed from the list some time after its server ended. */
struct fleet_removal
{
  char instance[24];
  int64_t at_us;
};

struct fleet
{
  guint32 seed;
  struct fake_platform *platform;
  struct soak_vm vms[FLEET_VMS_MAX];
  unsigned vm_count;
  struct fleet_server servers[FLEET_SERVERS_MAX];
  unsigned server_count;
  unsigned caller_count;
  int http_1_0_percent; /* of the attempts */
  bool has_links;       /* proxies before servers and VMs */
  const char *before;   /* program that all VMs run at first; NULL: they don't change */
  unsigned upgraded;    /* VMs that run the newer program */
  int64_t next_upgrade_us; /* when the next one is stopped */
  int64_t upgrade_gap_us;  /* between two of them */
  char *folder;
  const char *program; /* this program, which is also the servers' */
  GRand *random;       /* of the faults */
  GArray *removals;    /* struct fleet_removal */
  gint stopping;
  gint violations;
  gint answered;
  gint refused;
  gint failed; /* whole answers with another status */
  gint broken; /* answers that were cut, timeouts, closed connections */
  gint left;   /* attempts that the caller gave up */
  gint resumed;
  gint config_version;
  GMutex lock;          /* guards the members below */
  GArray *attempts;     /* struct fleet_attempt */
  GArray *changes;      /* struct fleet_change: of the changing route, in order */
  GArray *disturbances; /* struct fleet_disturbance */
  /* Attempts that may run once, whose connections the VM closed without an answer, and
     how many of them had run; neither breaks a rule. */
  unsigned resets;
  unsigned reset_runs;
  unsigned closes;
  unsigned close_runs;
  int64_t store_restore_us; /* 0: the store is sound */
};

/* A version of the changing route. */
struct fleet_change
{
  int64_t at_us;
  bool once; /* its requests may run once */
};

/* A fault of a VM, or the end of one. */
struct fleet_disturbance
{
  unsigned vm;
  int64_t at_us;
};

extern struct fleet fleet;
extern const char *const fleet_services[2];

void fleet_broken (const char *rule, const char *id, const char *text);

void fleet_servers_start (void);
void fleet_servers_stop (void);
void fleet_inject_server_fault (int64_t now_us);
void fleet_end_server_faults (int64_t now_us, bool all);
void fleet_put_config (void);

void fleet_links_start_servers (void);
void fleet_links_start_vms (void);
void fleet_links_stop (void);
int fleet_link_server_port (unsigned server);
int fleet_link_vm_port (unsigned vm);
void fleet_links_inject (int64_t now_us);
void fleet_links_end_faults (int64_t now_us, bool all);
bool fleet_link_was_harmed (const char *instance, int64_t from_us, int64_t to_us);

gpointer fleet_run_caller (gpointer number);
bool fleet_vm_serves (unsigned vm);

void fleet_check (void);

#endif
