/* Parser for INI files. A table of keys describes how their values are checked and in
   which members of a settings struct they are stored. All errors of a file are reported,
   each with its line number. */
#ifndef KCP_SETTINGS_INI_H
#define KCP_SETTINGS_INI_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum kcp_ini_type
{
  KCP_INI_TEXT,    /* any string that is not empty */
  KCP_INI_NAME,    /* 1 to 63 letters, digits, '-', '_' and '.' */
  KCP_INI_HEX_KEY, /* 64 hexadecimal digits */
  KCP_INI_ADDRESS, /* IPv4 address and port: A.B.C.D:PORT */
  KCP_INI_INT,
  KCP_INI_REAL
};

/* Describes one key and the member of the settings struct that receives its value: an
   int64_t, a double, or a char * for the other types. */
struct kcp_ini_key
{
  const char *group;
  const char *key;
  enum kcp_ini_type type;
  size_t offset;
  bool required;
  const char *default_string; /* value of an absent string; may be NULL */
  int64_t min;
  int64_t max;
  int64_t default_int; /* value of an absent KCP_INI_INT */
  double default_real; /* value of an absent KCP_INI_REAL; at least 0 */
};

struct kcp_ini_table
{
  const struct kcp_ini_key *keys;
  size_t count;
  size_t size; /* size of the settings struct in bytes */
  /* Checks constraints between several keys; may be NULL. */
  void (*check) (const char *path, const char *text, const void *settings,
                 GPtrArray *errors);
};

void *
kcp_ini_load (const struct kcp_ini_table *table, const char *path, GPtrArray *errors);
void *kcp_ini_parse (const struct kcp_ini_table *table, const char *path,
                     const char *text, GPtrArray *errors);
void kcp_ini_free (const struct kcp_ini_table *table, void *settings);
bool kcp_ini_values_equal (const struct kcp_ini_key *key, const void *a, const void *b);
void kcp_ini_add_error (GPtrArray *errors, const char *path, const char *text,
                        const char *group, const char *line_key, const char *key,
                        const char *message);

#endif
