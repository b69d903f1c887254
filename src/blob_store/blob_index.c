#include "blob_store/blob_index.h"

#include <string.h>

struct FkBlobIndexTeam {
  char *name;
  GHashTable *entries[FK_BLOB_KINDS]; /* FkDigest -> FkBlobEntry, for each kind */
  GQueue lru;                         /* the entries that aren't pinned, the least recently used first */
  guint64 bytes;    /* total size of the entries, including removed entries that are still pinned */
  guint64 reserved; /* bytes reserved for blobs and results that aren't stored yet */
};

struct FkBlobIndex {
  FkBlobIndexLimits limits;
  GHashTable *teams;       /* name -> FkBlobIndexTeam */
  guint64 bytes, reserved; /* totals of all teams */
  guint64 pinned;          /* the part of `bytes` that belongs to pinned entries */
  guint count;             /* number of entries, including removed entries that are still pinned */
  guint reserving_teams;   /* number of teams with reserved bytes */
};

static guint digest_hash(gconstpointer p) {
  const FkDigest *digest = p;
  guint h;
  memcpy(&h, digest->hex, sizeof h);
  return h * 31 + (guint)digest->hex[4] * 257 + (guint)digest->hex[5] * 8191 + (guint)digest->hex[6];
}

static gboolean digest_equal(gconstpointer a, gconstpointer b) { return fk_digest_equal(a, b); }

static void team_free(gpointer p) {
  FkBlobIndexTeam *record = p;
  for (guint kind = 0; kind < FK_BLOB_KINDS; kind++)
    g_hash_table_unref(record->entries[kind]);
  g_free(record->name);
  g_free(record);
}

FkBlobIndex *fk_blob_index_new(const FkBlobIndexLimits *limits) {
  FkBlobIndex *index = g_new0(FkBlobIndex, 1);
  index->limits = *limits;
  index->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
  return index;
}

void fk_blob_index_free(FkBlobIndex *index) {
  if (!index)
    return;
  g_hash_table_unref(index->teams);
  g_free(index);
}

/* Returns the team's record. Adds a record if the team has none. */
static FkBlobIndexTeam *find_or_add_team(FkBlobIndex *index, const char *name) {
  FkBlobIndexTeam *record = g_hash_table_lookup(index->teams, name);
  if (record)
    return record;
  record = g_new0(FkBlobIndexTeam, 1);
  record->name = g_strdup(name);
  for (guint kind = 0; kind < FK_BLOB_KINDS; kind++)
    record->entries[kind] = g_hash_table_new_full(digest_hash, digest_equal, NULL, g_free);
  g_hash_table_insert(index->teams, record->name, record);
  return record;
}

FkBlobEntry *fk_blob_index_find(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                const FkDigest *digest) {
  FkBlobIndexTeam *record = g_hash_table_lookup(index->teams, team);
  return record ? g_hash_table_lookup(record->entries[kind], digest) : NULL;
}

void fk_blob_index_touch(FkBlobIndex *index, FkBlobEntry *entry) {
  if (entry->pins)
    return;
  g_queue_unlink(&entry->team->lru, &entry->lru_link);
  g_queue_push_tail_link(&entry->team->lru, &entry->lru_link);
}

void fk_blob_index_pin(FkBlobIndex *index, FkBlobEntry *entry) {
  if (entry->pins++)
    return;
  g_queue_unlink(&entry->team->lru, &entry->lru_link);
  index->pinned += entry->bytes;
}

/* Subtracts an entry from the totals of the index and of its team. */
static void subtract_entry(FkBlobIndex *index, FkBlobEntry *entry) {
  index->bytes -= entry->bytes;
  entry->team->bytes -= entry->bytes;
  index->count--;
}

void fk_blob_index_unpin(FkBlobIndex *index, FkBlobEntry *entry) {
  if (--entry->pins)
    return;
  index->pinned -= entry->bytes;
  if (entry->removed) {
    /* the blob's file was deleted earlier, but used disk space until the last reader closed the file */
    subtract_entry(index, entry);
    g_free(entry);
    return;
  }
  g_queue_push_tail_link(&entry->team->lru, &entry->lru_link);
}

