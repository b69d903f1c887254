/* The workers' interface: reports, answers and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len); /* NULL: malformed */
char *fk_worker_print_reply(const FkOutput *o);
char *fk_worker_print_commands(const FkOutput *o);

/* The worker's side. */
typedef struct {
  FkFencingToken fencing_token;
  guint64 incarnation; /* of direct commands */
  GPtrArray *commands; /* FkCommand, owned */
  char *redirect;      /* where a 421 sends it, or NULL */
} FkWorkerCommands;
void fk_worker_commands_free(FkWorkerCommands *o);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerCommands, fk_worker_commands_free)
char *fk_worker_print_heartbeat(const FkHeartbeat *r);
/* An answer to a report, or direct commands; NULL: malformed, or without a token where one is needed. */
FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len);
FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len);
