/* Wire format of the users' API. Parsing is strict: a malformed submission is rejected with status 400. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Parses a submission; the caller frees the job's specification. Returns NULL and sets `reason` (static) if
 * the body is malformed. */
FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **reason);
/* Returns whether `id` has the form of a job's id. */
gboolean fk_user_id_is_valid(const char *id);
/* Response bodies, freed by the caller; fk_user_print_reply() prints an FK_OUTPUT_USER_REPLY. */
char *fk_user_print_reply(const FkOutput *output);
char *fk_user_print_error(const char *reason);
/* Prints the response to a health check, freed by the caller. */
char *fk_user_print_health(gboolean is_serving);

/* ---- the client's side, used by the simulated users ---- */
/* State of a job: its phase and its numbers of completed and running tasks. */
typedef struct {
  FkPhase phase;
  guint32 done, running;
} FkJobState;
/* Prints a submission, freed by the caller. */
char *fk_user_print_submission(const FkSpec *spec);
/* Parses the response to a submission, poll or cancellation. Returns FALSE if it isn't a job's state. */
gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out);
