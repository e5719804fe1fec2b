"""Development tasks; run them with ``invoke NAME``."""

from invoke import task

CODE = "sassafrasgrade features benches tasks.py"


@task
def format(context):
    """Formats the code."""
    context.run(f"isort {CODE} && black -q {CODE}")


@task
def lint(context):
    """Checks format and style."""
    context.run(f"black --check -q {CODE} && isort --check -q {CODE}")
    context.run(f"flake8 {CODE}")


@task
def test(context):
    """Runs every scenario except those in KNOWN-RED.txt."""
    context.run("bash .ci/run")


@task
def bench(context, name="overheads"):
    """Runs a benchmark: a module of ``benches``, such as overheads or placements."""
    context.run(f"python -m benches.{name}")
