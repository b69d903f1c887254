/* The users' interface. Strict: a malformed submission gets a 400. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* The job that is submitted; NULL and a reason (static): malformed. */
FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **reason);
/* Whether it may be a job's id. */
gboolean fk_user_id_is_valid(const char *id);
/* Responses, to be freed; the first from an FK_OUTPUT_USER_REPLY. */
char *fk_user_print_reply(const FkOutput *output);
char *fk_user_print_error(const char *reason);
/* The response to a health check. */
char *fk_user_print_health(gboolean is_serving);

/* ---- the user's side, for the simulated one ---- */
typedef struct {
  FkPhase phase;
  guint32 done, running;
} FkJobState;
/* To be freed. */
char *fk_user_print_submission(const FkSpec *spec);
/* FALSE: not a job's state. */
gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out);
