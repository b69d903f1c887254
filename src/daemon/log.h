/* GLib's log, on standard error, at the level that the environment's LOG_LEVEL names (error, info, debug;
 * else warnings and errors). */
#pragma once
void fk_log_init(void);

/* How the line of a malformed heartbeat begins; scale runs of the simulation count these lines. */
#define FK_LOG_MALFORMED_HEARTBEAT "heartbeat malformed body="
