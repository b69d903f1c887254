/* Kinds of records in the store, and their paths. */
#pragma once
#include <glib.h>

#define FK_STORE_ROOT "fk/"        /* everything that the controllers keep */
#define FK_STORE_LIVE_ROOT "fk/l/" /* what a start lists; the rest is read key by key */

typedef enum {
  FK_STORE_KEY_OTHER,        /* not one of ours */
  FK_STORE_KEY_JOB,          /* a live job */
  FK_STORE_KEY_CHUNK,        /* the state of some neighbouring tasks of a job */
  FK_STORE_KEY_SHARD,        /* who owns a shard */
  FK_STORE_KEY_MACHINE_PAGE, /* the machines of a shard, or a part of them */
  FK_STORE_KEY_COMPLETIONS,  /* completions that a controller has proven */
  FK_STORE_KEY_LAUNCH_FENCE, /* the guard of a controller's launches */
  FK_STORE_KEY_NODE,         /* a live controller; on its lease */
  FK_STORE_KEY_TEAM,         /* how a team's quota is kept */
  FK_STORE_KEY_LEADER,       /* who leads */
  FK_STORE_KEY_WAIT_TIMES,   /* a controller's short tasks' waits; on its lease */
  FK_STORE_KEY_TERMINAL_JOB  /* what became of a job; permanent */
} FkStoreKeyKind;

/* The kind of a path. `id` is set, and owned by the caller, unless the kind is OTHER; `chunk` is set for
 * CHUNK. */
FkStoreKeyKind fk_store_key_parse(const char *path, char **id, guint32 *chunk);
/* The path of a record that has one id; owned by the caller. Not for CHUNK. */
char *fk_store_key_path(FkStoreKeyKind kind, const char *id);
char *fk_store_key_chunk_path(const char *job, guint32 chunk);
/* Part 0 has the shard's id alone, the others a number behind it. */
char *fk_store_key_machine_page_path(const char *shard, guint part);
