"""Runs real entry processes under random faults (`python -m features.soak`)."""
