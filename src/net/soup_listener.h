/* A libsoup server behind the door. */
#pragma once
#include <libsoup/soup.h>

#include "net/server.h"

/* The server's requests come from `where`, through the door. The server must outlive the door's connections,
 * and listens nowhere itself. `ask` and `refusal`: see FkDoorKeeper. */
gboolean fk_soup_door_listen(FkDoor *d, SoupServer *server, const char *where, FkGuest guest,
                             FkAsk (*ask)(const char *method, const char *path),
                             char *(*refusal)(const char *why), GError **error);
