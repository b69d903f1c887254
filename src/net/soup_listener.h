/* A libsoup server whose connections come from an FkServer. */
#pragma once
#include <libsoup/soup.h>

#include "net/server.h"

/* `soup_server` serves the requests that come to `address`. It must outlive the server's connections, and
 * listens nowhere itself. `classify` and `rejection_body`: see FkListenerHandler. FALSE and an error: the
 * address isn't to be had. */
gboolean fk_soup_listener_open(FkServer *server, SoupServer *soup_server, const char *address,
                               FkConnectionClass connection_class,
                               FkRequestClass (*classify)(const char *method, const char *path),
                               char *(*rejection_body)(const char *reason), GError **error);
