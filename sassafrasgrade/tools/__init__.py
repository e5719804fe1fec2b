"""Secondary programs: operators' command line, reports, soak, demo and stand-ins."""
