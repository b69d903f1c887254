/* HTTP clients on libsoup: every call has a deadline, no proxy and no name look-up. */
#pragma once
#include <libsoup/soup.h>

typedef struct FkHttp FkHttp;
/* `status` is 0 when there was no answer. `sent` is FALSE when it is certain that nothing went out. */
typedef void (*FkHttpDone)(gpointer data, guint status, const char *body, gsize len);

/* For a few hosts: connections not used for `idle_s` are closed. */
FkHttp *fk_http_new(guint max_conns, guint max_conns_per_host, guint idle_s);
/* For many hosts, each called now and then: a connection for each call. */
FkHttp *fk_http_new_many(guint max_conns);
void fk_http_free(FkHttp *h);
/* `body` NULL: no body. */
void fk_http_call(FkHttp *h, const char *method, const char *addr, const char *path, const char *body,
                  double deadline_s, FkHttpDone done, gpointer data);
