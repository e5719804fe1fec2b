"""Hooks of behave: the processes of a scenario are stopped when it ends."""


def before_scenario(context, scenario):
    """Starts without a cluster."""
    context.cluster = None


def after_scenario(context, scenario):
    """Stops the scenario's cluster; prints its folder if the scenario failed."""
    if context.cluster is not None:
        context.cluster.stop()
        if scenario.status.name == "failed":
            print(f"outputs of the processes: {context.cluster.folder}")
