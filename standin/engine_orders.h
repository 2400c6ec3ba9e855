/* Orders to the stand-in engine: loading weights and changing its role. */
#ifndef KCP_STANDIN_ENGINE_ORDERS_H
#define KCP_STANDIN_ENGINE_ORDERS_H

#include "standin/standin.h"

#define ENGINE_WEIGHTS_MAX 40 /* bytes, with the final NUL */

void engine_orders_start (const struct standin_options *options);
enum MHD_Result engine_orders_handle (const struct standin_request *request);
void engine_orders_report (json_t *report);
void engine_orders_copy_weights (char out[ENGINE_WEIGHTS_MAX]);

#endif
