/* Wire format of the workers' API: heartbeats, the replies to them, and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Parses a heartbeat, freed by the caller; returns NULL if the body is malformed. */
FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len);
/* Print an FK_OUTPUT_HEARTBEAT_REPLY and an FK_OUTPUT_COMMANDS; the caller frees the result. */
char *fk_worker_print_reply(const FkOutput *output);
char *fk_worker_print_commands(const FkOutput *output);

/* ---- the worker's side, used by the simulated workers ---- */
/* Commands received by a worker, or a redirect to another controller. */
typedef struct {
  FkFencingToken fencing_token;
  /* Worker incarnation that direct commands are addressed to; 0 in the reply to a heartbeat. */
  guint64 incarnation;
  /* Commands for the worker (FkCommand); owned. */
  GPtrArray *commands;
  char *redirect; /* address of the controller that a 421 redirects to; NULL if none */
} FkWorkerCommands;
void fk_worker_commands_free(FkWorkerCommands *commands);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerCommands, fk_worker_commands_free)
/* Prints a heartbeat, freed by the caller. */
char *fk_worker_print_heartbeat(const FkHeartbeat *heartbeat);
/* Parse the reply to a heartbeat, and direct commands; the caller frees the result. Return NULL if the body
 * is malformed, or has no fencing token where one is required. */
FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len);
FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len);
