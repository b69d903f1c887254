/* Messages of the core: creating and freeing them. */
#include "core/messages.h"

static void task_status_free(gpointer data) {
  FkTaskStatus *status = data;
  g_free(status->job);
  g_free(status);
}

FkHeartbeat *fk_heartbeat_new(void) {
  FkHeartbeat *heartbeat = g_new0(FkHeartbeat, 1);
  heartbeat->tasks = g_ptr_array_new_with_free_func(task_status_free);
  heartbeat->termination_notice_s = -1;
  return heartbeat;
}

void fk_heartbeat_free(FkHeartbeat *heartbeat) {
  if (!heartbeat)
    return;
  g_free(heartbeat->machine);
  g_free(heartbeat->addr);
  g_free(heartbeat->type);
  g_free(heartbeat->zone);
  g_ptr_array_unref(heartbeat->tasks);
  g_free(heartbeat);
}

void fk_instance_type_free(gpointer data) {
  FkInstanceType *type = data;
  g_free(type->name);
  g_strfreev(type->zones);
  g_free(type);
}

void fk_cloud_machine_free(gpointer data) {
  FkCloudMachine *machine = data;
  g_free(machine->id);
  g_free(machine->addr);
  g_free(machine->type);
  g_free(machine->zone);
  g_free(machine);
}

FkOutput *fk_output_ref(FkOutput *output) {
  output->extra_refs++;
  return output;
}

void fk_output_free(FkOutput *output) {
  if (!output || output->extra_refs--)
    return;
  g_free(output->job);
  if (output->commands)
    g_ptr_array_unref(output->commands);
  g_free(output->redirect_to);
  if (output->guards) {
    for (guint i = 0; i < output->guards->len; i++)
      g_free(g_array_index(output->guards, FkGuard, i).path);
    g_array_unref(output->guards);
  }
  if (output->writes) {
    for (guint i = 0; i < output->writes->len; i++) {
      g_free(g_array_index(output->writes, FkWrite, i).path);
      fk_record_free(g_array_index(output->writes, FkWrite, i).record);
    }
    g_array_unref(output->writes);
  }
  g_free(output->path);
  g_free(output->after);
  g_free(output->machine);
  g_free(output->addr);
  g_free(output->name);
  g_free(output->type);
  g_free(output->zone);
  if (output->names)
    g_ptr_array_unref(output->names);
  g_free(output);
}
