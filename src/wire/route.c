#include "wire/route.h"

#include <string.h>

#define HEALTH_PATH "/up"
#define HEARTBEAT_PATH "/hello"
#define JOBS_PATH "/submissions"
#define CANCEL_SUFFIX "/withdraw"

static FkRoute route_if_method(const char *method, const char *required_method, FkRoute route) {
  return g_str_equal(method, required_method) ? route : FK_ROUTE_WRONG_METHOD;
}

static gboolean path_equals(const char *path, gsize len, const char *expected) {
  return len == strlen(expected) && strncmp(path, expected, len) == 0;
}

FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len) {
  gsize len = strcspn(path, "?#");
  gsize jobs = strlen(JOBS_PATH), cancel = strlen(CANCEL_SUFFIX);
  if (path_equals(path, len, HEALTH_PATH))
    return route_if_method(method, "GET", FK_ROUTE_HEALTH);
  if (path_equals(path, len, HEARTBEAT_PATH))
    return route_if_method(method, "POST", FK_ROUTE_HEARTBEAT);
  if (len < jobs || strncmp(path, JOBS_PATH, jobs) != 0)
    return FK_ROUTE_NONE;
  if (len == jobs)
    return route_if_method(method, "POST", FK_ROUTE_SUBMIT);
  if (path[jobs] != '/')
    return FK_ROUTE_NONE;
  const char *name = path + jobs + 1, *end = path + len;
  const char *slash = memchr(name, '/', (gsize)(end - name));
  gboolean is_cancel = slash && (gsize)(end - slash) == cancel && strncmp(slash, CANCEL_SUFFIX, cancel) == 0;
  if (slash && !is_cancel)
    return FK_ROUTE_NONE;
  if (job) {
    *job = name;
    *job_len = (gsize)((slash ? slash : end) - name);
  }
  return is_cancel ? route_if_method(method, "POST", FK_ROUTE_CANCEL)
                   : route_if_method(method, "GET", FK_ROUTE_POLL);
}

FkRequestClass fk_route_request_class(FkRoute route) {
  switch (route) {
  case FK_ROUTE_HEALTH:
    return FK_REQUEST_CLASS_HEALTH;
  case FK_ROUTE_HEARTBEAT:
    return FK_REQUEST_CLASS_HEARTBEAT;
  case FK_ROUTE_CANCEL:
    return FK_REQUEST_CLASS_CANCEL;
  case FK_ROUTE_POLL:
    return FK_REQUEST_CLASS_POLL;
  case FK_ROUTE_SUBMIT:
    return FK_REQUEST_CLASS_SUBMIT;
  case FK_ROUTE_NONE:
  case FK_ROUTE_WRONG_METHOD:
    return FK_REQUEST_CLASS_OTHER;
  }
  g_return_val_if_reached(FK_REQUEST_CLASS_OTHER);
}
