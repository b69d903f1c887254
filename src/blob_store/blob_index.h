/* An in-memory index of the stored blobs and action results, with least-recently-used eviction. It does no
 * I/O and reads no clock.
 *
 * Each entry belongs to one team, and a lookup finds only entries of the given team. So a blob that two teams
 * store has two entries. The next entry to evict is the least recently used unpinned entry of the team with
 * the most stored and reserved bytes, among the teams with unpinned entries. Therefore, no entry of a team is
 * evicted to free capacity while a team with more stored and reserved bytes has an unpinned entry. A pinned
 * entry has an open reader and isn't evicted to free capacity. */
#pragma once
#include "blob_store/digest.h"

typedef struct FkBlobIndex FkBlobIndex;
typedef struct FkBlobIndexTeam FkBlobIndexTeam;

typedef enum { FK_BLOB_KIND_BLOB, FK_BLOB_KIND_RESULT, FK_BLOB_KINDS } FkBlobKind;

typedef struct {
  FkBlobIndexTeam *team;
  FkBlobKind kind;
  FkDigest digest;  /* the blob's digest, or the digest of a result's action */
  guint64 bytes;    /* size of the blob or result */
  guint pins;       /* number of pins, one for each open reader */
  gboolean removed; /* whether fk_blob_index_remove() was called; the last unpin then frees the entry */
  GList lru_link;   /* link in the team's queue; unlinked while the entry is pinned */
} FkBlobEntry;

typedef struct {
  guint64 bytes; /* maximum sum of stored and reserved bytes */
  guint count;   /* maximum number of entries */
} FkBlobIndexLimits;

FkBlobIndex *fk_blob_index_new(const FkBlobIndexLimits *limits);
/* Frees the index and the entries in it. NULL is allowed. */
void fk_blob_index_free(FkBlobIndex *index);

/* Returns the entry, which the index owns, or NULL if there is none. Doesn't count as a use. */
FkBlobEntry *fk_blob_index_find(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                const FkDigest *digest);
/* Records a use of the entry. Has no effect on a pinned entry: its last unpin counts as a use. */
void fk_blob_index_touch(FkBlobIndex *index, FkBlobEntry *entry);
/* Pins the entry, so that fk_blob_index_next_victim() doesn't return the entry until all pins are undone. */
void fk_blob_index_pin(FkBlobIndex *index, FkBlobEntry *entry);
/* Undoes one pin. Undoing the last pin frees a removed entry, and counts as a use of any other entry. */
void fk_blob_index_unpin(FkBlobIndex *index, FkBlobEntry *entry);

/* Reserves `bytes` bytes of capacity for a blob or result. Returns FALSE if reserved and pinned bytes leave
 * too little capacity. If all reservations, including this one, would exceed half of the capacity, each
 * team may reserve at most an equal share: capacity / n, where n is the number of teams with reservations,
 * including this team. Returns FALSE if this team would exceed that share. After TRUE, the caller must call
 * fk_blob_index_next_victim() and evict the returned entry, until the function returns NULL. */
gboolean fk_blob_index_reserve(FkBlobIndex *index, const char *team, guint64 bytes);
/* Releases `bytes` bytes of the team's reservations. */
void fk_blob_index_unreserve(FkBlobIndex *index, const char *team, guint64 bytes);
/* Returns the next entry to evict, which the caller removes with fk_blob_index_remove(). Returns NULL if
 * neither limit is exceeded, or if all entries are pinned. */
FkBlobEntry *fk_blob_index_next_victim(FkBlobIndex *index);
/* Adds an entry. If the entry already exists, returns the existing entry unchanged. */
FkBlobEntry *fk_blob_index_insert(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                  const FkDigest *digest, guint64 bytes);
/* Removes the entry from the index. Frees the entry, or leaves that to the last fk_blob_index_unpin() if the
 * entry is pinned. */
void fk_blob_index_remove(FkBlobIndex *index, FkBlobEntry *entry);

/* The next three functions return the stored bytes of all teams, the number of entries of all teams, and the
 * stored bytes of one team. Each result includes removed entries that are still pinned. */
guint64 fk_blob_index_bytes(const FkBlobIndex *index);
guint fk_blob_index_count(const FkBlobIndex *index);
guint64 fk_blob_index_team_bytes(FkBlobIndex *index, const char *team);
/* Returns the name of the entry's team; the index owns it. */
const char *fk_blob_entry_team(const FkBlobEntry *entry);
/* For tests: aborts if the totals contradict the entries. */
void fk_blob_index_verify(FkBlobIndex *index);
