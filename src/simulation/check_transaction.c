/* Every write of the core's is guarded as docs/design.md, "Transactions", says. A transaction may be carried
 * out late, after newer ones, and more than once: a write without its guard would undo what came after it. */
#include "simulation/check_transaction.h"

static const FkGuard *guard_on(const FkOutput *t, const char *path) {
  for (guint i = 0; i < t->guards->len; i++)
    if (g_str_equal(g_array_index(t->guards, FkGuard, i).path, path))
      return &g_array_index(t->guards, FkGuard, i);
  return NULL;
}

static gboolean guards_kind(const FkOutput *t, FkStoreKeyKind kind) {
  g_autofree char *prefix = fk_store_key_path(kind, "");
  for (guint i = 0; i < t->guards->len; i++)
    if (g_str_has_prefix(g_array_index(t->guards, FkGuard, i).path, prefix))
      return TRUE;
  return FALSE;
}

/* The job's record is as it was, and there is one. */
static gboolean guards_existing_job(const FkOutput *t, const char *job) {
  g_autofree char *path = fk_store_key_path(FK_STORE_KEY_JOB, job);
  const FkGuard *g = guard_on(t, path);
  return g && g->rev.n;
}

static gboolean guards_absence(const FkOutput *t, FkStoreKeyKind kind, const char *id) {
  g_autofree char *path = fk_store_key_path(kind, id);
  const FkGuard *g = guard_on(t, path);
  return g && !g->rev.n;
}

/* A team's record that partitions its quota into no shares. Read as JSON: the structs of records differ
 * between versions. */
static gboolean assigns_no_shares(const FkVersion *version, const FkWrite *w) {
  g_autoptr(cJSON) json = w->record ? version->record_to_json(w->record) : NULL;
  const cJSON *partition = fk_json_get(json, "split");
  return cJSON_IsObject(partition) && !partition->child;
}

static const char *missing_guard(const FkVersion *version, const FkOutput *t, const FkWrite *w) {
  g_autofree char *id = NULL;
  guint32 chunk;
  const FkGuard *own = guard_on(t, w->path);
  FkStoreKeyKind kind = fk_store_key_parse(w->path, &id, &chunk);
  switch (kind) {
  case FK_STORE_KEY_JOB:
    if (!own)
      return "its own revision";
    /* absent now isn't absent as then: a job that has ended stays so */
    return own->rev.n || guards_absence(t, FK_STORE_KEY_TERMINAL_JOB, id) ? NULL : "that it hasn't ended";
  case FK_STORE_KEY_TERMINAL_JOB:
    return guards_existing_job(t, id) ? NULL : "the job's record";
  case FK_STORE_KEY_CHUNK:
    if (!w->record) /* with its job, or as nobody's */
      return guards_existing_job(t, id) || guards_absence(t, FK_STORE_KEY_JOB, id)
                 ? NULL
                 : "the job's record, or its absence";
    if (!own)
      return "its own revision";
    if (!guards_kind(t, FK_STORE_KEY_LAUNCH_FENCE)) /* a stop: it takes nothing */
      return own->rev.n ? NULL : "that it is there";
    return !guards_existing_job(t, id)           ? "the job's record"
           : !guards_kind(t, FK_STORE_KEY_SHARD) ? "a claim"
                                                 : NULL;
  case FK_STORE_KEY_TEAM:
    /* a pause gives nobody anything, whatever was there */
    return own || assigns_no_shares(version, w) ? NULL : "its own revision";
  case FK_STORE_KEY_WAIT_TIMES:
    return NULL; /* a statistic, on a hold */
  default:
    return own ? NULL : "its own revision";
  }
}

char *sim_check_transaction(const FkVersion *version, const FkOutput *t) {
  for (guint i = 0; i < t->writes->len; i++) {
    const FkWrite *w = &g_array_index(t->writes, FkWrite, i);
    const char *what = missing_guard(version, t, w);
    if (what)
      return g_strdup_printf("%s of %s isn't guarded by %s", w->record ? "the write" : "the deletion",
                             w->path, what);
  }
  return NULL;
}
