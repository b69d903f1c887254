/* The platform's settings and the operators' tuning. Plain data, parsed by wire/settings.c. */
#pragma once
#include "admission/limits.h"
#include "common/types.h"

/* Another controller. */
typedef struct {
  char *name, *zone, *addr;
} FkPeer;

/* A team's guarantees (0 if none) and quotas (infinite if the platform sets none; fair_share/quota.h). */
typedef struct {
  char *name;
  double guaranteed_cpus, max_cpus, guaranteed_gpus, max_gpus;
} FkTeam;

/* A service-level objective: at least `share` of the jobs of a class must stay within `within_s` seconds.
 * `kind` names the time that is measured, such as "wait" or "finished". */
typedef struct {
  char *kind, *class_name;
  double within_s, share;
} FkObjective;

/* The operators' settings file; every field has a default (schema/operator.schema.json). Times are in
 * seconds. */
typedef struct {
  double window_s;             /* length of a window of Elastic Sizing and of the statistics */
  double max_wait_s;           /* Elastic Sizing: MaxTaskWaitingTime */
  double short_partition_span; /* MaxShortPartitionSize - MinShortPartitionSize, as a share of all machines */
  double short_cutoff_s;       /* array jobs with a lower estimate are short */
  double probe_ratio;          /* number of probes per waiting short task */
  double steal_after_s;        /* wait after which a short task may use other controllers' machines */
  double idle_s;               /* base of the idle time after which a machine is terminated */
  double headroom_s;           /* capacity is provisioned for services expected within this time */
  double deadline_slack;       /* safety factor on the expected run time of jobs with a deadline */
  /* Fraction of a job's longest acceptable wait after which spot machines may be provisioned for the job. */
  double spot_patience;
  /* Seconds without heartbeats after which a machine counts as silent; 0 to derive the time from the
   * heartbeat interval. */
  double silent_after_s;
  /* Longest time in seconds that the reply to a cancellation is delayed until all controllers have applied
   * the cancellation (api/cancellation_barrier.c). */
  double cancellation_barrier_s;
  FkAdmissionOptions admission; /* limits that are 0 are derived from the controller's resources */
} FkTuning;

/* The settings of this controller. Times are in seconds unless a name says otherwise. */
typedef struct {
  char *node, *zone, *listen_addr, *peer_listen_addr;
  GPtrArray *peers; /* FkPeer */
  char *cloud_addr, *store_addr;
  GPtrArray *zones;               /* char* */
  GPtrArray *teams;               /* FkTeam */
  GPtrArray *objectives;          /* FkObjective */
  double heartbeat_interval_s;    /* interval of workers' heartbeats */
  double worker_lease_s;          /* duration of a worker's lease */
  double cancellation_deadline_s; /* time within which a cancellation must take effect */
  /* Rate limits of the store, per second. `store_*`: the current limits. `next_store_*`: the limits that
   * replace the current limits at a time not known in advance; not higher than the current limits. */
  double store_rps, store_write_rps;
  double next_store_rps, next_store_write_rps;
  double value_kb; /* size limit of a value in KiB: the lower of the current and the future limit */
  double current_value_limit_kb; /* current size limit of a value in KiB */
  guint transaction_ops_max; /* operations per transaction: the lower of the current and the future limit */
  double cloud_rps;          /* rate limit of the cloud, requests per second */
  double cloud_list_lag_s;   /* longest delay until a change shows in the cloud's list of machines */
  double cpus, ram_mb, sockets;
  double clock_offset_ms; /* clock offset in ms, as stated by the platform */
  FkTuning tuning;
} FkSettings;

/* Returns settings with the default tuning, and without peers, teams or zones. */
FkSettings *fk_settings_new(void);
void fk_settings_free(FkSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSettings, fk_settings_free)
/* Returns whether the team has a CPU or GPU quota. Launches of a team without a quota do not need the team's
 * record. */
gboolean fk_team_has_quota(const FkTeam *team);
/* Returns the team named `name`, owned by `settings`; NULL if there is none. */
FkTeam *fk_settings_find_team(const FkSettings *settings, const char *name);
/* Returns the index in `teams` of the team named `name`; `teams->len` if there is none. */
guint fk_settings_team_index(const FkSettings *settings, const char *name);
