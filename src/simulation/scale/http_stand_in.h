/* HTTP servers of the stand-ins on loopback addresses, and access to their requests. */
#pragma once
#include <libsoup/soup.h>

typedef void (*FkStandInHandler)(SoupServer *server, SoupServerMessage *message, const char *path,
                                 GHashTable *query, gpointer data);

/* A server on one address ("IP:PORT"); NULL with an error when it is in use or can't be had. */
SoupServer *fk_stand_in_serve(const char *addr, FkStandInHandler handler, gpointer data, GError **error);

/* One server on thousands of addresses. Its listening sockets are watched through one epoll descriptor,
 * because the main loop visits each of its sources in every iteration. */
typedef struct FkStandInListener FkStandInListener;
/* Without addresses at first; lives as long as the process. */
FkStandInListener *fk_stand_in_listener_new(FkStandInHandler handler, gpointer data);
/* Listens at one more address. A descriptor for fk_stand_in_listener_remove(), or -1 with an error. */
int fk_stand_in_listener_add(FkStandInListener *listener, const char *addr, GError **error);
/* Stops listening; -1 is ignored. */
void fk_stand_in_listener_remove(int descriptor);

/* The address that the request came to, as "IP:PORT"; to be freed. */
char *fk_stand_in_local_addr(SoupServerMessage *message);
/* "" when there is none; valid as long as the message. */
const char *fk_stand_in_request_body(SoupServerMessage *message, gsize *len);
/* The value of a query parameter; "" when it is missing. */
const char *fk_stand_in_query(GHashTable *query, const char *name);
/* Answers with a JSON body, which is taken. */
void fk_stand_in_respond(SoupServerMessage *message, guint status, char *body);
