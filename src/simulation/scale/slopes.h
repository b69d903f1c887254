/* `flaxknot-sim slopes DIR...`: least-squares lines through the summaries of several scale runs. */
#pragma once

/* Returns an exit status. */
int fk_sim_slopes(int argc, char **argv);
