/* Cache events of the stand-in engine. */
#ifndef KCP_STANDIN_ENGINE_EVENTS_H
#define KCP_STANDIN_ENGINE_EVENTS_H

#include "standin/standin.h"

bool engine_events_handles (const struct standin_request *request);
enum MHD_Result
engine_events_handle (const struct standin_request *request, const char *incarnation);
void engine_events_add (const char *block, bool stored);

#endif
