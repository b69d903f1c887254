#include "wire/worker.h"

#include <string.h>

#define MACHINE_BYTES_MAX 100

/* Names of the commands in JSON, indexed by FkCommandKind. */
static const char *command_names[] = {"launch", "stop", "forget"};

static const struct {
  const char *text;
  FkTaskState state;
} task_states[] = {{"fetching", FK_TASK_FETCHING},
                   {"running", FK_TASK_RUNNING},
                   {"flushing", FK_TASK_SAVING},
                   {"exited", FK_TASK_EXITED}};

static const struct {
  const char *text;
  FkExitReason reason;
} exit_reasons[] = {{"done", FK_EXIT_DONE}, {"halted", FK_EXIT_STOPPED}, {"error", FK_EXIT_ERROR},
                    {"full", FK_EXIT_FULL}, {"busy", FK_EXIT_BUSY},      {"unknown", FK_EXIT_UNKNOWN}};

static FkTaskStatus *parse_task(const cJSON *json) {
  const char *name = fk_json_str(json, "strand"), *phase = fk_json_str(json, "phase"),
             *cause = fk_json_str(json, "cause");
  const char *slash = name ? strrchr(name, '/') : NULL;
  guint64 task, attempt;
  if (!slash || !phase || !fk_json_u64(json, "try", &attempt) ||
      !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
    return NULL;
  FkTaskStatus *status = g_new0(FkTaskStatus, 1);
  status->job = g_strndup(name, slash - name);
  status->task = (guint32)task;
  status->attempt.n = attempt;
  status->state = FK_TASK_OTHER;
  for (guint i = 0; i < G_N_ELEMENTS(task_states); i++)
    if (g_str_equal(task_states[i].text, phase))
      status->state = task_states[i].state;
  for (guint i = 0; cause && i < G_N_ELEMENTS(exit_reasons); i++)
    if (g_str_equal(exit_reasons[i].text, cause))
      status->exit_reason = exit_reasons[i].reason;
  return status;
}

FkHeartbeat *fk_worker_parse_heartbeat(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(FkHeartbeat) heartbeat = fk_heartbeat_new();
  gboolean spot = FALSE;
  const cJSON *tasks = fk_json_get(json, "strands"), *item;
  if (!cJSON_IsObject(json) || !fk_json_str(json, "knotter") ||
      !fk_json_u64(json, "shift", &heartbeat->incarnation) ||
      !fk_json_u64(json, "tally", &heartbeat->sequence) ||
      !fk_json_u64(json, "baton", &heartbeat->fencing_token.n) || (tasks && !cJSON_IsArray(tasks)))
    return NULL;
  heartbeat->machine = g_strdup(fk_json_str(json, "knotter"));
  heartbeat->addr = g_strdup(fk_json_str(json, "address"));
  heartbeat->type = g_strdup(fk_json_str(json, "build"));
  heartbeat->zone = g_strdup(fk_json_str(json, "yard"));
  fk_json_bool(json, "loaners", &spot);
  heartbeat->spot = spot;
  heartbeat->termination_notice_s = fk_json_num_or(json, "recall_s", -1);
  if (!heartbeat->addr || !heartbeat->type || !heartbeat->zone ||
      strlen(heartbeat->machine) > MACHINE_BYTES_MAX)
    return NULL;
  cJSON_ArrayForEach(item, tasks) {
    FkTaskStatus *status = parse_task(item);
    if (!status)
      return NULL; /* reject the whole heartbeat: the task that can't be parsed may still be running */
    g_ptr_array_add(heartbeat->tasks, status);
  }
  return g_steal_pointer(&heartbeat);
}

static void add_commands(cJSON *json, const GPtrArray *commands) {
  cJSON *list = cJSON_AddArrayToObject(json, "orders");
  for (guint i = 0; commands && i < commands->len; i++) {
    const FkCommand *command = commands->pdata[i];
    cJSON *item = cJSON_CreateObject();
    g_autofree char *task = g_strdup_printf("%s/%u", command->job, command->task);
    cJSON_AddStringToObject(item, "verb", command_names[command->kind]);
    cJSON_AddStringToObject(item, "strand", task);
    fk_json_add_u64(item, "try", command->attempt.n);
    if (command->kind == FK_COMMAND_STOP)
      cJSON_AddNumberToObject(item, "mercy_s", command->grace_s);
    cJSON_AddItemToArray(list, item);
  }
}

char *fk_worker_print_reply(const FkOutput *output) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  if (output->status == 200) {
    fk_json_add_u64(json, "baton", output->fencing_token.n);
    add_commands(json, output->commands);
  } else if (output->redirect_to) {
    cJSON_AddStringToObject(json, "foreman", output->redirect_to);
  }
  return fk_json_print(json);
}

