#include "core/messages.h"

static void task_status_free(gpointer p) {
  FkTaskStatus *t = p;
  g_free(t->job);
  g_free(t);
}

FkHeartbeat *fk_heartbeat_new(void) {
  FkHeartbeat *r = g_new0(FkHeartbeat, 1);
  r->tasks = g_ptr_array_new_with_free_func(task_status_free);
  r->termination_notice_s = -1;
  return r;
}

void fk_heartbeat_free(FkHeartbeat *r) {
  if (!r)
    return;
  g_free(r->machine);
  g_free(r->addr);
  g_free(r->type);
  g_free(r->zone);
  g_ptr_array_unref(r->tasks);
  g_free(r);
}

void fk_instance_type_free(gpointer p) {
  FkInstanceType *t = p;
  g_free(t->name);
  g_strfreev(t->zones);
  g_free(t);
}

void fk_cloud_machine_free(gpointer p) {
  FkCloudMachine *l = p;
  g_free(l->id);
  g_free(l->addr);
  g_free(l->type);
  g_free(l->zone);
  g_free(l);
}

FkOutput *fk_output_ref(FkOutput *o) {
  o->extra_refs++;
  return o;
}

void fk_output_free(FkOutput *o) {
  if (!o || o->extra_refs--)
    return;
  g_free(o->job);
  if (o->commands)
    g_ptr_array_unref(o->commands);
  g_free(o->redirect_to);
  if (o->guards) {
    for (guint i = 0; i < o->guards->len; i++)
      g_free(g_array_index(o->guards, FkGuard, i).path);
    g_array_unref(o->guards);
  }
  if (o->writes) {
    for (guint i = 0; i < o->writes->len; i++) {
      g_free(g_array_index(o->writes, FkWrite, i).path);
      fk_record_free(g_array_index(o->writes, FkWrite, i).record);
    }
    g_array_unref(o->writes);
  }
  g_free(o->path);
  g_free(o->after);
  g_free(o->machine);
  g_free(o->addr);
  g_free(o->name);
  g_free(o->type);
  g_free(o->zone);
  if (o->names)
    g_ptr_array_unref(o->names);
  g_free(o);
}
