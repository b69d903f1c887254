/* GLib's log, to standard error, as LOG_LEVEL says. */
#pragma once
void fk_log_init(void);
