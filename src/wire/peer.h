/* The interface between controllers: how far each has seen the store's changes. */
#pragma once
#include "common/types.h"
#include "wire/json.h"

#define FK_PEER_PROGRESS_PATH "/seen"

/* What a controller has seen of the store. */
typedef struct {
  const char *incarnation; /* of the controller's process; borrowed */
  FkRev seen;              /* the latest revision that it knows to be committed */
  FkRev applied;           /* the revision that its view has reached; 0: it has no view, or doesn't say */
  double store_age_s;      /* since the store last answered it */
} FkPeerProgress;

/* FALSE: not a progress. The incarnation in `out` is `json`'s, which may be NULL. */
gboolean fk_peer_parse_progress(const cJSON *json, FkPeerProgress *out);
/* To be freed. */
char *fk_peer_print_progress(const FkPeerProgress *progress);
