/* Kinds of keys in the store, and their paths. */
#pragma once
#include <glib.h>

#define FK_STORE_ROOT "fk/"        /* prefix of all keys of the controllers */
#define FK_STORE_LIVE_ROOT "fk/l/" /* prefix of the keys that are listed to build the view */

typedef enum {
  FK_STORE_KEY_OTHER,        /* not a key of the controllers */
  FK_STORE_KEY_JOB,          /* a live job */
  FK_STORE_KEY_CHUNK,        /* the states of consecutive tasks of a job */
  FK_STORE_KEY_SHARD,        /* the owner of a shard */
  FK_STORE_KEY_MACHINE_PAGE, /* one page of the machines of a shard */
  FK_STORE_KEY_COMPLETIONS,  /* completions that a controller has proof of */
  FK_STORE_KEY_LAUNCH_FENCE, /* a controller's launch fence: the guard of each of its launches */
  FK_STORE_KEY_NODE,         /* a live controller; attached to its lease */
  FK_STORE_KEY_TEAM,         /* how a team's quota is divided among the controllers */
  FK_STORE_KEY_LEADER,       /* the leader */
  FK_STORE_KEY_WAIT_TIMES,   /* wait times of a controller's short tasks; attached to its lease */
  FK_STORE_KEY_TERMINAL_JOB  /* the terminal state of a job; permanent */
} FkStoreKeyKind;

/* Returns the kind of a path. Sets `id`, which the caller owns, unless the kind is OTHER. Sets `chunk` to the
 * chunk's index if the kind is CHUNK. */
FkStoreKeyKind fk_store_key_parse(const char *path, char **id, guint32 *chunk);
/* Returns the path of a key that is identified by `id`; owned by the caller. Not for CHUNK and OTHER. */
char *fk_store_key_path(FkStoreKeyKind kind, const char *id);
char *fk_store_key_chunk_path(const char *job, guint32 chunk);
/* Returns the path of a page of a shard's machines. Page 0 is named by the shard's id; "+" and the index are
 * appended for further pages. */
char *fk_store_key_machine_page_path(const char *shard, guint page_index);
