"""Counts the work of code in lines executed, whatever the speed of the machine."""

import sys


def count_lines(function):
    """Returns how many lines of Python code a call of a function executes."""
    lines = 0

    def trace(_frame, event, _argument):
        nonlocal lines
        lines += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return lines
