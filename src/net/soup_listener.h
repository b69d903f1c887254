/* A libsoup server behind the door. */
#pragma once
#include <libsoup/soup.h>

#include "net/server.h"

/* The server's requests come from `where`, through the door. The server must outlive the door's connections,
 * and listens nowhere itself. `ask` and `refusal`: see FkListenerHandler. */
gboolean fk_soup_listener_open(FkServer *d, SoupServer *server, const char *where, FkConnectionClass guest,
                               FkRequestClass (*ask)(const char *method, const char *path),
                               char *(*refusal)(const char *why), GError **error);
