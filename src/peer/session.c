#include "peer/session.h"

#include <string.h>

#define SENDERS_MAX 4096
#define WINDOW_BITS 64
#define RETIRED_MAX 4

/* Replay state for one sender. */
struct sender
{
  uint64_t session;
  uint64_t max_sequence; /* highest sequence number received */
  uint64_t window; /* bit n is set if sequence number max_sequence - n was received */
  uint64_t retired[RETIRED_MAX]; /* sessions of earlier processes */
  unsigned retired_count;
};

struct kcp_sessions
{
  char id[KCP_FACT_ID_MAX];
  uint64_t session;
  uint64_t sequence;
  GHashTable *senders; /* owned id to struct sender */
};

static struct sender *find_sender (struct kcp_sessions *sessions, const char *id);
static bool accept_session (struct sender *sender, uint64_t session);
static bool accept_sequence (struct sender *sender, uint64_t sequence);
static bool requires_to_session (enum kcp_message_kind kind);

/* Creates the state of this process. session must differ from that of any other process
   of this VM. */
struct kcp_sessions *
kcp_sessions_new (const char *id, uint64_t session)
{
  struct kcp_sessions *sessions = g_new0 (struct kcp_sessions, 1);

  g_strlcpy (sessions->id, id, sizeof sessions->id);
  sessions->session = session;
  sessions->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sessions;
}

/* Frees the state; NULL is allowed. */
void
kcp_sessions_free (struct kcp_sessions *sessions)
{
  if (sessions == NULL)
    return;
  g_hash_table_unref (sessions->senders);
  g_free (sessions);
}

/* Sets the sessions and the sequence number of a message that is about to be sent. */
void
kcp_sessions_fill_header (struct kcp_sessions *sessions, struct kcp_message *message)
{
  const struct sender *receiver = g_hash_table_lookup (sessions->senders, message->to);

  message->from_session = sessions->session;
  message->to_session = receiver != NULL ? receiver->session : 0;
  message->sequence = ++sessions->sequence;
}

/* Returns true if an authentic message is addressed to this VM and is not a replay.
   Acknowledgements and chunks must carry this process's session. Other messages may come
   from a VM that does not know the session yet; a replay of one after a restart does no
   harm, because merging the same facts again has no effect. */
bool
kcp_sessions_accept (struct kcp_sessions *sessions, const struct kcp_message *message)
{
  struct sender *sender;

  if (strcmp (message->to, sessions->id) != 0 || strcmp (message->from, sessions->id) == 0
      || message->from_session == 0)
    return false;
  if (requires_to_session (message->kind) && message->to_session != sessions->session)
    return false;
  sender = find_sender (sessions, message->from);
  return accept_session (sender, message->from_session)
         && accept_sequence (sender, message->sequence);
}

/* Returns the state of a sender, which is added if there is none. If SENDERS_MAX is
   reached, the state of all senders is discarded. */
static struct sender *
find_sender (struct kcp_sessions *sessions, const char *id)
{
  struct sender *sender = g_hash_table_lookup (sessions->senders, id);

  if (sender != NULL)
    return sender;
  if (g_hash_table_size (sessions->senders) >= SENDERS_MAX)
    g_hash_table_remove_all (sessions->senders);
  sender = g_new0 (struct sender, 1);
  g_hash_table_insert (sessions->senders, g_strdup (id), sender);
  return sender;
}

/* Returns true if a message's session is the sender's current one or a new one. A session
   not seen before belongs to a new process of the VM and retires the previous session.
   Sessions are not ordered by value, because the clock of a new process may be behind. */
static bool
accept_session (struct sender *sender, uint64_t session)
{
  if (sender->session == session)
    return true;
  for (int i = 0; i < RETIRED_MAX; i++)
    if (sender->retired[i] == session)
      return false;
  if (sender->session != 0)
    sender->retired[sender->retired_count++ % RETIRED_MAX] = sender->session;
  sender->session = session;
  sender->max_sequence = 0;
  sender->window = 0;
  return true;
}

/* Returns true if a sequence number was not received before. Numbers are tracked in a
   sliding window; older ones are refused. */
static bool
accept_sequence (struct sender *sender, uint64_t sequence)
{
  uint64_t behind;

  if (sequence > sender->max_sequence)
    {
      uint64_t ahead = sequence - sender->max_sequence;

      sender->window = ahead < WINDOW_BITS ? sender->window << ahead : 0;
      sender->window |= 1;
      sender->max_sequence = sequence;
      return true;
    }
  behind = sender->max_sequence - sequence;
  if (behind >= WINDOW_BITS || (sender->window >> behind & 1) != 0)
    return false;
  sender->window |= 1ULL << behind;
  return true;
}

/* Returns true if messages of a kind must carry the session of the receiver's process. */
static bool
requires_to_session (enum kcp_message_kind kind)
{
  switch (kind)
    {
    case KCP_MESSAGE_ACK:
    case KCP_MESSAGE_CHUNK:
      return true;
    case KCP_MESSAGE_PROBE:
    case KCP_MESSAGE_INDIRECT_PROBE:
    case KCP_MESSAGE_FACTS:
    case KCP_MESSAGE_DIGEST:
    case KCP_MESSAGE_PULL:
    case KCP_MESSAGE_KINDS:
      break;
    }
  return false;
}
