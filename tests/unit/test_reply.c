/* Tests the buffer between a request and its caller: every byte is delivered in order,
   and a slow caller does not make the buffer exceed its limit. */
#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request/reply.h"
#include "tests/harness/run_suite.h"

#define LIMIT_BYTES 1024
#define TOTAL_BYTES 2000000
#define PIECE_MAX   200 /* bytes */

/* The reader and the writer of one reply, each with a flag that allows it to continue. */
struct exchange
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool reader_may_run;
  bool writer_may_run;
  struct kcp_reply *reply;
  size_t max_unread;
  size_t written;
  size_t read;
};

static unsigned seed;

static void
set_flag (struct exchange *exchange, bool *flag, bool value)
{
  pthread_mutex_lock (&exchange->lock);
  *flag = value;
  pthread_cond_broadcast (&exchange->changed);
  pthread_mutex_unlock (&exchange->lock);
}

static void
wait_for_flag (struct exchange *exchange, const bool *flag)
{
  pthread_mutex_lock (&exchange->lock);
  while (!*flag)
    pthread_cond_wait (&exchange->changed, &exchange->lock);
  pthread_mutex_unlock (&exchange->lock);
}

static void
suspend_reader (void *user)
{
  struct exchange *exchange = user;

  set_flag (exchange, &exchange->reader_may_run, false);
}

static void
resume_reader (void *user)
{
  struct exchange *exchange = user;

  set_flag (exchange, &exchange->reader_may_run, true);
}

static void
drained (void *user)
{
  struct exchange *exchange = user;

  set_flag (exchange, &exchange->writer_may_run, true);
}

static char
byte_at (size_t position)
{
  return (char)('a' + (position * 7 + position / 131) % 26);
}

static void *
run_writer (void *user)
{
  struct exchange *exchange = user;
  GRand *random = g_rand_new_with_seed (seed);

  kcp_reply_begin (exchange->reply, 200, "text/plain");
  while (exchange->written < TOTAL_BYTES)
    {
      char piece[PIECE_MAX];
      size_t len = (size_t)g_rand_int_range (random, 1, PIECE_MAX);
      size_t unread;
      bool has_room;

      for (size_t i = 0; i < len; i++)
        piece[i] = byte_at (exchange->written + i);
      set_flag (exchange, &exchange->writer_may_run, false);
      has_room = kcp_reply_write (exchange->reply, (struct kcp_str){ piece, len });
      exchange->written += len;
      unread = exchange->written - __atomic_load_n (&exchange->read, __ATOMIC_RELAXED);
      exchange->max_unread = MAX (exchange->max_unread, unread);
      if (!has_room)
        wait_for_flag (exchange, &exchange->writer_may_run);
    }
  kcp_reply_finish (exchange->reply);
  g_rand_free (random);
  return NULL;
}

START_TEST (test_reply_delivers_every_byte_in_order_from_a_bounded_buffer)
{
  struct exchange exchange = { .reader_may_run = true };
  pthread_t writer;
  ssize_t count = 0;

  pthread_mutex_init (&exchange.lock, NULL);
  pthread_cond_init (&exchange.changed, NULL);
  exchange.reply = kcp_reply_new (LIMIT_BYTES, suspend_reader, resume_reader, &exchange);
  kcp_reply_on_drained (exchange.reply, drained, &exchange);
  ck_assert_int_eq (pthread_create (&writer, NULL, run_writer, &exchange), 0);
  if (!kcp_reply_wait_begun (exchange.reply))
    wait_for_flag (&exchange, &exchange.reader_may_run);
  while (count != KCP_REPLY_END)
    {
      char piece[PIECE_MAX / 2];

      count = kcp_reply_read (exchange.reply, piece, sizeof piece);
      for (ssize_t i = 0; i < count; i++)
        ck_assert_int_eq (piece[i], byte_at (exchange.read + (size_t)i));
      if (count > 0)
        (void)__atomic_fetch_add (&exchange.read, (size_t)count, __ATOMIC_RELAXED);
      if (count == 0)
        wait_for_flag (&exchange, &exchange.reader_may_run);
    }
  (void)pthread_join (writer, NULL);
  (void)fprintf (stderr, "reply: %zu bytes, at most %zu unread\n", exchange.read,
                 exchange.max_unread);
  ck_assert_uint_eq (exchange.read, exchange.written);
  ck_assert_uint_le (exchange.max_unread, LIMIT_BYTES);
  ck_assert (kcp_reply_is_empty (exchange.reply));
  kcp_reply_unref (exchange.reply);
}
END_TEST

START_TEST (test_second_begin_is_ignored)
{
  struct exchange exchange = { .reader_may_run = true };
  struct kcp_reply *reply
      = kcp_reply_new (LIMIT_BYTES, suspend_reader, resume_reader, &exchange);

  pthread_mutex_init (&exchange.lock, NULL);
  pthread_cond_init (&exchange.changed, NULL);
  ck_assert (!kcp_reply_wait_begun (reply));
  ck_assert (!exchange.reader_may_run);
  ck_assert (kcp_reply_begin (reply, 504, "a"));
  ck_assert (exchange.reader_may_run);
  ck_assert (!kcp_reply_begin (reply, 200, "b"));
  ck_assert_uint_eq (kcp_reply_status (reply), 504);
  ck_assert_str_eq (kcp_reply_content_type (reply), "a");
  kcp_reply_unref (reply);
}
END_TEST

/* Optional argument: the seed for the sizes of the writes. */
int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("reply");

  seed = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 1;
  (void)fprintf (stderr, "seed %u\n", seed);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_reply_delivers_every_byte_in_order_from_a_bounded_buffer);
  tcase_add_test (tests, test_second_begin_is_ignored);
  return run_started_suite ();
}
