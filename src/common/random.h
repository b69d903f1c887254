/* Random numbers that are the same for the same seed on every kind of processor. */
#pragma once
#include <glib.h>

/* Returns a random number from `begin` up to, but not including, `end`: that of g_rand_double_range where
 * GLib rounds each operation. Some builds of GLib fuse the multiplication and the subtraction into one
 * operation, which changes the last digit. */
static inline double fk_random_uniform(GRand *rand, double begin, double end) {
  double share = g_rand_double(rand);
  double up = share * end;
  double down = (share - 1) * begin;
  return up - down;
}
