/* Tests the encoding, sealing and replay protection of messages between VMs, the merging
   of facts, and pulls of the configuration. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "peer/codec.h"
#include "peer/config_pull.h"
#include "peer/config_source.h"
#include "peer/session.h"
#include "tests/harness/run_suite.h"

#define DEFAULT_SEED 1
#define FUZZ_RUNS    20000

static guint32 seed = DEFAULT_SEED;
static const struct kcp_peer_key key = { { 1, 2, 3 } };

static struct kcp_fact
new_fact (enum kcp_fact_kind kind, const char *id, uint64_t number)
{
  struct kcp_fact fact;

  memset (&fact, 0, sizeof fact);
  fact.kind = kind;
  fact.number = number;
  g_strlcpy (fact.id, id, sizeof fact.id);
  return fact;
}

static struct kcp_message
new_message (enum kcp_message_kind kind)
{
  struct kcp_message message = {
    .from = "vm1",
    .to = "vm2",
    .from_session = 11,
    .to_session = 22,
    .sequence = 1,
    .stamp = 5,
    .kind = kind,
    .facts = g_array_new (FALSE, FALSE, sizeof (struct kcp_fact)),
  };

  return message;
}

/* Adds a fact of each kind with all its members set. */
static void
add_all_kinds (struct kcp_message *message)
{
  for (int kind = 0; kind < KCP_FACT_KINDS; kind++)
    {
      struct kcp_fact fact = new_fact (kind, "thing", 1ULL << 63);

      fact.state = KCP_VM_LEAVING;
      fact.expires_ms = 17;
      if (kind == KCP_FACT_VM)
        fact.content.vm = (struct kcp_vm_endpoint){ "dc1", "10.1.2.3", 65535 };
      if (kind == KCP_FACT_CONFIG)
        fact.content.config = (struct kcp_config_summary){ 1ULL << 60, 2, true };
      if (kind == KCP_FACT_BACKEND)
        g_strlcpy (fact.content.incarnation, "abc", sizeof fact.content.incarnation);
      if (kind == KCP_FACT_LOAD)
        fact.content.load = (struct kcp_load_sums){ -1, 1LL << 40 };
      g_array_append_val (message->facts, fact);
    }
}

/* Seals and opens a message. */
static bool
seal_and_open (const struct kcp_message *message, struct kcp_message *out)
{
  char box[KCP_WIRE_BOX_MAX];
  struct kcp_wire_sealed sealed = { .box.box_val = box };

  return kcp_codec_seal (&key, message, &sealed) && kcp_codec_open (&key, &sealed, out);
}

START_TEST (test_all_message_and_fact_kinds_round_trip)
{
  for (int kind = 0; kind < KCP_MESSAGE_KINDS; kind++)
    {
      struct kcp_message message = new_message (kind);
      struct kcp_message out;

      add_all_kinds (&message);
      if (kind == KCP_MESSAGE_CHUNK)
        message.content.chunk = (struct kcp_message_chunk){ 1, 2, 3, 4, 3, "abc" };
      else if (kind == KCP_MESSAGE_DIGEST)
        message.content.digest.digest.buckets[63] = 99;
      else if (kind == KCP_MESSAGE_PULL)
        message.content.pull = (struct kcp_message_pull){ 1, 2, 3, 4 };
      else if (kind != KCP_MESSAGE_FACTS)
        message.content.probe = (struct kcp_message_probe){ 7, "vm3", -1, 99 };
      ck_assert (seal_and_open (&message, &out));
      ck_assert_str_eq (out.to, "vm2");
      ck_assert_int_eq (out.kind, kind);
      ck_assert_mem_eq (&out.content, &message.content, sizeof out.content);
      ck_assert_uint_eq (out.facts->len, KCP_FACT_KINDS);
      for (guint i = 0; i < out.facts->len; i++)
        ck_assert_int_eq (
            kcp_fact_compare (&g_array_index (out.facts, struct kcp_fact, i),
                              &g_array_index (message.facts, struct kcp_fact, i)),
            0);
      kcp_message_clear (&message);
      kcp_message_clear (&out);
    }
}
END_TEST

