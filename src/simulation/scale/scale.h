#pragma once
/* `flaxknot-sim scale`: real controllers against hollow workers, in real time on loopback. */
int fk_lab_scale(int argc, char **argv);
