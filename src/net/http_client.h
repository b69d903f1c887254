/* HTTP clients on libsoup: every call has a deadline, and a time for each of its steps; no answer is kept
 * that is longer than allowed; no proxy and no name look-up. */
#pragma once
#include <libsoup/soup.h>

typedef struct FkHttpClient FkHttpClient;
/* `status` is 0 when there was no answer, or one that was too long or too slow to be read. */
typedef void (*FkHttpCallback)(gpointer data, guint status, const char *body, gsize len);

/* For a few hosts: connections not used for `idle_s` are closed. */
FkHttpClient *fk_http_client_new(guint max_conns, guint max_conns_per_host, guint idle_s, gsize max_answer);
/* For many hosts, each called now and then: a connection for each call. */
FkHttpClient *fk_http_client_new_for_many_hosts(guint max_conns, gsize max_answer);
void fk_http_client_free(FkHttpClient *h);
/* `body` NULL: no body. */
void fk_http_client_call(FkHttpClient *h, const char *method, const char *addr, const char *path,
                         const char *body, double deadline_s, FkHttpCallback done, gpointer data);
