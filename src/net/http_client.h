/* HTTP clients on libsoup. Each call has a deadline, and a time limit for each of its steps; no response is
 * kept that is longer than allowed; no proxy, and no name look-up. */
#pragma once
#include <libsoup/soup.h>

typedef struct FkHttpClient FkHttpClient;
/* `status` 0: there was no response, or one that was too long or too slow to be read. `body` is valid until
 * the callback returns. */
typedef void (*FkHttpCallback)(gpointer data, guint status, const char *body, gsize len);

/* For a few hosts: idle connections are closed after `idle_s`. */
FkHttpClient *fk_http_client_new(guint connections_max, guint connections_per_host_max, guint idle_s,
                                 gsize response_bytes_max);
/* For many hosts that are called now and then: one connection a call. */
FkHttpClient *fk_http_client_new_for_many_hosts(guint connections_max, gsize response_bytes_max);
/* Calls that wait are dropped without a callback. NULL is fine. */
void fk_http_client_free(FkHttpClient *client);
/* Calls http://`addr``path`, `addr` being an IP address and a port. `body` (JSON) NULL: none. `callback` is
 * called once. */
void fk_http_client_call(FkHttpClient *client, const char *method, const char *addr, const char *path,
                         const char *body, double deadline_s, FkHttpCallback callback, gpointer data);
