/* What the stand-ins share: HTTP servers on loopback addresses, and how a process of a run ends. */
#pragma once
#include <libsoup/soup.h>

#include "simulation/scale/plan.h"

typedef void (*FkStandInHandler)(SoupServer *server, SoupServerMessage *m, const char *path,
                                 GHashTable *query, gpointer data);

/* One server on one address; NULL: it is in use, or can't be had. */
SoupServer *fk_stand_in_serve(const char *addr, FkStandInHandler handler, gpointer data, GError **error);

/* One server on thousands of addresses, whose listening sockets are watched through a single descriptor: the
 * main loop looks at each source in every turn. */
typedef struct FkStandInListener FkStandInListener;
FkStandInListener *fk_stand_in_listener_new(FkStandInHandler handler, gpointer data, GError **error);
/* A number to close it by, or -1. */
int fk_stand_in_listener_add(FkStandInListener *a, const char *addr, GError **error);
void fk_stand_in_listener_remove(int number);

/* The address that the message came to, as it was given; to be freed. */
char *fk_stand_in_local_addr(SoupServerMessage *m);
const char *fk_stand_in_request_body(SoupServerMessage *m, gsize *len);
/* "" where it is missing. */
const char *fk_stand_in_query(GHashTable *query, const char *name);
void fk_stand_in_respond(SoupServerMessage *m, guint status, char *body /* taken */);

/* Runs the default main loop until the plan's seconds are over, and a moment more. */
void fk_stand_in_run(const FkScalePlan *p);
/* Says that a process of the run couldn't begin; its exit status. */
int fk_stand_in_start_failed(const char *who, const GError *error);
