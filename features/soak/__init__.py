"""Real entry processes under random faults; see `python -m features.soak`."""
