"""Secondary programs: the operators' command line, reports and stand-ins."""
