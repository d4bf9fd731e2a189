"""Fleet capacity and maintenance manager driven by signed bundles."""

__version__ = "0.1.0"
