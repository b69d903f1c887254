/* Settings of the platform and of the operators. Plain data, read by wire/settings.c. */
#pragma once
#include "admission/limits.h"
#include "common/types.h"

/* Another controller. */
typedef struct {
  char *name, *zone, *addr;
} FkPeer;

/* A guarantee of 0 is none; a quota is infinite where the platform sets none (fair_share/quota.h). */
typedef struct {
  char *name;
  double guaranteed_cpus, max_cpus, guaranteed_gpus, max_gpus;
} FkTeam;

/* A service-level objective: a share of a class's jobs within so long; `kind` says what is measured. */
typedef struct {
  char *kind, *class_name;
  double within_s, share;
} FkObjective;

/* The operators' file; every field has a default (schema/operator.schema.json). */
typedef struct {
  double window_s;             /* of Elastic Sizing and of the statistics */
  double max_wait_s;           /* MaxTaskWaitingTime */
  double short_partition_span; /* MaxShortPartitionSize - MinShortPartitionSize, share of machines */
  double short_cutoff_s;       /* estimates below it are short */
  double probe_ratio;          /* probes a waiting short task */
  double steal_after_s;        /* a short task that waited so long may go to any controller's machines */
  double idle_s;               /* an idle machine is terminated after this */
  double headroom_s;           /* capacity is kept for the services that arrive in so long */
  double deadline_slack;       /* times a task's run time that must be left before the deadline */
  double spot_patience;  /* share of its patience that a task waits before a spot machine is provisioned */
  double silent_after_s; /* a machine silent for so long is replaced; 0: from the heartbeat interval */
  double
      cancellation_barrier_s; /* the longest that a cancellation's reply waits (api/cancellation_barrier.c) */
  FkAdmissionOptions admission; /* 0: derived from the controller's resources */
} FkTuning;

typedef struct {
  char *node, *zone, *listen_addr, *peer_listen_addr;
  GPtrArray *peers; /* FkPeer */
  char *cloud_addr, *store_addr;
  GPtrArray *zones;      /* char* */
  GPtrArray *teams;      /* FkTeam */
  GPtrArray *objectives; /* FkObjective */
  double heartbeat_interval_s, worker_lease_s, cancellation_deadline_s;
  double store_rps, store_write_rps; /* at present */
  double next_store_rps,
      next_store_write_rps; /* from some moment on, without notice; never above the present ones */
  double value_kb, current_value_limit_kb; /* the lower of present and next; the present one */
  guint transaction_ops_max;               /* the lower of present and next */
  double cloud_rps, cloud_list_lag_s;
  double cpus, ram_mb, sockets;
  double clock_offset_ms;
  FkTuning tuning;
} FkSettings;

/* With the defaults of all tuning, and no peers, teams or zones. */
FkSettings *fk_settings_new(void);
void fk_settings_free(FkSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSettings, fk_settings_free)
/* Whether the team has a quota: without one no launch of it needs the team's record. */
gboolean fk_team_has_quota(const FkTeam *team);
/* Borrowed; NULL: there is no such team. */
FkTeam *fk_settings_find_team(const FkSettings *settings, const char *name);
/* Its position among the teams; their number if it is none of them. */
guint fk_settings_team_index(const FkSettings *settings, const char *name);