char *fk_worker_print_commands(const FkOutput *output) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  fk_json_add_u64(json, "baton", output->fencing_token.n);
  fk_json_add_u64(json, "shift", output->incarnation);
  add_commands(json, output->commands);
  return fk_json_print(json);
}

/* ------------------------------------------------------------------ the worker's side */

static const char *state_name(FkTaskState state) {
  for (guint i = 0; i < G_N_ELEMENTS(task_states); i++)
    if (task_states[i].state == state)
      return task_states[i].text;
  return "unknown";
}

static const char *exit_reason_name(FkExitReason reason) {
  for (guint i = 0; i < G_N_ELEMENTS(exit_reasons); i++)
    if (exit_reasons[i].reason == reason)
      return exit_reasons[i].text;
  return NULL;
}

static cJSON *task_to_json(const FkTaskStatus *status) {
  cJSON *json = cJSON_CreateObject();
  g_autofree char *name = g_strdup_printf("%s/%u", status->job, status->task);
  cJSON_AddStringToObject(json, "strand", name);
  fk_json_add_u64(json, "try", status->attempt.n);
  cJSON_AddStringToObject(json, "phase", state_name(status->state));
  const char *cause = status->state == FK_TASK_EXITED ? exit_reason_name(status->exit_reason) : NULL;
  if (cause)
    cJSON_AddStringToObject(json, "cause", cause);
  return json;
}

char *fk_worker_print_heartbeat(const FkHeartbeat *heartbeat) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "knotter", heartbeat->machine);
  cJSON_AddStringToObject(json, "address", heartbeat->addr);
  cJSON_AddStringToObject(json, "build", heartbeat->type);
  cJSON_AddStringToObject(json, "yard", heartbeat->zone);
  cJSON_AddBoolToObject(json, "loaners", heartbeat->spot);
  fk_json_add_u64(json, "shift", heartbeat->incarnation);
  fk_json_add_u64(json, "tally", heartbeat->sequence);
  fk_json_add_u64(json, "baton", heartbeat->fencing_token.n);
  cJSON *tasks = cJSON_AddArrayToObject(json, "strands");
  for (guint i = 0; i < heartbeat->tasks->len; i++)
    cJSON_AddItemToArray(tasks, task_to_json(heartbeat->tasks->pdata[i]));
  return fk_json_print(json);
}

void fk_worker_commands_free(FkWorkerCommands *commands) {
  g_clear_pointer(&commands->commands, g_ptr_array_unref);
  g_free(commands->redirect);
  g_free(commands);
}

static void command_free(gpointer data) {
  g_free(((FkCommand *)data)->job);
  g_free(data);
}

static FkCommand *parse_command(const cJSON *json) {
  const char *verb = fk_json_str(json, "verb"), *name = fk_json_str(json, "strand");
  const char *slash = name ? strrchr(name, '/') : NULL;
  guint64 task, attempt;
  if (!verb || !slash || !fk_json_u64(json, "try", &attempt) ||
      !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
    return NULL;
  for (guint i = 0; i < G_N_ELEMENTS(command_names); i++) {
    if (!g_str_equal(command_names[i], verb))
      continue;
    FkCommand *command = g_new0(FkCommand, 1);
    *command = (FkCommand){(FkCommandKind)i,
                           g_strndup(name, slash - name),
                           (guint32)task,
                           {attempt},
                           fk_json_num_or(json, "mercy_s", 0)};
    return command;
  }
  return NULL;
}

static FkWorkerCommands *parse_commands(const cJSON *json) {
  g_autoptr(FkWorkerCommands) commands = g_new0(FkWorkerCommands, 1);
  commands->commands = g_ptr_array_new_with_free_func(command_free);
  commands->redirect = g_strdup(fk_json_str(json, "foreman"));
  if (!cJSON_IsObject(json) || !fk_json_u64(json, "baton", &commands->fencing_token.n))
    return commands->redirect ? g_steal_pointer(&commands) : NULL;
  const cJSON *item;
  cJSON_ArrayForEach(item, fk_json_get(json, "orders")) {
    FkCommand *command = parse_command(item);
    if (!command)
      return NULL;
    g_ptr_array_add(commands->commands, command);
  }
  return g_steal_pointer(&commands);
}

FkWorkerCommands *fk_worker_parse_reply(guint status, const char *body, gsize len) {
  g_autoptr(cJSON) json = status == 200 || status == 421 ? fk_json_parse(body, len) : NULL;
  return json ? parse_commands(json) : NULL;
}

FkWorkerCommands *fk_worker_parse_commands(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  guint64 incarnation;
  if (!json || !fk_json_u64(json, "shift", &incarnation))
    return NULL;
  FkWorkerCommands *commands = parse_commands(json);
  if (commands)
    commands->incarnation = incarnation;
  return commands;
}
