"""Adapter to the users' platform: names, formats and calls, without policy."""
