/* Checks that errors in a settings file name the place and the allowed values and never
   quote a value that may be a secret. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "settings/settings.h"
#include "tests/harness/run_suite.h"

#define SECRET "s3cret-of-the-operators"
#define VALID                                                                            \
  "[vm]\nid=vm-1\ndata_center=dc1\n"                                                     \
  "[operators]\ntoken=" SECRET "\n"                                                      \
  "[platform]\nlog_url=http://l\nlist_url=http://m\n"                                    \
  "[peers]\nkey=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"

/* Returns the errors of the settings in text, separated by newlines. */
static char *
parse_errors (const char *text)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  struct kcp_settings *settings = kcp_settings_parse ("f.ini", text, errors);

  ck_assert ((settings == NULL) == (errors->len > 0));
  kcp_settings_free (settings);
  g_ptr_array_add (errors, NULL);
  return g_strjoinv ("\n", (char **)errors->pdata);
}

struct sample
{
  const char *text;
  const char *errors;
};

START_TEST (test_errors_name_file_line_key_and_range)
{
  static const struct sample samples[] = {
    { VALID, "" },
    { VALID "[callers]\ntls_certificate=c.pem\n",
      "f.ini:12: callers.tls_key: missing, required with tls_certificate" },
    { VALID "[callers]\n[operators]\ntls_key=k.pem\n",
      "f.ini:13: operators.tls_certificate: missing, required with tls_key" },
    { VALID "[callers]\nmax_deadline_ms=5\ndefault_deadline_ms=6\n",
      "f.ini:13: callers.default_deadline_ms: greater than callers.max_deadline_ms" },
    { VALID "[vm]\nworkers=0\n[peer]\nx=1\n[platform]\npoll_ms=fast\n",
      "f.ini:14: peer.x: unknown key\n"
      "f.ini:12: vm.workers: '0' is not a number in the allowed range 1 to 64\n"
      "f.ini:16: platform.poll_ms: 'fast' is not a number in the allowed range 10 to "
      "60000" },
    { "id=1\n" VALID "\n[operators\n",
      "f.ini:1: a key before the first [group]\n"
      "f.ini:13: not a [group], a key=value or a # comment" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      g_autofree char *errors = parse_errors (samples[i].text);

      ck_assert_str_eq (errors, samples[i].errors);
    }
}
END_TEST

START_TEST (test_errors_do_not_reveal_secrets)
{
  static const char *const texts[] = {
    VALID "[operators]\ntoken " SECRET "\n",
    VALID "[operators]\ntoken: " SECRET "\n",
    VALID "[operators]\ntoken=" SECRET "\ntoken=" SECRET "\n",
    VALID "[peers]\nkey=" SECRET "\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autofree char *errors = parse_errors (texts[i]);

      ck_assert_str_ne (errors, "");
      ck_assert_ptr_null (strstr (errors, SECRET));
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("settings");

  tcase_add_test (tests, test_errors_name_file_line_key_and_range);
  tcase_add_test (tests, test_errors_do_not_reveal_secrets);
  return run_started_suite ();
}
