#include "blob_store/blob_index.h"

#include <string.h>

struct FkShelfTeam {
  char *name;
  GHashTable *items[2]; /* by kind: FkShelfItem by its digest */
  GQueue by_use;        /* FkShelfItem, not pinned, the least recently used first */
  guint64 bytes, reserved;
};

struct FkShelf {
  FkShelfLimits limits;
  GHashTable *teams;               /* name -> FkShelfTeam */
  guint64 bytes, reserved, pinned; /* pinned: of bytes */
  guint count, reserving;          /* reserving: teams that have room set aside */
};

static guint digest_hash(gconstpointer p) {
  const FkDigest *d = p;
  guint h;
  memcpy(&h, d->hex, sizeof h); /* hexadecimal digits of a hash: as good as any */
  return h * 31 + (guint)d->hex[4] * 257 + (guint)d->hex[5] * 8191 + (guint)d->hex[6];
}

static gboolean digest_same(gconstpointer a, gconstpointer b) { return fk_digest_equal(a, b); }

static void team_free(gpointer p) {
  FkShelfTeam *t = p;
  g_hash_table_unref(t->items[0]);
  g_hash_table_unref(t->items[1]);
  g_free(t->name);
  g_free(t);
}

FkShelf *fk_shelf_new(const FkShelfLimits *limits) {
  FkShelf *s = g_new0(FkShelf, 1);
  s->limits = *limits;
  s->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
  return s;
}

void fk_shelf_free(FkShelf *s) {
  if (!s)
    return;
  g_hash_table_unref(s->teams);
  g_free(s);
}

static FkShelfTeam *team_of(FkShelf *s, const char *name) {
  FkShelfTeam *t = g_hash_table_lookup(s->teams, name);
  if (t)
    return t;
  t = g_new0(FkShelfTeam, 1);
  t->name = g_strdup(name);
  for (guint k = 0; k < 2; k++)
    t->items[k] = g_hash_table_new_full(digest_hash, digest_same, NULL, g_free);
  g_hash_table_insert(s->teams, t->name, t);
  return t;
}

FkShelfItem *fk_shelf_find(FkShelf *s, const char *team, FkShelfKind kind, const FkDigest *d) {
  FkShelfTeam *t = g_hash_table_lookup(s->teams, team);
  return t ? g_hash_table_lookup(t->items[kind], d) : NULL;
}

void fk_shelf_use(FkShelf *s, FkShelfItem *i) {
  if (i->pins)
    return;
  g_queue_unlink(&i->team->by_use, &i->by_use);
  g_queue_push_tail_link(&i->team->by_use, &i->by_use);
}

void fk_shelf_pin(FkShelf *s, FkShelfItem *i) {
  if (i->pins++)
    return;
  g_queue_unlink(&i->team->by_use, &i->by_use);
  s->pinned += i->bytes;
}

static void uncount(FkShelf *s, FkShelfItem *i) {
  s->bytes -= i->bytes;
  i->team->bytes -= i->bytes;
  s->count--;
}

void fk_shelf_unpin(FkShelf *s, FkShelfItem *i) {
  if (--i->pins)
    return;
  s->pinned -= i->bytes;
  if (i->dropped) { /* its bytes were on the disk for as long as it was read */
    uncount(s, i);
    g_free(i);
    return;
  }
  g_queue_push_tail_link(&i->team->by_use, &i->by_use);
}

gboolean fk_shelf_reserve(FkShelf *s, const char *team, guint64 bytes) {
  FkShelfTeam *t = team_of(s, team);
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

void fk_shelf_unreserve(FkShelf *s, const char *team, guint64 bytes) {
  FkShelfTeam *t = team_of(s, team);
  s->reserved -= bytes;
  t->reserved -= bytes;
  s->reserving -= t->reserved == 0 && bytes > 0;
}

FkShelfItem *fk_shelf_victim(FkShelf *s) {
  if (s->bytes + s->reserved <= s->limits.bytes && s->count <= s->limits.count)
    return NULL;
  FkShelfTeam *most = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->teams);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FkShelfTeam *t = v;
    if (t->by_use.head && (!most || t->bytes + t->reserved > most->bytes + most->reserved))
      most = t;
  }
  return most ? most->by_use.head->data : NULL;
}

FkShelfItem *fk_shelf_put(FkShelf *s, const char *team, FkShelfKind kind, const FkDigest *d, guint64 bytes) {
  FkShelfItem *i = fk_shelf_find(s, team, kind, d);
  if (i)
    return i;
  i = g_new0(FkShelfItem, 1);
  *i = (FkShelfItem){.team = team_of(s, team), .kind = kind, .digest = *d, .bytes = bytes};
  i->by_use.data = i;
  g_hash_table_insert(i->team->items[kind], &i->digest, i);
  g_queue_push_tail_link(&i->team->by_use, &i->by_use);
  s->bytes += bytes;
  i->team->bytes += bytes;
  s->count++;
  return i;
}

void fk_shelf_drop(FkShelf *s, FkShelfItem *i) {
  g_hash_table_steal(i->team->items[i->kind], &i->digest);
  i->dropped = TRUE;
  if (i->pins)
    return;
  g_queue_unlink(&i->team->by_use, &i->by_use);
  uncount(s, i);
  g_free(i);
}

guint64 fk_shelf_bytes(const FkShelf *s) { return s->bytes; }
guint fk_shelf_count(const FkShelf *s) { return s->count; }
guint64 fk_shelf_team_bytes(FkShelf *s, const char *team) { return team_of(s, team)->bytes; }
const char *fk_shelf_team_name(const FkShelfItem *i) { return i->team->name; }

void fk_shelf_check(FkShelf *s) {
  guint64 bytes = 0, reserved = 0;
  GHashTableIter it, items;
  gpointer v, w;
  g_hash_table_iter_init(&it, s->teams);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FkShelfTeam *t = v;
    guint64 own = 0;
    guint free_ones = 0;
    for (guint k = 0; k < 2; k++) {
      g_hash_table_iter_init(&items, t->items[k]);
      while (g_hash_table_iter_next(&items, NULL, &w)) {
        const FkShelfItem *i = w;
        g_assert_true(i->team == t && !i->dropped && i->kind == k);
        own += i->bytes;
        free_ones += i->pins == 0;
      }
    }
    g_assert_cmpuint(t->by_use.length, ==, free_ones);
    g_assert_cmpuint(own, <=, t->bytes); /* more: dropped ones that are still pinned */
    bytes += t->bytes;
    reserved += t->reserved;
  }
  g_assert_cmpuint(bytes, ==, s->bytes);
  g_assert_cmpuint(reserved, ==, s->reserved);
}
