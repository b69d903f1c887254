#include "wire/route.h"

#include <string.h>

#define JOBS "/submissions"
#define CANCEL "/withdraw"

static FkRoute by_method(const char *method, const char *needed, FkRoute route) {
  return g_str_equal(method, needed) ? route : FK_ROUTE_WRONG_METHOD;
}

FkRoute fk_route_match(const char *method, const char *path, const char **job, gsize *job_len) {
  gsize len = strcspn(path, "?#"), jobs = strlen(JOBS), cancel = strlen(CANCEL);
  if (len == 3 && strncmp(path, "/up", len) == 0)
    return by_method(method, "GET", FK_ROUTE_HEALTH);
  if (len == 6 && strncmp(path, "/hello", len) == 0)
    return by_method(method, "POST", FK_ROUTE_HEARTBEAT);
  if (len < jobs || strncmp(path, JOBS, jobs) != 0)
    return FK_ROUTE_NONE;
  if (len == jobs)
    return by_method(method, "POST", FK_ROUTE_SUBMIT);
  if (path[jobs] != '/')
    return FK_ROUTE_NONE;
  const char *name = path + jobs + 1, *end = path + len;
  const char *slash = memchr(name, '/', (gsize)(end - name));
  gboolean withdraw = slash && (gsize)(end - slash) == cancel && strncmp(slash, CANCEL, cancel) == 0;
  if (slash && !withdraw)
    return FK_ROUTE_NONE;
  if (job) {
    *job = name;
    *job_len = (gsize)((slash ? slash : end) - name);
  }
  return withdraw ? by_method(method, "POST", FK_ROUTE_CANCEL) : by_method(method, "GET", FK_ROUTE_POLL);
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
  default:
    return FK_REQUEST_CLASS_OTHER;
  }
}
