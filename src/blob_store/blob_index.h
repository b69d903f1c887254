/* Which blobs and action results are kept: an index with least-recently-used eviction, without a disk or a
 * clock. Teams see nothing of each other: each entry belongs to one team, and the same blob of two teams is
 * two entries. Evicted is the least recently used entry of the team that uses most, so that a team within its
 * equal share loses nothing to the others. A pinned entry (it is being read) stays. */
#pragma once
#include "blob_store/digest.h"

typedef struct FkBlobIndex FkBlobIndex;
typedef struct FkBlobIndexTeam FkBlobIndexTeam;

typedef enum { FK_BLOB_KIND_BLOB, FK_BLOB_KIND_RESULT, FK_BLOB_KINDS } FkBlobKind;

typedef struct {
  FkBlobIndexTeam *team;
  FkBlobKind kind;
  FkDigest digest; /* of a result: its action's */
  guint64 bytes;   /* that it takes */
  guint pins;
  gboolean removed; /* not found any more; freed with its last pin */
  GList lru_link;
} FkBlobEntry;

typedef struct {
  guint64 bytes;
  guint count;
} FkBlobIndexLimits;

FkBlobIndex *fk_blob_index_new(const FkBlobIndexLimits *limits);
/* NULL is fine. */
void fk_blob_index_free(FkBlobIndex *index);

/* The entry, the index's own, or NULL. Does not count as a use. */
FkBlobEntry *fk_blob_index_find(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                const FkDigest *digest);
/* The entry is used now. */
void fk_blob_index_touch(FkBlobIndex *index, FkBlobEntry *entry);
void fk_blob_index_pin(FkBlobIndex *index, FkBlobEntry *entry);
void fk_blob_index_unpin(FkBlobIndex *index, FkBlobEntry *entry);

/* Reserves capacity for something of that size. FALSE: there isn't enough, whatever is evicted. Then
 * fk_blob_index_next_victim() returns what must be evicted for it, until it is NULL; each victim is to be
 * removed with fk_blob_index_remove(). */
gboolean fk_blob_index_reserve(FkBlobIndex *index, const char *team, guint64 bytes);
void fk_blob_index_unreserve(FkBlobIndex *index, const char *team, guint64 bytes);
FkBlobEntry *fk_blob_index_next_victim(FkBlobIndex *index);
/* Adds an entry. One that is there already is returned unchanged. */
FkBlobEntry *fk_blob_index_insert(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                  const FkDigest *digest, guint64 bytes);
/* `entry` isn't valid any more; a pinned one is until it is unpinned, but it isn't found. */
void fk_blob_index_remove(FkBlobIndex *index, FkBlobEntry *entry);

guint64 fk_blob_index_bytes(const FkBlobIndex *index);
guint fk_blob_index_count(const FkBlobIndex *index);
guint64 fk_blob_index_team_bytes(FkBlobIndex *index, const char *team);
/* The name of its team. */
const char *fk_blob_entry_team(const FkBlobEntry *entry);
/* For tests: aborts unless the totals are those of the entries. */
void fk_blob_index_verify(FkBlobIndex *index);
