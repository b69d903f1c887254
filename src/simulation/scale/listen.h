/* What the stand-ins share: HTTP servers on loopback addresses, and how a process of a run ends. */
#pragma once
#include <libsoup/soup.h>

#include "simulation/scale/plan.h"

typedef void (*FkScaleHandler)(SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
                               gpointer data);

/* One server on one address; NULL: it is in use, or can't be had. */
SoupServer *fk_scale_serve(const char *addr, FkScaleHandler handler, gpointer data, GError **error);

/* One server on thousands of addresses, whose listening sockets are watched through a single descriptor: the
 * main loop looks at each source in every turn. */
typedef struct FkManyAddresses FkManyAddresses;
FkManyAddresses *fk_many_addresses_new(FkScaleHandler handler, gpointer data, GError **error);
/* A number to close it by, or -1. */
int fk_many_addresses_listen(FkManyAddresses *a, const char *addr, GError **error);
void fk_many_addresses_close(int number);

/* The address that the message came to, as it was given; to be freed. */
char *fk_scale_local_addr(SoupServerMessage *m);
const char *fk_scale_body(SoupServerMessage *m, gsize *len);
/* "" where it is missing. */
const char *fk_scale_query(GHashTable *query, const char *name);
void fk_scale_respond(SoupServerMessage *m, guint status, char *body /* taken */);

/* Runs the default main loop until the plan's seconds are over, and a moment more. */
void fk_scale_run_until_over(const FkScalePlan *p);
/* Says that a process of the run couldn't begin; its exit status. */
int fk_scale_failed(const char *who, const GError *error);
