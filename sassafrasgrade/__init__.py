"""Fleet capacity and maintenance manager driven by two tables."""

__version__ = "0.1.0"
