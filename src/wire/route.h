/* What a request asks, by its method and path: one table for admission control, which classifies requests by
 * it, and for the daemon, which serves them. */
#pragma once
#include "admission/limits.h"

typedef enum {
  FK_ROUTE_NONE,         /* 404 */
  FK_ROUTE_WRONG_METHOD, /* 405 */
  FK_ROUTE_HEALTH,
  FK_ROUTE_HEARTBEAT,
  FK_ROUTE_SUBMIT,
  FK_ROUTE_POLL,
  FK_ROUTE_CANCEL
} FkRoute;

/* `job`, of POLL and CANCEL: the part of the path that names the job, `job_len` bytes, not zero-terminated.
 * Both may be NULL. */
FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len);
FkRequestClass fk_route_request_class(FkRoute route);
