/* A model of the key-value store without a clock or a socket of its own: keys, revisions, leases, history and
 * rate limits, as the protocol has them. Used by the simulation and by the store of scale runs.
 * Values are JSON text, which is kept and handed back as it is. Times are microseconds of the owner's clock.
 */
#pragma once
#include <glib.h>

typedef struct FkStoreModel FkStoreModel;

typedef struct {
  char *path, *value;
  guint64 revision, lease; /* of its latest change; the lease that it is attached to, or 0 */
} FkStoreItem;

typedef struct {
  char *path, *value; /* `value` NULL: deleted */
  guint64 revision;
} FkStoreChange;

typedef struct {
  const char *path;
  guint64 revision; /* 0: the key does not exist */
} FkStoreGuard;

typedef struct {
  const char *path, *value; /* `value` NULL: delete */
  guint64 lease;
} FkStoreWrite;

typedef enum { FK_STORE_OK, FK_STORE_CONFLICT, FK_STORE_LEASE_NOT_FOUND } FkStoreOutcome;

/* `history_most`: changes that are kept for watches; 0: all. */
FkStoreModel *fk_store_model_new(guint history_most);
void fk_store_model_free(FkStoreModel *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkStoreModel, fk_store_model_free)

guint64 fk_store_model_revision(const FkStoreModel *s);
guint fk_store_model_size(const FkStoreModel *s);
/* Borrowed until the next change; NULL: the key does not exist. */
const FkStoreItem *fk_store_model_get(const FkStoreModel *s, const char *path);
/* Keys below a prefix, in their order, beginning after `after` (NULL: at the first): FkStoreItem, borrowed.
 * `bytes_most` counts the values; `more` says that it stopped at one of the two bounds. */
GPtrArray *fk_store_model_list(const FkStoreModel *s, const char *prefix, const char *after, guint most,
                               gsize bytes_most, gboolean *more);
/* Changes below a prefix after a revision, in their order: FkStoreChange, borrowed. NULL: the history does
 * not go back so far. */
GPtrArray *fk_store_model_changes(const FkStoreModel *s, const char *prefix, guint64 after);
/* All or nothing. `guards` are FkStoreGuard, `writes` FkStoreWrite; the paths whose guards failed are
 * appended to `failed` as copies. */
FkStoreOutcome fk_store_model_commit(FkStoreModel *s, const GArray *guards, const GArray *writes,
                                     GPtrArray *failed);

guint64 fk_store_model_grant_lease(FkStoreModel *s, gint64 now, double ttl_s);
/* FALSE: the lease has expired or was revoked. */
gboolean fk_store_model_keep_alive(FkStoreModel *s, gint64 now, guint64 lease);
gboolean fk_store_model_revoke_lease(FkStoreModel *s, guint64 lease);
/* Ends the leases that have expired, and deletes the keys attached to them. */
void fk_store_model_expire_leases(FkStoreModel *s, gint64 now);
/* Every lease has its full time from that moment on: an outage is over. */
void fk_store_model_extend_leases(FkStoreModel *s, gint64 from);

/* Requests and writes a second, each with a burst of one second's worth. */
typedef struct {
  double requests, writes;
  gint64 refilled_at;
} FkStoreRateLimit;

/* Takes one request and so many writes; FALSE: over a rate, and nothing is taken. */
gboolean fk_store_rate_limit_take(FkStoreRateLimit *b, gint64 now, double request_rate, double write_rate,
                                  guint writes);
