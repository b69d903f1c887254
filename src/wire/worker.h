/* Wire format of the workers' API: heartbeats, replies to heartbeats, and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Parses a heartbeat; the caller frees the result. Returns NULL if the body is malformed. */
FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len);
/* Prints the reply of an FK_OUTPUT_HEARTBEAT_REPLY to a worker's heartbeat; the caller frees the body. */
char *fk_worker_print_reply(const FkOutput *output);
/* Prints the commands of an FK_OUTPUT_COMMANDS, which are sent directly, not with the reply to a heartbeat;
 * the caller frees the body. */
char *fk_worker_print_commands(const FkOutput *output);

/* ---- the worker's side, used by the simulated workers ---- */
/* Commands that a worker received, or a redirect to another controller. */
typedef struct {
  FkFencingToken fencing_token; /* 0 if the body has none */
  /* Incarnation of the worker to which the commands are addressed; 0 if the commands came with the reply to a
   * heartbeat. */
  guint64 incarnation;
  GPtrArray *commands; /* FkCommand; owned, empty if there are none */
  char *redirect;      /* name of the controller to which the worker is redirected; NULL if none */
} FkWorkerCommands;
void fk_worker_commands_free(FkWorkerCommands *commands);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerCommands, fk_worker_commands_free)
/* Prints a heartbeat without its termination notice; the caller frees the body. */
char *fk_worker_print_heartbeat(const FkHeartbeat *heartbeat);
/* Parses the reply to a heartbeat; the caller frees the result. Returns NULL if `status` is neither 200 nor
 * 421, or if the body is malformed or has neither a fencing token nor a redirect. */
FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len);
/* Parses commands that were sent directly, not with the reply to a heartbeat; the caller frees the result.
 * Returns NULL if the body is malformed, lacks the worker's incarnation, or has neither a fencing token nor a
 * redirect. */
FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len);
