#include "peer/message.h"

/* Frees the members of a message, but not the message itself. */
void
kcp_message_clear (struct kcp_message *message)
{
  g_clear_pointer (&message->facts, g_array_unref);
}
