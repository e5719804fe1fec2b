"""Support code of the scenarios."""