START_TEST (test_modified_or_foreign_datagram_is_refused)
{
  struct kcp_message message = new_message (KCP_MESSAGE_PROBE);
  const struct kcp_peer_key foreign = { { 1, 2, 4 } };
  char box[KCP_WIRE_BOX_MAX];
  struct kcp_wire_sealed sealed = { .box.box_val = box };
  struct kcp_message out;

  ck_assert (kcp_codec_seal (&key, &message, &sealed));
  ck_assert (!kcp_codec_open (&foreign, &sealed, &out));
  for (u_int i = 0; i < sealed.box.box_len; i++)
    {
      box[i] ^= 1;
      ck_assert (!kcp_codec_open (&key, &sealed, &out));
      box[i] ^= 1;
    }
  sealed.box.box_len--;
  ck_assert (!kcp_codec_open (&key, &sealed, &out));
  sealed.box.box_len = 3;
  ck_assert (!kcp_codec_open (&key, &sealed, &out));
  kcp_message_clear (&message);
}
END_TEST

/* A sender that has the key but is faulty must not make the decoder misbehave. Random
   changes are made to messages before they are sealed. */
START_TEST (test_corrupt_authentic_messages_are_decoded_or_refused)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  int decoded = 0;

  for (int run = 0; run < FUZZ_RUNS; run++)
    {
      struct kcp_message message = new_message (run % KCP_MESSAGE_KINDS);
      unsigned char plain[KCP_WIRE_BOX_MAX];
      char box[KCP_WIRE_BOX_MAX];
      struct kcp_wire_sealed sealed = { .box.box_val = box };
      size_t len;

      memset (&message.content, 0, sizeof message.content);
      add_all_kinds (&message);
      ck_assert (kcp_codec_seal (&key, &message, &sealed));
      kcp_message_clear (&message);
      len = sealed.box.box_len - crypto_secretbox_MACBYTES;
      ck_assert_int_eq (
          crypto_secretbox_open_easy (plain, (unsigned char *)box, sealed.box.box_len,
                                      (unsigned char *)sealed.nonce, key.bytes),
          0);
      for (int change = g_rand_int_range (random, 1, 6); change > 0; change--)
        plain[g_rand_int_range (random, 0, (gint)len)]
            = (unsigned char)g_rand_int (random);
      if (run % 4 == 0)
        len = (size_t)g_rand_int_range (random, 0, (gint)len);
      (void)crypto_secretbox_easy ((unsigned char *)box, plain, len,
                                   (unsigned char *)sealed.nonce, key.bytes);
      sealed.box.box_len = (u_int)(len + crypto_secretbox_MACBYTES);
      if (kcp_codec_open (&key, &sealed, &message))
        {
          decoded++;
          ck_assert_int_lt (message.kind, KCP_MESSAGE_KINDS);
          ck_assert_uint_le (message.facts->len, KCP_MESSAGE_FACTS_MAX);
          kcp_message_clear (&message);
        }
    }
  ck_assert_int_gt (decoded, 0);
  ck_assert_int_lt (decoded, FUZZ_RUNS);
}
END_TEST

START_TEST (test_replays_and_misaddressed_messages_are_refused)
{
  struct kcp_sessions *sessions = kcp_sessions_new ("vm2", 22);
  struct kcp_message message = new_message (KCP_MESSAGE_PROBE);

  ck_assert (kcp_sessions_accept (sessions, &message));
  ck_assert (!kcp_sessions_accept (sessions, &message));
  message.sequence = 50;
  ck_assert (kcp_sessions_accept (sessions, &message));
  message.sequence = 2;
  ck_assert (kcp_sessions_accept (sessions, &message));
  ck_assert (!kcp_sessions_accept (sessions, &message));
  message.sequence = 500;
  ck_assert (kcp_sessions_accept (sessions, &message));
  message.sequence = 3;
  ck_assert (!kcp_sessions_accept (sessions, &message));
  message.sequence = 501;
  g_strlcpy (message.to, "vm3", sizeof message.to);
  ck_assert (!kcp_sessions_accept (sessions, &message));
  kcp_message_clear (&message);
  kcp_sessions_free (sessions);
}
END_TEST

