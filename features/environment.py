"""Hooks of behave: every scenario ends the processes that it started."""


def before_scenario(context, scenario):
    """Starts without a cluster."""
    context.cluster = None


def after_scenario(context, scenario):
    """Ends the scenario's cluster; keeps its folder if the scenario failed."""
    if context.cluster is not None:
        context.cluster.stop()
        if scenario.status.name == "failed":
            print(f"outputs of the processes: {context.cluster.folder}")
