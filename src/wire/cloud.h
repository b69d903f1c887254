/* Wire format of the cloud provider's API: the JSON bodies of requests and responses, printed and parsed for
 * the controller and for the simulated provider. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* ---- the controller's side: request bodies ---- */
/* Prints the provisioning request that an FK_OUTPUT_PROVISION describes; the caller frees the body. */
char *fk_cloud_print_provision(const FkOutput *output);
/* Prints the termination request that an FK_OUTPUT_TERMINATE describes; the caller frees the body. */
char *fk_cloud_print_terminate(const FkOutput *output);

/* ---- the controller's side: responses ---- */
/* Parses the list of instance types into an array of FkInstanceType, which the caller owns. Types without a
 * name are left out. Returns NULL if the body is malformed. */
GPtrArray *fk_cloud_parse_types(const char *body, gsize len);
/* Parses one page of the list of machines into an array of FkCloudMachine, which the caller owns. Machines
 * without an id, state, type or zone are left out. Sets `more` to whether another page follows. Returns NULL
 * if the body is malformed. */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more);
/* Parses a list of machine ids (char*) into an array, which the caller owns. The response to a provisioning
 * request and the body of a termination request are lists of this form. Returns NULL if the body is
 * malformed. */
GPtrArray *fk_cloud_parse_machine_ids(const char *body, gsize len);
/* Returns whether an error response says that the provider has no capacity for the requested machines at
 * present. */
gboolean fk_cloud_is_no_capacity(const char *body, gsize len);

/* ---- the provider's side, used by the simulated provider ---- */
#define FK_INSTANCE_REQUEST_MAX 50 /* maximum number of machines in one provisioning request */

/* A request to provision `count` machines. The request is idempotent: a retry with the same `name` returns
 * the same machines. */
typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
} FkInstanceRequest;
void fk_instance_request_free(FkInstanceRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkInstanceRequest, fk_instance_request_free)
/* Parses a provisioning request; the caller frees the result. Returns NULL if the body is malformed, or if
 * `count` isn't from 1 to FK_INSTANCE_REQUEST_MAX. */
FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len);

/* Print response bodies, which the caller frees. `more` says whether another page of the list follows. */
char *fk_cloud_print_types(const GPtrArray *types /* FkInstanceType */);
char *
fk_cloud_print_machine_ids(const GPtrArray *ids /* char* */); /* also the body of a termination request */
char *fk_cloud_print_machines(const GPtrArray *machines /* FkCloudMachine */, gboolean more);
char *fk_cloud_print_no_capacity(void);
