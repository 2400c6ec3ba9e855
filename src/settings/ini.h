/* Reads INI files into plain structs by a table of keys, and reports every error with its
   line. */
#ifndef KCP_SETTINGS_INI_H
#define KCP_SETTINGS_INI_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum kcp_ini_type
{
  KCP_INI_TEXT,
  KCP_INI_NAME,    /* letters, digits, '-', '_' and '.' */
  KCP_INI_HEX_KEY, /* 64 hexadecimal digits */
  KCP_INI_ADDRESS, /* IPv4 address and port, as A.B.C.D:PORT */
  KCP_INI_INT,
  KCP_INI_REAL
};

/* One key and the member of the settings struct that it fills. */
struct kcp_ini_key
{
  const char *group;
  const char *key;
  enum kcp_ini_type type;
  size_t offset;
  bool required;
  const char *fallback; /* used for an absent text */
  int64_t min;
  int64_t max;
  int64_t standard;     /* used for an absent int64_t */
  double real_standard; /* used for an absent double; at least 0 */
};

struct kcp_ini_table
{
  const struct kcp_ini_key *keys;
  size_t count;
  size_t size; /* of the settings struct */
  /* Checks keys that only make sense together; may be NULL. */
  void (*check) (const char *path, const char *text, const void *settings,
                 GPtrArray *errors);
};

void *
kcp_ini_load (const struct kcp_ini_table *table, const char *path, GPtrArray *errors);
void *kcp_ini_parse (const struct kcp_ini_table *table, const char *path,
                     const char *text, GPtrArray *errors);
void kcp_ini_free (const struct kcp_ini_table *table, void *settings);
bool kcp_ini_is_same (const struct kcp_ini_key *key, const void *a, const void *b);
void kcp_ini_add_error (GPtrArray *errors, const char *path, const char *text,
                        const char *group, const char *line_key, const char *key,
                        const char *what);

#endif
