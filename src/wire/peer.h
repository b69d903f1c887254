/* Wire format of the API between controllers: how far each controller has followed the store's changes. */
#pragma once
#include "common/types.h"
#include "wire/json.h"

#define FK_PEER_PROGRESS_PATH "/seen"

/* How far a controller has followed the store's changes. */
typedef struct {
  const char *incarnation; /* incarnation of the controller's process; borrowed */
  FkRev seen;              /* latest revision that the controller knows to be committed */
  /* Revision that the controller's view of the store has reached; 0 if the controller has no view, or if its
   * response lacks this revision. */
  FkRev applied;
  double store_age_s; /* seconds since the store last responded to the controller */
} FkPeerProgress;

/* Parses a progress report; `json` may be NULL. Returns FALSE if the report is malformed. The incarnation in
 * `out` belongs to `json`. */
gboolean fk_peer_parse_progress(const cJSON *json, FkPeerProgress *out);
/* Prints a progress report as a response body; the caller frees the body. */
char *fk_peer_print_progress(const FkPeerProgress *progress);
