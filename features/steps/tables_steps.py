"""Steps on settings and tables; no processes."""

import shutil
import tempfile
from importlib.resources import files
from pathlib import Path

from behave import given, then, when
from returns.result import Failure

from sassafrasgrade.routers import Router
from sassafrasgrade.settings import read_settings
from sassafrasgrade.table_checks import check_configuration
from sassafrasgrade.table_readers import read_tables

VALID_HOST = "name = entry-1\ndata_centre = szeged\n"


@given('a settings file with "{setting}" in section "{section}"')
def write_settings(context, setting, section):
    key = setting.partition(" ")[0]
    lines = [line for line in VALID_HOST.splitlines() if not line.startswith(key)]
    host = "\n".join(lines if section == "host" else VALID_HOST.splitlines())
    head = f"[host]\n{host}\n"
    text = head + setting if section == "host" else f"{head}[{section}]\n{setting}"
    context.path = Path(tempfile.mkdtemp()) / "settings.ini"
    context.path.write_text(text + "\n")


@when("the settings are read")
def read_written_settings(context):
    context.result = read_settings(context.path)


@then('the error names "{place}" and says "{remedy}"')
def check_error(context, place, remedy):
    assert isinstance(context.result, Failure), context.result
    text = str(context.result.failure())
    assert f"{context.path} {place}" in text, text
    assert remedy in text, text


@given("the sample tables of {user}")
def copy_tables(context, user):
    context.folder = Path(tempfile.mkdtemp()) / user
    shutil.copytree(files("sassafrasgrade") / "samples" / user, context.folder)


@when('"{table}" gets "{text}" in place of "{old}"')
def edit_table(context, table, text, old):
    path = context.folder / f"{table}.ini"
    content = path.read_text()
    assert old in content, old
    # A text that ends with "#" replaces the rest of the line too.
    if text.endswith("#"):
        start = content.index(old)
        end = content.index("\n", start)
        content = content[:start] + text[:-1] + content[end:]
    else:
        content = content.replace(old, text, 1)
    path.write_text(content)


@then('the tables are refused with "{message}"')
def check_refused(context, message):
    result = read_tables(context.folder / "routes.ini", context.folder / "pools.ini")
    if isinstance(result, Failure):
        texts = [str(result.failure())]
    else:
        texts = [str(error) for error in check_configuration(result.unwrap())]
    assert any(message in text for text in texts), texts


@then('the route of "{method}" "{path}" is "{route}"')
def check_route(context, method, path, route):
    tables = read_tables(context.folder / "routes.ini", context.folder / "pools.ini")
    router = Router(tables.unwrap().routes_by_name.values())
    found = router.find(method, path)
    assert (found.name if found else "none") == route, found
