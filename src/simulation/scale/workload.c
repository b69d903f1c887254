#include "simulation/scale/workload.h"

#include <string.h>

#include "wire/user.h"

#define TASK_MEM_GB 1.0
#define URGENT_TASKS_MAX 4
#define URGENT_RUN_S 10.0
#define IMAGES 20
#define IMAGE_GB 0.1
#define DRAW_RANGE 9007199254740992.0 /* 2^53 */
#define IDS_PER_REGION G_GUINT64_CONSTANT(1000000000)

char *fk_scale_team_name(guint team) { return g_strdup_printf("team-%03u", team); }

/* The form that ids of users' jobs always have. */
char *fk_scale_job_id(guint region, guint64 number) {
  return g_strdup_printf("run-%012" G_GUINT64_FORMAT, (region + 1) * IDS_PER_REGION + number);
}

/* A pseudo-random number in [0, 1): a hash of the seed, a job and what is drawn. */
static double draw(const FkScalePlan *plan, guint64 job, guint64 purpose) {
  guint64 hash = job * G_GUINT64_CONSTANT(0x9e3779b97f4a7c15) +
                 purpose * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9) + plan->seed;
  hash = (hash ^ (hash >> 30)) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
  hash = (hash ^ (hash >> 27)) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
  return (double)((hash ^ (hash >> 31)) >> 11) / DRAW_RANGE;
}

enum { DRAW_TEAM = 1, DRAW_TASKS, DRAW_IMAGE, DRAW_RUN_TIME };

static guint64 job_number(const char *id) { return g_ascii_strtoull(id + strlen("run-"), NULL, 10); }

gboolean fk_scale_job_is_urgent(const FkSpec *spec) { return spec->priority == FK_JOB_PRIORITY_HIGH; }

/* A quarter of the teams have urgent jobs only, so that bulk jobs don't exhaust their quotas. */
static guint job_team(const FkScalePlan *plan, guint64 number, gboolean urgent) {
  guint urgent_teams = MAX(1, plan->teams / 4), bulk_teams = MAX(1, plan->teams - urgent_teams);
  double fraction = draw(plan, number, DRAW_TEAM);
  return urgent ? plan->teams - urgent_teams + (guint)(fraction * urgent_teams)
                : (guint)(fraction * bulk_teams);
}

FkSpec *fk_scale_job(const FkScalePlan *plan, const char *id) {
  if (!fk_user_id_is_valid(id) || job_number(id) < IDS_PER_REGION)
    return NULL;
  guint64 number = job_number(id);
  gboolean urgent = number % 2;
  FkSpec *spec = fk_spec_new();
  spec->id = g_strdup(id);
  spec->class_name = g_strdup(urgent ? "urgent" : "bulk");
  spec->team = fk_scale_team_name(job_team(plan, number, urgent));
  spec->shape = FK_SHAPE_ARRAY;
  spec->priority = urgent ? FK_JOB_PRIORITY_HIGH : FK_JOB_PRIORITY_NORMAL;
  double fraction = draw(plan, number, DRAW_TASKS);
  spec->tasks =
      (guint32)(urgent ? 1 + fraction * URGENT_TASKS_MAX : 1 + (0.5 + fraction) * plan->tasks_per_job);
  spec->cpus = FK_SCALE_TASK_CPUS;
  spec->mem_gb = TASK_MEM_GB;
  spec->image = g_strdup_printf("image-%02u", (guint)(draw(plan, number, DRAW_IMAGE) * IMAGES));
  spec->image_gb = IMAGE_GB;
  spec->estimate_s = urgent ? URGENT_RUN_S : plan->task_run_s;
  spec->deadline_s = -1;
  return spec;
}

double fk_scale_task_run_s(const FkScalePlan *plan, const FkSpec *spec, guint32 task) {
  return spec->estimate_s * (0.5 + draw(plan, job_number(spec->id), DRAW_RUN_TIME + task));
}
