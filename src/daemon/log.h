/* Sets up GLib's log to write to standard error, at the level named by the environment variable LOG_LEVEL:
 * error, info or debug. If the variable isn't set to one of these levels, warnings and errors are logged. */
#pragma once
void fk_log_init(void);

/* Start of the log line for a malformed heartbeat; scale runs of the simulation count these lines. */
#define FK_LOG_MALFORMED_HEARTBEAT "heartbeat malformed body="
