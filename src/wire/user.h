/* The users' interface. Strict: what is malformed gets a 400. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* NULL and a reason when the submission is malformed. */
FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **why);
gboolean fk_user_id_is_valid(const char *id);
char *fk_user_print_reply(const FkOutput *o);
char *fk_user_print_error(const char *why);

/* The user's side. */
typedef struct {
  FkPhase phase;
  guint32 done, running;
} FkJobState;
char *fk_user_print_submission(const FkSpec *s);
/* FALSE: not a job's state. */
gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out);
