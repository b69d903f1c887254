/* The workers' interface: heartbeats, replies and commands. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* To be freed; NULL: malformed. */
FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len);
/* To be freed; from an FK_OUTPUT_HEARTBEAT_REPLY and an FK_OUTPUT_COMMANDS. */
char *fk_worker_print_reply(const FkOutput *output);
char *fk_worker_print_commands(const FkOutput *output);

/* ---- the worker's side, for the simulated one ---- */
typedef struct {
  FkFencingToken fencing_token;
  guint64 incarnation; /* of direct commands: whom they are for */
  GPtrArray *commands; /* FkCommand, owned */
  char *redirect;      /* the controller's address that a 421 names, or NULL */
} FkWorkerCommands;
void fk_worker_commands_free(FkWorkerCommands *commands);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkWorkerCommands, fk_worker_commands_free)
/* To be freed. */
char *fk_worker_print_heartbeat(const FkHeartbeat *heartbeat);
/* The reply to a heartbeat, and direct commands; NULL: malformed, or without a token where one is needed. */
FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len);
FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len);
