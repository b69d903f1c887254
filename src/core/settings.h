/* What the platform and the operators tell a controller. Plain data; read by wire/settings.c. */
#pragma once
#include "admission/limits.h"
#include "core/types.h"

typedef struct {
  char *name, *zone, *addr;
} FkPeer;

/* A guarantee of 0 is none; a limit is infinite where the platform sets none (teams/limits.h). */
typedef struct {
  char *name;
  double guaranteed_cpus, max_cpus, guaranteed_gpus, max_gpus;
} FkTeam;

typedef struct {
  char *kind, *class_name;
  double within_s, share;
} FkObjective;

/* The operators' own file; every field has a default (see schema/operator.schema.json). */
typedef struct {
  double window_s;             /* Elastic Sizing's window */
  double max_wait_s;           /* MaxTaskWaitingTime */
  double short_partition_span; /* MaxShortPartitionSize - MinShortPartitionSize, share of machines */
  double short_cutoff_s;       /* estimates below it are short */
  double probe_ratio;          /* probes a waiting short task */
  double steal_after_s;        /* a short task that waited so long may go to any controller's machines */
  double idle_s;               /* an idle machine is returned after this */
  double headroom_s;           /* arrivals of services during so many seconds find room */
  double deadline_slack;       /* times a task's run time that must be left before its job is due */
  double spot_patience;  /* share of its patience that a task waits before a spot machine is rented for it */
  double silent_after_s; /* a machine not heard for so long is replaced; 0: derived from `report_s` */
  double cancellation_barrier_s; /* the longest that a cancellation's answer waits for a controller; see
                                    tell.c */
  FkAdmissionOptions admission;  /* the front door; 0: derived from the controller's resources */
} FkTuning;

typedef struct {
  char *node, *zone, *listen_addr, *peer_listen_addr;
  GPtrArray *peers; /* FkPeer */
  char *cloud_addr, *store_addr;
  GPtrArray *zones;      /* char* */
  GPtrArray *teams;      /* FkTeam */
  GPtrArray *objectives; /* FkObjective */
  double heartbeat_interval_s, worker_lease_s, cancellation_deadline_s;
  double store_rps, store_write_rps; /* now */
  double next_store_rps,
      next_store_write_rps;          /* from some moment on, without notice; never above those of now */
  double value_kb, current_value_kb; /* the lower of now and next; now's */
  guint transaction_ops_max;         /* the lower of now and next */
  double cloud_rps, cloud_list_lag_s;
  double cpus, ram_mb, sockets;
  double clock_offset_ms;
  FkTuning tuning;
} FkSettings;

FkSettings *fk_settings_new(void);
void fk_settings_free(FkSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSettings, fk_settings_free)
/* Whether any limit of the team's must be kept: without one no launch of it needs the team's record. */
gboolean fk_team_has_limit(const FkTeam *t);
FkTeam *fk_settings_find_team(const FkSettings *s, const char *name);
/* Its place among the teams; `name` must be one of them. */
guint fk_settings_team_index(const FkSettings *s, const char *name);
