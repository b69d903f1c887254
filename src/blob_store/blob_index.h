/* Which blobs are kept: the books of a store of blobs, without a disk or a clock. Teams see nothing of each
 * other here: every entry belongs to one team, and the same blob of two teams is two entries. What is least
 * recently used goes first, from the team that has most, so a team with no more than its equal part loses
 * nothing to the others. What is pinned (an unfinished action refers to it, or it is being read) stays. */
#pragma once
#include "blob_store/digest.h"

typedef struct FkShelf FkShelf;
typedef struct FkShelfTeam FkShelfTeam;

typedef enum { FK_SHELF_BLOB, FK_SHELF_RESULT } FkShelfKind;

typedef struct {
  FkShelfTeam *team;
  FkShelfKind kind;
  FkDigest digest; /* of a result: its action's */
  guint64 bytes;   /* that it takes */
  guint pins;
  gboolean dropped; /* no longer found; goes when the last pin does */
  GList by_use;
} FkShelfItem;

typedef struct {
  guint64 bytes;
  guint count;
} FkShelfLimits;

FkShelf *fk_shelf_new(const FkShelfLimits *limits);
void fk_shelf_free(FkShelf *s);

/* The entry, or NULL. Does not count as a use. */
FkShelfItem *fk_shelf_find(FkShelf *s, const char *team, FkShelfKind kind, const FkDigest *d);
void fk_shelf_use(FkShelf *s, FkShelfItem *i);
void fk_shelf_pin(FkShelf *s, FkShelfItem *i);
void fk_shelf_unpin(FkShelf *s, FkShelfItem *i);

/* Sets room aside for something of that size. FALSE: it doesn't fit, whatever goes. What must go for it is
 * given by fk_shelf_victim(), until that is NULL; each is to be taken off with fk_shelf_drop(). */
gboolean fk_shelf_reserve(FkShelf *s, const char *team, guint64 bytes);
void fk_shelf_unreserve(FkShelf *s, const char *team, guint64 bytes);
FkShelfItem *fk_shelf_victim(FkShelf *s);
/* An entry is there now. One that was there before is given back unchanged. */
FkShelfItem *fk_shelf_put(FkShelf *s, const char *team, FkShelfKind kind, const FkDigest *d, guint64 bytes);
/* It is gone; `i` isn't valid any more (a pinned one lasts until it is unpinned, but isn't found). */
void fk_shelf_drop(FkShelf *s, FkShelfItem *i);

guint64 fk_shelf_bytes(const FkShelf *s);
guint fk_shelf_count(const FkShelf *s);
guint64 fk_shelf_team_bytes(FkShelf *s, const char *team);
const char *fk_shelf_team_name(const FkShelfItem *i);
/* For tests: aborts unless the books are right. */
void fk_shelf_check(FkShelf *s);
