#include "blob_store/blob_index.h"

#include <string.h>

struct FkBlobIndexTeam {
  char *name;
  GHashTable *entries[2]; /* by kind: FkBlobEntry by its digest */
  GQueue lru;             /* FkBlobEntry, not pinned, the least recently used first */
  guint64 bytes, reserved;
};

struct FkBlobIndex {
  FkBlobIndexLimits limits;
  GHashTable *teams;               /* name -> FkBlobIndexTeam */
  guint64 bytes, reserved, pinned; /* pinned: of bytes */
  guint count, reserving;          /* reserving: teams that have room set aside */
};

static guint digest_hash(gconstpointer p) {
  const FkDigest *d = p;
  guint h;
  memcpy(&h, d->hex, sizeof h); /* hexadecimal digits of a hash: as good as any */
  return h * 31 + (guint)d->hex[4] * 257 + (guint)d->hex[5] * 8191 + (guint)d->hex[6];
}

static gboolean digest_equal(gconstpointer a, gconstpointer b) { return fk_digest_equal(a, b); }

static void team_free(gpointer p) {
  FkBlobIndexTeam *t = p;
  g_hash_table_unref(t->entries[0]);
  g_hash_table_unref(t->entries[1]);
  g_free(t->name);
  g_free(t);
}

FkBlobIndex *fk_blob_index_new(const FkBlobIndexLimits *limits) {
  FkBlobIndex *s = g_new0(FkBlobIndex, 1);
  s->limits = *limits;
  s->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
  return s;
}

void fk_blob_index_free(FkBlobIndex *s) {
  if (!s)
    return;
  g_hash_table_unref(s->teams);
  g_free(s);
}

static FkBlobIndexTeam *team_of(FkBlobIndex *s, const char *name) {
  FkBlobIndexTeam *t = g_hash_table_lookup(s->teams, name);
  if (t)
    return t;
  t = g_new0(FkBlobIndexTeam, 1);
  t->name = g_strdup(name);
  for (guint k = 0; k < 2; k++)
    t->entries[k] = g_hash_table_new_full(digest_hash, digest_equal, NULL, g_free);
  g_hash_table_insert(s->teams, t->name, t);
  return t;
}

FkBlobEntry *fk_blob_index_find(FkBlobIndex *s, const char *team, FkBlobKind kind, const FkDigest *d) {
  FkBlobIndexTeam *t = g_hash_table_lookup(s->teams, team);
  return t ? g_hash_table_lookup(t->entries[kind], d) : NULL;
}

void fk_blob_index_touch(FkBlobIndex *s, FkBlobEntry *i) {
  if (i->pins)
    return;
  g_queue_unlink(&i->team->lru, &i->lru_link);
  g_queue_push_tail_link(&i->team->lru, &i->lru_link);
}

void fk_blob_index_pin(FkBlobIndex *s, FkBlobEntry *i) {
  if (i->pins++)
    return;
  g_queue_unlink(&i->team->lru, &i->lru_link);
  s->pinned += i->bytes;
}

static void subtract_entry(FkBlobIndex *s, FkBlobEntry *i) {
  s->bytes -= i->bytes;
  i->team->bytes -= i->bytes;
  s->count--;
}

void fk_blob_index_unpin(FkBlobIndex *s, FkBlobEntry *i) {
  if (--i->pins)
    return;
  s->pinned -= i->bytes;
  if (i->removed) { /* its bytes were on the disk for as long as it was read */
    subtract_entry(s, i);
    g_free(i);
    return;
  }
  g_queue_push_tail_link(&i->team->lru, &i->lru_link);
}

gboolean fk_blob_index_reserve(FkBlobIndex *s, const char *team, guint64 bytes) {
  FkBlobIndexTeam *t = team_of(s, team);
  guint64 stays = s->reserved + s->pinned, all = s->limits.bytes; /* what can't go */
  if (bytes > all || stays > all - bytes)
    return FALSE;
  /* past half of it, a team that uploads has an equal part with the others that do */
  guint sharing = s->reserving + (t->reserved == 0);
  if (s->reserved + bytes > all / 2 && t->reserved + bytes > all / sharing)
    return FALSE;
  s->reserving += t->reserved == 0 && bytes > 0;
  s->reserved += bytes;
  t->reserved += bytes;
  return TRUE;
}

void fk_blob_index_unreserve(FkBlobIndex *s, const char *team, guint64 bytes) {
  FkBlobIndexTeam *t = team_of(s, team);
  s->reserved -= bytes;
  t->reserved -= bytes;
  s->reserving -= t->reserved == 0 && bytes > 0;
}

FkBlobEntry *fk_blob_index_next_victim(FkBlobIndex *s) {
  if (s->bytes + s->reserved <= s->limits.bytes && s->count <= s->limits.count)
    return NULL;
  FkBlobIndexTeam *most = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->teams);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FkBlobIndexTeam *t = v;
    if (t->lru.head && (!most || t->bytes + t->reserved > most->bytes + most->reserved))
      most = t;
  }
  return most ? most->lru.head->data : NULL;
}

FkBlobEntry *fk_blob_index_insert(FkBlobIndex *s, const char *team, FkBlobKind kind, const FkDigest *d,
                                  guint64 bytes) {
  FkBlobEntry *i = fk_blob_index_find(s, team, kind, d);
  if (i)
    return i;
  i = g_new0(FkBlobEntry, 1);
  *i = (FkBlobEntry){.team = team_of(s, team), .kind = kind, .digest = *d, .bytes = bytes};
  i->lru_link.data = i;
  g_hash_table_insert(i->team->entries[kind], &i->digest, i);
  g_queue_push_tail_link(&i->team->lru, &i->lru_link);
  s->bytes += bytes;
  i->team->bytes += bytes;
  s->count++;
  return i;
}

void fk_blob_index_remove(FkBlobIndex *s, FkBlobEntry *i) {
  g_hash_table_steal(i->team->entries[i->kind], &i->digest);
  i->removed = TRUE;
  if (i->pins)
    return;
  g_queue_unlink(&i->team->lru, &i->lru_link);
  subtract_entry(s, i);
  g_free(i);
}

guint64 fk_blob_index_bytes(const FkBlobIndex *s) { return s->bytes; }
guint fk_blob_index_count(const FkBlobIndex *s) { return s->count; }
guint64 fk_blob_index_team_bytes(FkBlobIndex *s, const char *team) { return team_of(s, team)->bytes; }
const char *fk_blob_entry_team(const FkBlobEntry *i) { return i->team->name; }

void fk_blob_index_verify(FkBlobIndex *s) {
  guint64 bytes = 0, reserved = 0;
  GHashTableIter it, items;
  gpointer v, w;
  g_hash_table_iter_init(&it, s->teams);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FkBlobIndexTeam *t = v;
    guint64 own = 0;
    guint free_ones = 0;
    for (guint k = 0; k < 2; k++) {
      g_hash_table_iter_init(&items, t->entries[k]);
      while (g_hash_table_iter_next(&items, NULL, &w)) {
        const FkBlobEntry *i = w;
        g_assert_true(i->team == t && !i->removed && i->kind == k);
        own += i->bytes;
        free_ones += i->pins == 0;
      }
    }
    g_assert_cmpuint(t->lru.length, ==, free_ones);
    g_assert_cmpuint(own, <=, t->bytes); /* more: dropped ones that are still pinned */
    bytes += t->bytes;
    reserved += t->reserved;
  }
  g_assert_cmpuint(bytes, ==, s->bytes);
  g_assert_cmpuint(reserved, ==, s->reserved);
}
