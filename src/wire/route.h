/* Routing of API requests by method and path. Admission control, which classifies requests, and the daemon,
 * which serves requests, both use fk_route_match(), so that they can't disagree about a request's route. */
#pragma once
#include "admission/limits.h"

/* Routes of the API, and the two ways in which a request matches none of them. */
typedef enum {
  FK_ROUTE_NONE,         /* unknown path: status 404 */
  FK_ROUTE_WRONG_METHOD, /* known path, wrong method: status 405 */
  FK_ROUTE_HEALTH,
  FK_ROUTE_HEARTBEAT,
  FK_ROUTE_SUBMIT,
  FK_ROUTE_POLL,
  FK_ROUTE_CANCEL
} FkRoute;

/* Returns the route of a request. For FK_ROUTE_POLL and FK_ROUTE_CANCEL, sets `job` to the part of the path
 * that names the job, `job_len` bytes without a terminating zero. `job` and `job_len` may both be NULL. */
FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len);
/* Returns the class by which admission control prioritizes requests of this route. */
FkRequestClass fk_route_request_class(FkRoute route);