START_TEST (test_messages_of_retired_sessions_are_refused)
{
  struct kcp_sessions *sessions = kcp_sessions_new ("vm2", 22);
  struct kcp_message message = new_message (KCP_MESSAGE_FACTS);

  ck_assert (kcp_sessions_accept (sessions, &message));
  message.from_session = 5;
  ck_assert (kcp_sessions_accept (sessions, &message));
  message.from_session = 11;
  message.sequence = 9;
  ck_assert (!kcp_sessions_accept (sessions, &message));
  kcp_message_clear (&message);
  kcp_sessions_free (sessions);
}
END_TEST

START_TEST (test_answers_to_previous_process_are_refused)
{
  const enum kcp_message_kind answers[] = { KCP_MESSAGE_ACK, KCP_MESSAGE_CHUNK };

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      struct kcp_sessions *sessions = kcp_sessions_new ("vm2", 23);
      struct kcp_message message = new_message (answers[i]);

      ck_assert (!kcp_sessions_accept (sessions, &message));
      message.to_session = 23;
      ck_assert (kcp_sessions_accept (sessions, &message));
      kcp_message_clear (&message);
      kcp_sessions_free (sessions);
    }
}
END_TEST

/* The order and repetition of merges must not affect the resulting table. */
START_TEST (test_merge_order_does_not_matter)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  struct kcp_facts *tables[2] = { kcp_facts_new (), kcp_facts_new () };
  struct kcp_facts_digest digests[2];
  struct kcp_fact facts[400];

  for (size_t i = 0; i < G_N_ELEMENTS (facts); i++)
    {
      g_autofree char *id = g_strdup_printf ("id%d", g_rand_int_range (random, 0, 20));

      facts[i] = new_fact (g_rand_int_range (random, 0, KCP_FACT_KINDS), id,
                           (uint64_t)g_rand_int_range (random, 0, 3));
      facts[i].state = (uint64_t)g_rand_int_range (random, 0, 3);
      if (facts[i].kind == KCP_FACT_VM)
        facts[i].content.vm.port = (uint16_t)g_rand_int_range (random, 0, 3);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (facts); i++)
    (void)kcp_facts_merge (tables[0], &facts[i], 1);
  for (int i = 0; i < 10000; i++)
    (void)kcp_facts_merge (tables[1],
                           &facts[g_rand_int_range (random, 0, G_N_ELEMENTS (facts))], 1);
  for (size_t i = G_N_ELEMENTS (facts); i > 0; i--)
    (void)kcp_facts_merge (tables[1], &facts[i - 1], 1);
  for (int i = 0; i < 2; i++)
    {
      kcp_facts_digest (tables[i], true, &digests[i]);
      kcp_facts_free (tables[i]);
    }
  ck_assert_mem_eq (&digests[0], &digests[1], sizeof digests[0]);
}
END_TEST

/* At capacity, a table does not grow and retains the same facts in any order of
   merging. */
START_TEST (test_full_table_retains_same_facts_in_any_order)
{
  struct kcp_facts *tables[2] = { kcp_facts_new (), kcp_facts_new () };
  struct kcp_facts_digest digests[2];
  const int count = 3000;

  for (int i = 0; i < count; i++)
    for (int table = 0; table < 2; table++)
      {
        int number = table == 0 ? i : count - 1 - i;
        g_autofree char *id = g_strdup_printf ("print%04d", number);
        struct kcp_fact fact = new_fact (KCP_FACT_QUARANTINE, id, 1);

        fact.expires_ms = 1000 + number * 7 % 100;
        (void)kcp_facts_merge (tables[table], &fact, 1);
      }
  ck_assert_uint_lt (kcp_facts_count (tables[0], KCP_FACT_QUARANTINE), count);
  for (int i = 0; i < 2; i++)
    {
      kcp_facts_digest (tables[i], true, &digests[i]);
      kcp_facts_expire (tables[i], 1200);
      ck_assert_uint_eq (kcp_facts_count (tables[i], KCP_FACT_QUARANTINE), 0);
      kcp_facts_free (tables[i]);
    }
  ck_assert_mem_eq (&digests[0], &digests[1], sizeof digests[0]);
}
END_TEST

