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
  double cpus, cpus_max, gpus, gpus_max;
} FkTeam;

typedef struct {
  char *kind, *class_name;
  double within_s, share;
} FkObjective;

/* The operators' own file; every field has a default (see schema/operator.schema.json). */
typedef struct {
  double window_s;      /* Elastic Sizing's window */
  double max_wait_s;    /* MaxTaskWaitingTime */
  double span;          /* MaxShortPartitionSize - MinShortPartitionSize, share of machines */
  double cutoff_s;      /* estimates below it are short */
  double probe_ratio;   /* probes a waiting short task */
  double steal_after_s; /* a short task that waited so long may go to any controller's machines */
  double idle_s;        /* an idle machine is returned after this */
  double headroom_s;    /* arrivals of services during so many seconds find room */
  double slack;         /* times a task's run time that must be left before its job is due */
  double spot_patience; /* share of its patience that a task waits before a spot machine is rented for it */
  double silent_s;      /* a machine not heard for so long is replaced; 0: derived from `report_s` */
  double tell_after_s;  /* the longest that a cancellation's answer waits for a controller; see tell.c */
  FkDoorWishes door;    /* the front door; 0: derived from the controller's resources */
} FkTuning;

typedef struct {
  char *node, *zone, *listen, *mesh;
  GPtrArray *peers; /* FkPeer */
  char *cloud, *state;
  GPtrArray *zones;      /* char* */
  GPtrArray *teams;      /* FkTeam */
  GPtrArray *objectives; /* FkObjective */
  double report_s, lease_s, cancel_s;
  double state_rps, state_write_rps; /* now */
  double next_rps, next_write_rps;   /* from some moment on, without notice; never above those of now */
  double value_kb, now_value_kb;     /* the lower of now and next; now's */
  guint txn_ops;                     /* the lower of now and next */
  double cloud_rps, list_lag_s;
  double cpu, ram_mb, sockets;
  double clock_off_ms;
  FkTuning tuning;
} FkSettings;

FkSettings *fk_settings_new(void);
void fk_settings_free(FkSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSettings, fk_settings_free)
/* Whether any limit of the team's must be kept: without one no launch of it needs the team's record. */
gboolean fk_team_limited(const FkTeam *t);
FkTeam *fk_settings_team(const FkSettings *s, const char *name);
/* Its place among the teams; `name` must be one of them. */
guint fk_settings_team_index(const FkSettings *s, const char *name);