gboolean fk_blob_index_reserve(FkBlobIndex *index, const char *team, guint64 bytes) {
  FkBlobIndexTeam *record = find_or_add_team(index, team);
  guint64 capacity = index->limits.bytes;
  guint64 unevictable = index->reserved + index->pinned;
  if (bytes > capacity || unevictable > capacity - bytes)
    return FALSE;
  /* If all reservations, including this one, would exceed half of the capacity, each team may reserve at
   * most an equal share. */
  guint sharing_teams = index->reserving_teams + (record->reserved == 0);
  if (index->reserved + bytes > capacity / 2 && record->reserved + bytes > capacity / sharing_teams)
    return FALSE;
  index->reserving_teams += record->reserved == 0 && bytes > 0;
  index->reserved += bytes;
  record->reserved += bytes;
  return TRUE;
}

void fk_blob_index_unreserve(FkBlobIndex *index, const char *team, guint64 bytes) {
  FkBlobIndexTeam *record = find_or_add_team(index, team);
  index->reserved -= bytes;
  record->reserved -= bytes;
  index->reserving_teams -= record->reserved == 0 && bytes > 0;
}

FkBlobEntry *fk_blob_index_next_victim(FkBlobIndex *index) {
  if (index->bytes + index->reserved <= index->limits.bytes && index->count <= index->limits.count)
    return NULL;
  FkBlobIndexTeam *largest_team = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, index->teams);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkBlobIndexTeam *record = value;
    if (record->lru.head &&
        (!largest_team || record->bytes + record->reserved > largest_team->bytes + largest_team->reserved))
      largest_team = record;
  }
  return largest_team ? largest_team->lru.head->data : NULL;
}

FkBlobEntry *fk_blob_index_insert(FkBlobIndex *index, const char *team, FkBlobKind kind,
                                  const FkDigest *digest, guint64 bytes) {
  FkBlobEntry *entry = fk_blob_index_find(index, team, kind, digest);
  if (entry)
    return entry;
  entry = g_new0(FkBlobEntry, 1);
  *entry =
      (FkBlobEntry){.team = find_or_add_team(index, team), .kind = kind, .digest = *digest, .bytes = bytes};
  entry->lru_link.data = entry;
  g_hash_table_insert(entry->team->entries[kind], &entry->digest, entry);
  g_queue_push_tail_link(&entry->team->lru, &entry->lru_link);
  index->bytes += bytes;
  entry->team->bytes += bytes;
  index->count++;
  return entry;
}

void fk_blob_index_remove(FkBlobIndex *index, FkBlobEntry *entry) {
  g_hash_table_steal(entry->team->entries[entry->kind], &entry->digest);
  entry->removed = TRUE;
  if (entry->pins)
    return;
  g_queue_unlink(&entry->team->lru, &entry->lru_link);
  subtract_entry(index, entry);
  g_free(entry);
}

guint64 fk_blob_index_bytes(const FkBlobIndex *index) { return index->bytes; }
guint fk_blob_index_count(const FkBlobIndex *index) { return index->count; }
guint64 fk_blob_index_team_bytes(FkBlobIndex *index, const char *team) {
  return find_or_add_team(index, team)->bytes;
}
const char *fk_blob_entry_team(const FkBlobEntry *entry) { return entry->team->name; }

void fk_blob_index_verify(FkBlobIndex *index) {
  guint64 bytes = 0, reserved = 0;
  GHashTableIter iter, entries;
  gpointer value, entry_value;
  g_hash_table_iter_init(&iter, index->teams);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkBlobIndexTeam *record = value;
    guint64 own = 0;
    guint evictable = 0;
    for (guint kind = 0; kind < FK_BLOB_KINDS; kind++) {
      g_hash_table_iter_init(&entries, record->entries[kind]);
      while (g_hash_table_iter_next(&entries, NULL, &entry_value)) {
        const FkBlobEntry *entry = entry_value;
        g_assert_true(entry->team == record && !entry->removed && entry->kind == kind);
        own += entry->bytes;
        evictable += entry->pins == 0;
      }
    }
    g_assert_cmpuint(record->lru.length, ==, evictable);
    g_assert_cmpuint(own, <=, record->bytes); /* `record->bytes` includes removed entries that are pinned */
    bytes += record->bytes;
    reserved += record->reserved;
  }
  g_assert_cmpuint(bytes, ==, index->bytes);
  g_assert_cmpuint(reserved, ==, index->reserved);
}
