"""Small stand-ins for the platform, backend servers, faults and callers."""
