#include "wire/peer.h"

#define STORE_AGE_UNKNOWN_S 1e6 /* store age assumed if a peer's response has none */

gboolean fk_peer_parse_progress(const cJSON *json, FkPeerProgress *out) {
  *out = (FkPeerProgress){.incarnation = json ? fk_json_str(json, "life") : NULL};
  if (!out->incarnation || !fk_json_u64(json, "seen", &out->seen.n))
    return FALSE;
  fk_json_u64(json, "applied", &out->applied.n); /* responses of earlier versions lack "applied" */
  out->store_age_s = fk_json_num_or(json, "store_age_s", STORE_AGE_UNKNOWN_S);
  return TRUE;
}

char *fk_peer_print_progress(const FkPeerProgress *progress) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "life", progress->incarnation);
  fk_json_add_u64(json, "seen", progress->seen.n);
  fk_json_add_u64(json, "applied", progress->applied.n);
  cJSON_AddNumberToObject(json, "store_age_s", progress->store_age_s);
  return fk_json_print(json);
}
