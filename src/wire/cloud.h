/* The cloud's interface. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

GPtrArray *fk_cloud_parse_types(const char *body, gsize len);                    /* FkInstanceType */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more); /* FkCloudMachine */
GPtrArray *fk_cloud_parse_names(const char *body, gsize len);                    /* char* */
gboolean fk_cloud_is_no_capacity(const char *body, gsize len);
char *fk_cloud_print_provision(const FkOutput *o);
char *fk_cloud_print_terminate(const FkOutput *o);

/* The cloud's side. */
typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
} FkInstanceRequest;
void fk_instance_request_free(FkInstanceRequest *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkInstanceRequest, fk_instance_request_free)
FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len); /* NULL: malformed */
char *fk_cloud_print_types(const GPtrArray *types);                              /* FkInstanceType */
char *fk_cloud_print_names(const GPtrArray *names);                              /* char* */
char *fk_cloud_print_machines(const GPtrArray *listed, gboolean more);           /* FkCloudMachine */
char *fk_cloud_print_no_capacity(void);
