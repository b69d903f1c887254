/* HTTP/1 clients on libsoup. Each call has a deadline, and separate time limits for connecting and for
 * reading the body. A response over the size limit is discarded. No proxy is used, and no host name is
 * resolved. */
#pragma once
#include <libsoup/soup.h>

typedef struct FkHttpClient FkHttpClient;
/* Receives the result of a call. `status` is 0 if there was no response, or if the response was too long or
 * too slow. `body` is valid until the callback returns. */
typedef void (*FkHttpCallback)(gpointer data, guint status, const char *body, gsize len);

/* Creates a client for a few hosts. Idle connections are closed after `idle_s`. At most `connections_max`
 * calls are in progress; further calls are queued. */
FkHttpClient *fk_http_client_new(guint connections_max, guint connections_per_host_max, guint idle_s,
                                 gsize response_bytes_max);
/* Creates a client for many hosts that are called occasionally. Each call uses a new connection. */
FkHttpClient *fk_http_client_new_for_many_hosts(guint connections_max, gsize response_bytes_max);
/* Frees the client. Queued calls are dropped without a callback. `client` may be NULL. */
void fk_http_client_free(FkHttpClient *client);
/* Calls http://`addr``path`; `addr` is an IP address and a port. `body` is JSON, or NULL if the request has
 * none. `callback` is called once; if `addr` is invalid, it is called before this function returns. */
void fk_http_client_call(FkHttpClient *client, const char *method, const char *addr, const char *path,
                         const char *body, double deadline_s, FkHttpCallback callback, gpointer data);
