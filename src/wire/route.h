/* Routing of API requests by method and path. Admission control, which classifies requests, and the daemon,
 * which serves requests, both use fk_route_match(), so that both assign the same route to a request. */
#pragma once
#include "admission/limits.h"

/* Routes of the API. FK_ROUTE_NONE and FK_ROUTE_WRONG_METHOD are for requests that match no route. */
typedef enum {
  FK_ROUTE_NONE,         /* unknown path: status 404 */
  FK_ROUTE_WRONG_METHOD, /* known path, wrong method: status 405 */
  FK_ROUTE_HEALTH,
  FK_ROUTE_HEARTBEAT,
  FK_ROUTE_SUBMIT,
  FK_ROUTE_POLL,
  FK_ROUTE_CANCEL
} FkRoute;

/* Returns the route of a request. For FK_ROUTE_POLL and FK_ROUTE_CANCEL, sets `job` to the start of the job's
 * id within `path`, and `job_len` to the id's length in bytes. `job` and `job_len` may both be NULL. */
FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len);
/* Returns the class by which admission control prioritizes requests of `route`. */
FkRequestClass fk_route_request_class(FkRoute route);
