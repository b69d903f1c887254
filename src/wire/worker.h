/* Wire format of the workers' API: heartbeats, the replies to them, and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Parses a heartbeat, freed by the caller; returns NULL if the body is malformed. */
FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len);
/* Print the reply to a heartbeat (FK_OUTPUT_HEARTBEAT_REPLY) and direct commands (FK_OUTPUT_COMMANDS); the
 * caller frees the result. */
char *fk_worker_print_reply(const FkOutput *output);
char *fk_worker_print_commands(const FkOutput *output);

/* ---- the worker's side, used by the simulated workers ---- */
/* Commands received by a worker, or a redirect to another controller. */
typedef struct {
  FkFencingToken fencing_token; /* 0 if the body has none */
  /* Incarnation of the worker to which direct commands are addressed; 0 for the reply to a heartbeat. */
  guint64 incarnation;
  GPtrArray *commands; /* FkCommand; owned, empty if there are none */
  char *redirect;      /* address of the controller to which status 421 redirects the worker; NULL if none */
} FkWorkerCommands;
void fk_worker_commands_free(FkWorkerCommands *commands);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerCommands, fk_worker_commands_free)
/* Prints a heartbeat, freed by the caller. */
char *fk_worker_print_heartbeat(const FkHeartbeat *heartbeat);
/* Parse the reply to a heartbeat, and direct commands; the caller frees the result. Return NULL if the body
 * is malformed or has neither a fencing token nor a redirect. fk_worker_parse_reply() also returns NULL
 * if `status` is neither 200 nor 421. */
FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len);
FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len);
