/* Runs a libsoup server on connections that an FkServer accepts. */
#pragma once
#include <libsoup/soup.h>

#include "net/server.h"

/* Lets `soup_server` serve the requests that arrive at `address`. `soup_server` must outlive the connections
 * of `server`; it accepts no connections itself. For `connection_class`, `classify` and `rejection_body` see
 * FkListenerHandler. Returns FALSE with `error` set if listening fails. */
gboolean fk_soup_listener_open(FkServer *server, SoupServer *soup_server, const char *address,
                               FkConnectionClass connection_class,
                               FkRequestClass (*classify)(const char *method, const char *path),
                               char *(*rejection_body)(const char *reason), GError **error);
