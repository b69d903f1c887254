/* Wire format of the users' API. A malformed submission is rejected with status 400. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Parses a submission; the caller frees the job's specification. If the body is malformed, returns NULL and
 * sets `reason`, a static string, to the name of the faulty field, or to a message if the body isn't a JSON
 * object. */
FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **reason);
/* Returns whether `id` has the form of a job's id: "run-" and 1 to 20 digits. */
gboolean fk_user_id_is_valid(const char *id);
/* Print response bodies, which the caller frees: the reply that an FK_OUTPUT_USER_REPLY describes, and an
 * error message. */
char *fk_user_print_reply(const FkOutput *output);
char *fk_user_print_error(const char *reason);
/* Prints the response to a health check, freed by the caller. */
char *fk_user_print_health(gboolean is_serving);

/* ---- the client's side, used by the simulated users ---- */
/* State of a job: the job's phase, and the numbers of completed and running tasks. */
typedef struct {
  FkPhase phase;
  guint32 done, running;
} FkJobState;
/* Prints a submission without instance types and dependencies; the caller frees the body. */
char *fk_user_print_submission(const FkSpec *spec);
/* Parses the response to a submission, poll or cancellation. Returns FALSE if the response has no valid
 * phase. */
gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out);
