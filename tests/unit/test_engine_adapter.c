/* Tests the request body, headers and usage of attempts that continue or resume an
   answer. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "backend/engine_adapter.h"
#include "tests/harness/run_suite.h"

static json_t *
make_body (const char *text)
{
  json_t *body = json_loads (text, 0, NULL);
  g_autoptr (GArray) chain = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct kcp_engine_call call = {
    .body = body,
    .attempt = "a",
    .cache_salt = "team",
    .chain = chain,
    .incarnation = "",
    .weights = "",
    .last_event = KCP_ENGINE_NEW_STREAM,
    .answer = "so far",
    .answer_tokens = 2,
  };
  char *body_text = kcp_engine_body (&call);
  json_t *result = json_loads (body_text, 0, NULL);

  free (body_text);
  json_decref (body);
  return result;
}

START_TEST (test_a_continuation_appends_the_answer_to_the_prompt)
{
  json_t *text = make_body ("{\"prompt\":\"p\",\"max_tokens\":5}");
  json_t *chat = make_body ("{\"messages\":[{\"role\":\"user\",\"content\":\"p\"}],\"max_"
                            "completion_tokens\":5}");
  json_t *last = json_array_get (json_object_get (chat, "messages"), 1);

  ck_assert_str_eq (json_string_value (json_object_get (text, "prompt")), "pso far");
  ck_assert_int_eq (json_integer_value (json_object_get (text, "max_tokens")), 3);
  ck_assert_str_eq (json_string_value (json_object_get (last, "role")), "assistant");
  ck_assert_str_eq (json_string_value (json_object_get (last, "content")), "so far");
  ck_assert (json_is_true (json_object_get (chat, "continue_final_message")));
  ck_assert (json_is_false (json_object_get (chat, "add_generation_prompt")));
  ck_assert_int_eq (json_integer_value (json_object_get (chat, "max_completion_tokens")),
                    3);
  json_decref (text);
  json_decref (chat);
}
END_TEST

struct body_case
{
  const char *body;
  bool expected;
};

START_TEST (test_only_answers_that_are_plain_text_can_be_continued)
{
  static const struct body_case cases[] = {
    { "{}", true },
    { "{\"n\":1,\"logprobs\":null,\"echo\":false,\"max_tokens\":3}", true },
    { "{\"n\":2}", false },
    { "{\"max_tokens\":2}", false },
    { "{\"tools\":[]}", false },
    { "{\"logprobs\":5}", false },
    { "{\"response_format\":{\"type\":\"json_object\"}}", false },
    { "{\"continue_final_message\":true}", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      json_t *body = json_loads (cases[i].body, 0, NULL);

      ck_assert_msg (kcp_engine_can_continue (body, 2) == cases[i].expected, "%s",
                     cases[i].body);
      json_decref (body);
    }
}
END_TEST

START_TEST (test_the_usage_of_a_continuation_counts_the_complete_answer)
{
  struct kcp_engine_chunk chunk;

  ck_assert (kcp_engine_chunk_parse (
      KCP_STR ("{\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":3}}"), &chunk));
  kcp_engine_chunk_correct_usage (&chunk, 4);
  ck_assert_int_eq (chunk.prompt_tokens, 6);
  ck_assert_int_eq (chunk.completion_tokens, 7);
  ck_assert_int_eq (json_integer_value (json_object_get (
                        json_object_get (chunk.json, "usage"), "completion_tokens")),
                    7);
  kcp_engine_chunk_clear (&chunk);
}
END_TEST

START_TEST (test_resuming_a_stream_sends_the_last_event_id)
{
  struct kcp_engine_call call = {
    .attempt = "a", .incarnation = "", .weights = "", .last_event = -1, .answer = ""
  };
  g_auto (GStrv) resumed = kcp_engine_headers (&call);
  g_auto (GStrv) initial = NULL;

  call.last_event = KCP_ENGINE_NEW_STREAM;
  initial = kcp_engine_headers (&call);
  ck_assert (g_strv_contains ((const char *const *)resumed, "Last-Event-ID: -1"));
  ck_assert_uint_eq (g_strv_length (initial) + 1, g_strv_length (resumed));
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("engine_adapter");

  tcase_add_test (tests, test_a_continuation_appends_the_answer_to_the_prompt);
  tcase_add_test (tests, test_only_answers_that_are_plain_text_can_be_continued);
  tcase_add_test (tests, test_the_usage_of_a_continuation_counts_the_complete_answer);
  tcase_add_test (tests, test_resuming_a_stream_sends_the_last_event_id);
  return run_started_suite ();
}
