/* Remote Execution's cache: Capabilities, content-addressable storage, ByteStream and ActionCache, over gRPC,
 * for teams with a key. Runs in a thread of its own, with its own main context: the disk never holds up the
 * scheduler. */
#pragma once
#include <glib.h>

#include "remote_execution/settings.h"

typedef struct FkRemoteExecution FkRemoteExecution;

/* Listens and serves from now on. NULL and an error when the directory, the keys or the address can't be had.
 * `s` is kept by reference. */
FkRemoteExecution *fk_remote_execution_start(const FkRemoteExecutionSettings *s, GError **error);
/* Ends the thread; what is half done is given up. */
void fk_remote_execution_stop(FkRemoteExecution *r);
