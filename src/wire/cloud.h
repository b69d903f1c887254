/* Wire format of the cloud provider's API: the JSON bodies of requests and responses, printed and parsed for
 * the controller and for the simulated provider. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* ---- the controller's side: request bodies, freed by the caller ---- */
/* Prints the request for an FK_OUTPUT_PROVISION. */
char *fk_cloud_print_provision(const FkOutput *output);
/* Prints the request for an FK_OUTPUT_TERMINATE. */
char *fk_cloud_print_terminate(const FkOutput *output);

/* ---- the controller's side: responses; arrays owned by the caller, NULL if malformed ---- */
/* Parses the list of instance types (FkInstanceType). */
GPtrArray *fk_cloud_parse_types(const char *body, gsize len);
/* Parses one page of the list of machines (FkCloudMachine). Sets `more` to whether another page follows. */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more);
/* Parses the response to a provisioning request: the ids (char*) of the provisioned machines. */
GPtrArray *fk_cloud_parse_names(const char *body, gsize len);
/* Returns whether an error response says that the provider has no capacity for the requested machines at
 * present. */
gboolean fk_cloud_is_no_capacity(const char *body, gsize len);

/* ---- the provider's side, used by the simulated provider ---- */
#define FK_INSTANCE_REQUEST_MAX 50 /* machines in one request at most */

/* A request to provision `count` machines. It is idempotent: a retry with the same `name` returns the same
 * machines. */
typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
} FkInstanceRequest;
void fk_instance_request_free(FkInstanceRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkInstanceRequest, fk_instance_request_free)
/* Parses a provisioning request, freed by the caller; returns NULL if the body is malformed. */
FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len);

/* Response bodies, freed by the caller. */
char *fk_cloud_print_types(const GPtrArray *types /* FkInstanceType */);
char *fk_cloud_print_names(const GPtrArray *ids /* char* */);
char *fk_cloud_print_machines(const GPtrArray *machines /* FkCloudMachine */, gboolean more);
char *fk_cloud_print_no_capacity(void);
