/* Runs the fuzz targets on inputs from a fixed corpus with seeded random mutations.
   Guards against input from callers and engines that crashes a parser or breaks its
   invariants. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fuzz/fuzz.h"
#include "tests/harness/run_suite.h"

#define CORPUS        "tests/fuzz/corpus"
#define ROUNDS        20000
#define MUTATIONS_MAX 6
#define BYTES_MAX     4096

struct target
{
  const char *name;
  fuzz_target *run;
};

static const struct target targets[] = {
  { "sse", fuzz_sse },
  { "chunk", fuzz_chunk },
  { "prompt", fuzz_prompt },
};

static const char *const tokens[]
    = { "\n\n", "\r\n",         "data: ",       "id: ", ":",  "{",     "[",
        "\"",   "\\",           "\\u0000",      "null", "-1", "1e999", "true",
        "\xff", "\"content\":", "\"usage\":{}", "," };

static guint32 seed;

static GPtrArray *
read_corpus (const char *name)
{
  GPtrArray *inputs = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_autofree char *folder = g_build_filename (CORPUS, name, NULL);
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *file;

  ck_assert_ptr_nonnull (dir);
  while ((file = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, file, NULL);
      char *text;
      gsize len;

      ck_assert (g_file_get_contents (path, &text, &len, NULL));
      g_ptr_array_add (inputs, g_bytes_new_take (text, len));
    }
  g_dir_close (dir);
  ck_assert_uint_gt (inputs->len, 0);
  return inputs;
}

/* Changes a byte, deletes or repeats a range, or inserts a token. */
static void
mutate (GRand *rng, GString *text)
{
  gint len = (gint)text->len;
  gint at = g_rand_int_range (rng, 0, len + 1);
  gint span = g_rand_int_range (rng, 0, MIN (len - at, 32) + 1);
  const char *token = tokens[g_rand_int_range (rng, 0, G_N_ELEMENTS (tokens))];
  g_autofree char *copy = g_strndup (text->str + at, (gsize)span);

  switch (g_rand_int_range (rng, 0, 4))
    {
    case 0:
      if (at < len)
        text->str[at] = (char)g_rand_int_range (rng, 0, 256);
      break;
    case 1:
      g_string_erase (text, at, span);
      break;
    case 2:
      g_string_insert_len (text, at, copy, (gssize)strlen (copy));
      break;
    default:
      g_string_insert (text, at, token);
      break;
    }
  g_string_truncate (text, MIN (text->len, BYTES_MAX));
}

START_TEST (test_parser_handles_mutated_inputs)
{
  const struct target *target = &targets[_i];
  g_autoptr (GPtrArray) inputs = read_corpus (target->name);
  GRand *rng = g_rand_new_with_seed (seed);

  for (int round = 0; round < ROUNDS; round++)
    {
      gint input = g_rand_int_range (rng, 0, (gint)inputs->len);
      gsize len;
      const char *bytes = g_bytes_get_data (g_ptr_array_index (inputs, input), &len);
      g_autoptr (GString) text = g_string_new_len (bytes, (gssize)len);
      gint mutations = round == 0 ? 0 : g_rand_int_range (rng, 1, MUTATIONS_MAX);

      for (gint i = 0; i < mutations; i++)
        mutate (rng, text);
      target->run ((struct kcp_str){ text->str, text->len });
    }
  g_rand_free (rng);
}
END_TEST

/* Usage: test_fuzz [SEED]. The seed of the mutations is 1 by default. */
int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("fuzz");

  seed = argc > 1 ? (guint32)strtoul (argv[1], NULL, 10) : 1;
  (void)fprintf (stderr, "seed %u\n", seed);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_parser_handles_mutated_inputs, 0,
                       G_N_ELEMENTS (targets));
  return run_started_suite ();
}
