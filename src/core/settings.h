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

/* A service-level objective: the given share of the class's jobs is to meet the limit of `within_s`; `kind`
 * names the time that is measured. */
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
  double deadline_slack;       /* multiple of a task's run time that must be left before its deadline */
  double spot_patience;        /* share of a job's tolerable wait after which spot machines are provisioned */
  double silent_after_s; /* silence after which a machine is replaced; 0 derives it from the heartbeats */
  /* Longest wait of a cancellation's reply for the other controllers (api/cancellation_barrier.c). */
  double cancellation_barrier_s;
  FkAdmissionOptions admission; /* limits that are 0 are derived from the controller's resources */
} FkTuning;

typedef struct {
  char *node, *zone, *listen_addr, *peer_listen_addr;
  GPtrArray *peers; /* FkPeer */
  char *cloud_addr, *store_addr;
  GPtrArray *zones;      /* char* */
  GPtrArray *teams;      /* FkTeam */
  GPtrArray *objectives; /* FkObjective */
  double heartbeat_interval_s, worker_lease_s, cancellation_deadline_s;
  /* Rate limits of the store: the current ones, and the ones that apply from some later time on, which is not
   * announced. The latter are never above the current ones. */
  double store_rps, store_write_rps;
  double next_store_rps, next_store_write_rps;
  double value_kb;           /* size limit of a value in the store: the lower of current and next */
  double current_value_kb;   /* the current size limit */
  guint transaction_ops_max; /* limit of operations per transaction: the lower of current and next */
  double cloud_rps, cloud_list_lag_s;
  double cpus, ram_mb, sockets;
  double clock_offset_ms;
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
