/* Routing of API requests by method and path. Admission control, which classifies requests, and the daemon,
 * which serves them, share this one table, so that they can't disagree. */
#pragma once
#include "admission/limits.h"

/* Routes of the API, and the two kinds of requests that match none. */
typedef enum {
  FK_ROUTE_NONE,         /* unknown path: status 404 */
  FK_ROUTE_WRONG_METHOD, /* known path, wrong method: status 405 */
  FK_ROUTE_HEALTH,
  FK_ROUTE_HEARTBEAT,
  FK_ROUTE_SUBMIT,
  FK_ROUTE_POLL,
  FK_ROUTE_CANCEL
} FkRoute;

/* Returns the route of a request. For POLL and CANCEL, sets `job` to the part of the path that names the job,
 * `job_len` bytes without a terminating zero. `job` and `job_len` may both be NULL. */
FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len);
/* Returns the class by which admission control orders requests of this route. */
FkRequestClass fk_route_request_class(FkRoute route);
