/* The cloud provider's interface. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* ---- requests: to be freed ---- */
/* From an FK_OUTPUT_PROVISION. */
char *fk_cloud_print_provision(const FkOutput *output);
/* From an FK_OUTPUT_TERMINATE. */
char *fk_cloud_print_terminate(const FkOutput *output);

/* ---- responses: owned; NULL: malformed ---- */
/* FkInstanceType. */
GPtrArray *fk_cloud_parse_types(const char *body, gsize len);
/* FkCloudMachine. `more`: the list goes on. */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more);
/* char*: the machines that are provisioned. */
GPtrArray *fk_cloud_parse_machine_ids(const char *body, gsize len);
/* An error response that means: there are no such machines now. */
gboolean fk_cloud_is_no_capacity(const char *body, gsize len);

/* ---- the provider's side, for the simulated one ---- */
#define FK_INSTANCE_REQUEST_MAX 50 /* machines of one request */

typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
} FkInstanceRequest;
void fk_instance_request_free(FkInstanceRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkInstanceRequest, fk_instance_request_free)
/* NULL: malformed. */
FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len);

/* Responses, to be freed. */
char *fk_cloud_print_types(const GPtrArray *types /* FkInstanceType */);
char *fk_cloud_print_machine_ids(const GPtrArray *names /* char* */);
char *fk_cloud_print_machines(const GPtrArray *machines /* FkCloudMachine */, gboolean more);
char *fk_cloud_print_no_capacity(void);
