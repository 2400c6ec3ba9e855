/* Orders to the stand-in engine: loading weights and taking a role. */
#ifndef KCP_STANDIN_ENGINE_ORDERS_H
#define KCP_STANDIN_ENGINE_ORDERS_H

#include "standin/standin.h"

/* Called when new weights are in place. */
typedef void engine_weights_changed (void);

void engine_orders_start (const struct standin_options *options,
                          engine_weights_changed *changed);
enum MHD_Result engine_orders_handle (const struct standin_request *request);
void engine_orders_report (json_t *report);
const char *engine_orders_weights (void);

#endif
