/* Which blobs are kept: the books of a store of blobs, without a disk or a clock. Teams see nothing of each
 * other here: every entry belongs to one team, and the same blob of two teams is two entries. What is least
 * recently used goes first, from the team that has most, so a team with no more than its equal part loses
 * nothing to the others. What is pinned (an unfinished action refers to it, or it is being read) stays. */
#pragma once
#include "blob_store/digest.h"

typedef struct FkBlobIndex FkBlobIndex;
typedef struct FkBlobIndexTeam FkBlobIndexTeam;

typedef enum { FK_BLOB_KIND_BLOB, FK_BLOB_KIND_RESULT } FkBlobKind;

typedef struct {
  FkBlobIndexTeam *team;
  FkBlobKind kind;
  FkDigest digest; /* of a result: its action's */
  guint64 bytes;   /* that it takes */
  guint pins;
  gboolean removed; /* no longer found; goes when the last pin does */
  GList lru_link;
} FkBlobEntry;

typedef struct {
  guint64 bytes;
  guint count;
} FkBlobIndexLimits;

FkBlobIndex *fk_blob_index_new(const FkBlobIndexLimits *limits);
void fk_blob_index_free(FkBlobIndex *s);

/* The entry, or NULL. Does not count as a use. */
FkBlobEntry *fk_blob_index_find(FkBlobIndex *s, const char *team, FkBlobKind kind, const FkDigest *d);
void fk_blob_index_touch(FkBlobIndex *s, FkBlobEntry *i);
void fk_blob_index_pin(FkBlobIndex *s, FkBlobEntry *i);
void fk_blob_index_unpin(FkBlobIndex *s, FkBlobEntry *i);

/* Sets room aside for something of that size. FALSE: it doesn't fit, whatever goes. What must go for it is
 * given by fk_blob_index_next_victim(), until that is NULL; each is to be taken off with
 * fk_blob_index_remove(). */
gboolean fk_blob_index_reserve(FkBlobIndex *s, const char *team, guint64 bytes);
void fk_blob_index_unreserve(FkBlobIndex *s, const char *team, guint64 bytes);
FkBlobEntry *fk_blob_index_next_victim(FkBlobIndex *s);
/* An entry is there now. One that was there before is given back unchanged. */
FkBlobEntry *fk_blob_index_insert(FkBlobIndex *s, const char *team, FkBlobKind kind, const FkDigest *d,
                                  guint64 bytes);
/* It is gone; `i` isn't valid any more (a pinned one lasts until it is unpinned, but isn't found). */
void fk_blob_index_remove(FkBlobIndex *s, FkBlobEntry *i);

guint64 fk_blob_index_bytes(const FkBlobIndex *s);
guint fk_blob_index_count(const FkBlobIndex *s);
guint64 fk_blob_index_team_bytes(FkBlobIndex *s, const char *team);
const char *fk_blob_entry_team(const FkBlobEntry *i);
/* For tests: aborts unless the books are right. */
void fk_blob_index_verify(FkBlobIndex *s);
