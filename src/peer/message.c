#include "peer/message.h"

/* Frees what a message holds, not the message. */
void
kcp_message_clear (struct kcp_message *message)
{
  g_clear_pointer (&message->facts, g_array_unref);
}
