/* What the fuzzers share. */
#pragma once
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A property that must hold; kept when asserts are compiled out. */
#define FK_HOLDS(what)                                                                                       \
  do {                                                                                                       \
    if (!(what)) {                                                                                           \
      fprintf(stderr, "%s:%d: doesn't hold: %s\n", __FILE__, __LINE__, #what);                               \
      abort();                                                                                               \
    }                                                                                                        \
  } while (0)

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size);
