/* The workers' interface: reports, answers and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

FkReport *fk_worker_parse_report(const char *body, gsize len); /* NULL: malformed */
char *fk_worker_print_reply(const FkOut *o);
char *fk_worker_print_commands(const FkOut *o);

/* The worker's side. */
typedef struct {
  FkToken token;
  guint64 session;   /* of direct commands */
  GPtrArray *orders; /* FkOrder, owned */
  char *foreman;     /* where a 421 sends it, or NULL */
} FkWorkerOrders;
void fk_worker_orders_free(FkWorkerOrders *o);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerOrders, fk_worker_orders_free)
char *fk_worker_print_report(const FkReport *r);
/* An answer to a report, or direct commands; NULL: malformed, or without a token where one is needed. */
FkWorkerOrders *fk_worker_parse_reply(guint status, const char *body, gsize len);
FkWorkerOrders *fk_worker_parse_commands(const char *body, gsize len);
