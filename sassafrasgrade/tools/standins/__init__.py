"""Stand-ins for the platform, backend servers, faulty networks and callers."""
