/* Clients whose request heads are within the configured limit: the engine runs the
   request, and the machine closes the connection without an answer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review.h"

#define MAX_HEADER_BYTES 16384 /* max-header-bytes of the configuration */
#define CLIENTS          10
#define ALLOWED          3 /* such requests that the rule allows */

static struct rv_engine engine = { .plain = true, .event_ms = 15 };
static struct rv_vm machine;

/* Writes a request of the client with a head of so many bytes and header lines. */
static size_t
write_request (char *out, const char *id, int head_bytes, int lines)
{
  int len = sprintf (out,
                     "POST /booking/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
                     "Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\n"
                     "Content-Length: 7\r\n",
                     id);
  int count = lines - 5;

  for (int i = 0; i < count; i++)
    {
      int left = head_bytes - 2 - len;
      int line = left / (count - i);

      len += sprintf (out + len, "X-App-%03d: %0*d\r\n", i, line - 13, 7);
    }
  return (size_t)(len + sprintf (out + len, "\r\nbooking"));
}

int
main (int argc, char **argv)
{
  bool trouble = rv_begin (argc > 1 ? argv[1] : ".");
  int head_bytes = trouble ? MAX_HEADER_BYTES - 200 : 1000;
  int lines = trouble ? 66 : 10;
  unsigned unanswered = 0;
  char *request = malloc (MAX_HEADER_BYTES * 2);

  rv_store_start ();
  rv_put_config (3, false);
  rv_engine_start (&engine, "i-1", "townsville");
  rv_vm_prepare (&machine, "front-townsville-1", "townsville");
  rv_vm_start (&machine);
  if (!rv_vm_wait_ready (&machine, 8000))
    rv_end (2);
  rv_sleep_ms (4000);
  for (int i = 0; i < CLIENTS; i++)
    {
      int fd = rv_connect (machine.port);
      unsigned before;
      struct rv_answer answer;
      char id[32];
      size_t len;

      (void)snprintf (id, sizeof id, "client%d-first", i);
      (void)write_request (request, id, 400, 8);
      if (fd < 0 || !rv_send (fd, request))
        rv_end (2);
      answer = rv_receive (fd, 5000);
      rv_record ("client %d: small request answered %d, connection kept", i, answer.status);
      if (answer.status != 200 || !answer.complete)
        rv_end (2);
      free (answer.body);
      (void)snprintf (id, sizeof id, "client%d-second", i);
      len = write_request (request, id, head_bytes, lines) - 7;
      before = engine.runs;
      rv_record ("client %d: sends %s, head of %zu bytes with %d header lines", i, id, len,
                 lines);
      if (!rv_send (fd, request))
        rv_end (2);
      answer = rv_receive (fd, 5000);
      rv_record ("client %d: %s answered %d, %s; the engine ran it %u times", i, id,
                 answer.status, answer.complete ? "complete" : "not complete",
                 engine.runs - before);
      if (answer.status == 0 && engine.runs > before)
        {
          unanswered++;
          rv_record ("LOST: %s was passed on to a sound engine and ran; the connection was "
                     "closed without an answer",
                     id);
        }
      free (answer.body);
      close (fd);
    }
  rv_record ("%u of %d requests were passed on and not answered, %d are allowed", unanswered,
             CLIENTS, ALLOWED);
  rv_end (unanswered > ALLOWED ? 1 : 0);
}
