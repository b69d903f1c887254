#pragma once
/* `flaxknot-sim slopes DIR...`: least squares over the summaries of several scale runs. */
int fk_sim_slopes(int argc, char **argv);
