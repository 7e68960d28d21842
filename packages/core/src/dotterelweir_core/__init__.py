"""Decision logic of dotterelweir, free of I/O."""