static char *
long_text (void *user, uint64_t since)
{
  char *text = g_strnfill (100000 + since, 'x');

  (void)user;
  for (size_t i = 0; i < 100000; i += 7)
    text[i] = (char)('a' + i % 26);
  return text;
}

START_TEST (test_configuration_pull_completes_despite_loss)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  g_autofree char *expected = long_text (NULL, 5);
  struct kcp_config_source *source = kcp_config_source_new (long_text, NULL);
  struct kcp_config_pull pull = { .state = KCP_PULL_IDLE };
  struct kcp_message_pull request;
  struct kcp_message_chunk chunk;
  int64_t now_ns = 1;

  kcp_config_pull_start (&pull, "vm1", 77, 5);
  for (; pull.state == KCP_PULL_ACTIVE && now_ns < 60 * KCP_NS_PER_S;
       now_ns += 10 * KCP_NS_PER_MS)
    if (kcp_config_pull_request (&pull, now_ns, &request))
      for (uint32_t i = 0; kcp_config_source_chunk (source, now_ns, &request, i, &chunk);
           i++)
        if (g_rand_int_range (random, 0, 100) >= 30)
          kcp_config_pull_accept (&pull, "vm1", &chunk);
  ck_assert_int_eq (pull.state, KCP_PULL_DONE);
  ck_assert_uint_eq (kcp_config_pull_text (&pull).len, strlen (expected));
  ck_assert_mem_eq (kcp_config_pull_text (&pull).data, expected, strlen (expected));
  kcp_config_pull_clear (&pull);
  kcp_config_source_free (source);
}
END_TEST

START_TEST (test_pull_fails_without_valid_chunks)
{
  struct kcp_config_pull pull = { .state = KCP_PULL_IDLE };
  struct kcp_message_pull request;
  struct kcp_message_chunk invalid = { 77, 1, 2000, 0, 5, "abcde" };
  int requests = 0;

  kcp_config_pull_start (&pull, "vm1", 77, 0);
  for (int64_t now_ns = 1; pull.state == KCP_PULL_ACTIVE && now_ns < 5 * KCP_NS_PER_S;
       now_ns += 10 * KCP_NS_PER_MS)
    {
      requests += kcp_config_pull_request (&pull, now_ns, &request);
      kcp_config_pull_accept (&pull, "vm1", &invalid);
      invalid.index = UINT32_MAX;
      kcp_config_pull_accept (&pull, "vm1", &invalid);
      kcp_config_pull_accept (&pull, "vm3", &invalid);
    }
  ck_assert_int_eq (pull.state, KCP_PULL_FAILED);
  ck_assert_int_le (requests, 10);
  kcp_config_pull_clear (&pull);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("peer_messages");

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  if (argc > 1)
    seed = (guint32)strtoul (argv[1], NULL, 10);
  (void)printf ("seed %u\n", seed);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_all_message_and_fact_kinds_round_trip);
  tcase_add_test (tests, test_modified_or_foreign_datagram_is_refused);
  tcase_add_test (tests, test_corrupt_authentic_messages_are_decoded_or_refused);
  tcase_add_test (tests, test_replays_and_misaddressed_messages_are_refused);
  tcase_add_test (tests, test_messages_of_retired_sessions_are_refused);
  tcase_add_test (tests, test_answers_to_previous_process_are_refused);
  tcase_add_test (tests, test_merge_order_does_not_matter);
  tcase_add_test (tests, test_full_table_retains_same_facts_in_any_order);
  tcase_add_test (tests, test_configuration_pull_completes_despite_loss);
  tcase_add_test (tests, test_pull_fails_without_valid_chunks);
  return run_started_suite ();
}
