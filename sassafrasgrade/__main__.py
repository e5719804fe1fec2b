"""Runs the operators' command line with ``python -m sassafrasgrade``."""

from sassafrasgrade.tools.operators import main

main()
