/* The gate decides who may come in, whose request is taken, and who must go: a state machine without sockets
 * or clocks. Every operation takes constant time, however many connections there are; times are microseconds
 * of the steady clock and never go back. */
#pragma once
#include "admission/limits.h"

typedef struct FkGate FkGate;
typedef struct FkParty FkParty; /* all connections of one address */

typedef enum {
  FK_STAGE_OUT,    /* not in the gate's care */
  FK_STAGE_FRESH,  /* connected, and nothing said yet */
  FK_STAGE_HEAD,   /* a part of a request's head has come */
  FK_STAGE_BODY,   /* a part of its body */
  FK_STAGE_SERVED, /* the request is under way */
  FK_STAGE_SEND,   /* its answer isn't taken as fast as it is given */
  FK_STAGE_IDLE,   /* between two requests */
  FK_STAGE_ENDING, /* told to go: what it still sends is thrown away for a moment, so that it reads why */
  FK_STAGES
} FkStage;

/* One connection. Lives in its owner's record; only gate.c writes it. */
typedef struct {
  FkParty *party;
  FkGuest guest;
  FkAsk ask;
  FkStage stage;
  gboolean proven; /* has had an answer */
  gint64 since_us; /* in this stage */
  gsize held;      /* bytes */
  GList by_stage, by_party;
} FkSlot;

/* What is to be answered before a connection is closed; status 0: nothing. `why` is static. */
typedef struct {
  guint status;
  guint retry_s;
  const char *why;
} FkVerdict;

typedef enum {
  FK_SHUT_TIME,   /* a step took too long */
  FK_SHUT_CROWD,  /* closed for others, of its address or of its kind */
  FK_SHUT_BUSY,   /* too many requests under way */
  FK_SHUT_MEMORY, /* too many bytes held */
  FK_SHUT_BAD,    /* not a request that this door takes */
  FK_SHUT_DONE,   /* by its handler, while it was still sending */
  FK_SHUTS
} FkShut;

FkGate *fk_gate_new(const FkDoorLimits *limits);
/* All slots must have left. */
void fk_gate_free(FkGate *g);
const FkDoorLimits *fk_gate_limits(const FkGate *g);

/* A connection came, from `address` (copied; without the port). */
void fk_gate_enter(FkGate *g, FkSlot *s, const char *address, FkGuest guest, gint64 now_us);
/* It is gone. Harmless if it left before. */
void fk_gate_leave(FkGate *g, FkSlot *s);
/* Its first byte of a request, then the first of a body, came. */
void fk_gate_begins(FkGate *g, FkSlot *s, FkStage stage, gint64 now_us);
/* A request's head is complete: may it go on? FALSE: it must be answered with `v`, and is ending. */
gboolean fk_gate_asks(FkGate *g, FkSlot *s, FkAsk ask, gint64 now_us, FkVerdict *v);
/* The request is complete and goes to its handler. Only now its sender counts as what it said to be: a half
 * report would hold a place of the workers'. */
void fk_gate_served(FkGate *g, FkSlot *s, gint64 now_us);
/* Its answer has been written, in part or (`all`) whole. */
void fk_gate_answered(FkGate *g, FkSlot *s, gboolean all, gint64 now_us);
/* It holds so many bytes now. FALSE: too many with all others', and it must be answered with `v` and closed.
 */
gboolean fk_gate_holds(FkGate *g, FkSlot *s, gsize bytes, FkVerdict *v);
/* Its owner closes it for a reason of its own. */
void fk_gate_ends(FkGate *g, FkSlot *s, FkShut why, gint64 now_us);

/* The next one that must go, or NULL: its time is over, or others need its place. In FK_STAGE_ENDING: it is
 * to be answered with `v`; in FK_STAGE_OUT: to be closed at once, there is nothing to say to it. */
FkSlot *fk_gate_next(FkGate *g, gint64 now_us, FkVerdict *v);
/* When next() may have something again, at the latest; G_MAXINT64: never. */
gint64 fk_gate_wakes(const FkGate *g);

/* Figures for the log. */
guint fk_gate_connections(const FkGate *g, FkGuest guest);
guint fk_gate_requests(const FkGate *g);
gsize fk_gate_held(const FkGate *g);
guint fk_gate_parties(const FkGate *g);
guint64 fk_gate_shut(const FkGate *g, FkShut why); /* since the start */
guint64 fk_gate_entered(const FkGate *g);
/* What the door did since `last` was taken, in words, to be freed; `last` is brought up to date. `bad`:
 * somebody was refused or closed for want of room, or sent what is no request. */
typedef struct {
  guint64 entered, shut[FK_SHUTS];
} FkGateTally;
char *fk_gate_words(const FkGate *g, FkGateTally *last, gboolean *bad);
/* For tests: aborts unless every count is the sum of its parts. */
void fk_gate_check(const FkGate *g);
