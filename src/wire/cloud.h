/* Wire format of the cloud provider's API: the JSON bodies of requests and responses, printed and parsed for
 * the controller and for the simulated provider. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* ---- the controller's side: request bodies, freed by the caller ---- */
/* Prints the request that an FK_OUTPUT_PROVISION describes. */
char *fk_cloud_print_provision(const FkOutput *output);
/* Prints the request that an FK_OUTPUT_TERMINATE describes. */
char *fk_cloud_print_terminate(const FkOutput *output);

/* ---- the controller's side: responses; the caller owns the returned arrays ---- */
/* Parses the list of instance types into an array of FkInstanceType; types without a name are left out.
 * Returns NULL if the body is malformed. */
GPtrArray *fk_cloud_parse_types(const char *body, gsize len);
/* Parses one page of the list of machines into an array of FkCloudMachine; machines without an id, state,
 * type or zone are left out. Sets `more` to whether another page follows. Returns NULL if the body is
 * malformed. */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more);
/* Parses the response to a provisioning request: the ids (char*) of the provisioned machines. Returns NULL if
 * the body is malformed. */
GPtrArray *fk_cloud_parse_names(const char *body, gsize len);
/* Returns whether an error response says that the provider has no capacity for the requested machines at
 * present. */
gboolean fk_cloud_is_no_capacity(const char *body, gsize len);

/* ---- the provider's side, used by the simulated provider ---- */
#define FK_INSTANCE_REQUEST_MAX 50 /* maximum number of machines in one request */

/* A request to provision `count` machines. The request is idempotent: a retry with the same `name` returns
 * the same machines. */
typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
} FkInstanceRequest;
void fk_instance_request_free(FkInstanceRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkInstanceRequest, fk_instance_request_free)
/* Parses a provisioning request, freed by the caller. Returns NULL if the body is malformed, or if `count`
 * isn't from 1 to FK_INSTANCE_REQUEST_MAX. */
FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len);

/* Print response bodies, which the caller frees. `more` says whether another page of the list follows. */
char *fk_cloud_print_types(const GPtrArray *types /* FkInstanceType */);
char *fk_cloud_print_names(const GPtrArray *ids /* char* */);
char *fk_cloud_print_machines(const GPtrArray *machines /* FkCloudMachine */, gboolean more);
char *fk_cloud_print_no_capacity(void);
