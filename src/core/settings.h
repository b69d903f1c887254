/* The platform's settings and the operators' tuning. Plain data, parsed by wire/settings.c. */
#pragma once
#include "admission/limits.h"
#include "common/types.h"

/* Another controller. */
typedef struct {
  char *name, *zone, *addr;
} FkPeer;

/* A team's guarantees and quotas. A guarantee of 0 means none; a quota is infinite if the platform sets none
 * (fair_share/quota.h). */
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

/* The operators' settings file; every field has a default (schema/operator.schema.json). */
typedef struct {
  double window_s;             /* length of a window of Elastic Sizing and of the statistics */
  double max_wait_s;           /* Elastic Sizing: MaxTaskWaitingTime */
  double short_partition_span; /* MaxShortPartitionSize - MinShortPartitionSize, as a share of all machines */
  double short_cutoff_s;       /* jobs with a lower estimate are short */
  double probe_ratio;          /* number of probes per waiting short task */
  double steal_after_s;        /* after this wait, a short task may go to machines of any controller */
  double idle_s;               /* idle time after which a machine is terminated */
  double headroom_s;           /* capacity is reserved for the services expected to arrive in this time */
  double deadline_slack;       /* safety factor on the expected run time of jobs with a deadline */
  /* Spot machines are provisioned for a job after this share of the longest wait that it can afford. */
  double spot_patience;
  /* Time without heartbeats after which a machine is replaced; 0 to derive it from the heartbeat interval. */
  double silent_after_s;
  /* Longest time for which the reply to a cancellation waits until all controllers have applied the
   * cancellation (api/cancellation_barrier.c). */
  double cancellation_barrier_s;
  FkAdmissionOptions admission; /* limits that are 0 are derived from the controller's resources */
} FkTuning;

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
  /* Rate limits of the store, per second: the current limits, and the lower or equal limits that will replace
   * them at a time that is not known in advance. */
  double store_rps, store_write_rps;
  double next_store_rps, next_store_write_rps;
  double value_kb;           /* size limit of a value in KiB: the lower of the current and the future limit */
  double current_value_kb;   /* the current limit */
  guint transaction_ops_max; /* operations per transaction: the lower of the current and the future limit */
  double cloud_rps;          /* rate limit of the cloud */
  double cloud_list_lag_s;   /* longest delay until a change shows in the cloud's list of machines */
  double cpus, ram_mb, sockets;
  double clock_offset_ms; /* clock offset that the platform states */
  FkTuning tuning;
} FkSettings;

/* Returns settings with the default tuning, and without peers, teams or zones. */
FkSettings *fk_settings_new(void);
void fk_settings_free(FkSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSettings, fk_settings_free)
/* Returns whether the team has a quota. If not, its launches do not need the team's record. */
gboolean fk_team_has_limit(const FkTeam *team);
/* Returns the team, owned by `settings`; NULL if there is none of that name. */
FkTeam *fk_settings_find_team(const FkSettings *settings, const char *name);
/* Returns the index of the team; the number of teams if there is none of that name. */
guint fk_settings_team_index(const FkSettings *settings, const char *name);
