/* The cloud's interface. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

GPtrArray *fk_cloud_parse_types(const char *body, gsize len);                    /* FkType */
GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more); /* FkListed */
GPtrArray *fk_cloud_parse_names(const char *body, gsize len);                    /* char* */
gboolean fk_cloud_no_capacity(const char *body, gsize len);
char *fk_cloud_print_rent(const FkOut *o);
char *fk_cloud_print_return(const FkOut *o);

/* The cloud's side. */
typedef struct {
  char *hire, *type, *zone;
  gboolean spot;
  guint count;
} FkRental;
void fk_rental_free(FkRental *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRental, fk_rental_free)
FkRental *fk_cloud_parse_rental(const char *body, gsize len);          /* NULL: malformed */
char *fk_cloud_print_types(const GPtrArray *types);                    /* FkType */
char *fk_cloud_print_names(const GPtrArray *names);                    /* char* */
char *fk_cloud_print_machines(const GPtrArray *listed, gboolean more); /* FkListed */
char *fk_cloud_print_no_capacity(void);
