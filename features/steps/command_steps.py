"""Steps on the command lines."""

import subprocess
import tempfile
from importlib.resources import files
from pathlib import Path

from behave import then, when

from features.support.clusters import PROGRAMS

TIMEOUT_S = 60
PLATFORM_DOWN = (
    "[host]\nname = operator\ndata_centre = x\n[platform]\nurl = http://127.0.0.1:1\n"
)
UNKNOWN_SETTING = "[host]\nname = operator\ndata_centre = x\n[entry]\ncolour = red\n"


def values_by_placeholder(context):
    """Returns the paths and URLs by their placeholders in the scenarios."""
    samples = files("sassafrasgrade") / "samples"
    values = {
        "KAPU": samples / "kapu",
        "AUTHORITY": samples / "authority",
        "NOWHERE": "/nonexistent",
        "BAD": write_settings_file(UNKNOWN_SETTING),
        "DOWN": write_settings_file(PLATFORM_DOWN),
    }
    if context.cluster is not None:
        values["OPERATOR"] = context.cluster.operator_settings
        urls = [host.url for host in context.cluster.plan.entry_hosts]
        values["ENTRIES"] = ",".join(urls)
    return values


def write_settings_file(text):
    """Writes a settings file; returns its path."""
    path = Path(tempfile.mkdtemp()) / "settings.ini"
    path.write_text(text)
    return path


@when('"{command}" runs')
def run_command(context, command):
    for name, value in values_by_placeholder(context).items():
        command = command.replace(f"={name}", f"={value}")
    program, *arguments = command.split()
    context.done = subprocess.run(
        [str(PROGRAMS / program), *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then('it ends with status {status:d} and prints "{text}"')
def check_output(context, status, text):
    done = context.done
    output = done.stdout + done.stderr
    assert done.returncode == status, (done.returncode, output)
    assert text in output, output


@when('{count:d} requests are sent to every route of "{service}"')
def send_to_service(context, count, service):
    classes = [
        {"name": method, "path": f"/{service}", "method": method, "rate": 100}
        for method in ("GET", "POST")
    ]
    load = context.cluster.start_load(
        "service", classes=classes, duration_s=60, count=count
    )
    load.result()
