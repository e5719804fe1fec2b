"""Settings of the programs: defaults, reading, validation and conversion."""

import configparser
import ipaddress
import re
import sys
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from sassafrasgrade.errors import SettingInvalid

DEFAULT_SETTINGS = {
    # Name and location of the host that a process runs on.
    "HOST_NAME": "",
    "HOST_DATA_CENTRE": "",
    "HOST_ADDRESS": "127.0.0.1",
    # The platform's key-value service and host list.
    "PLATFORM_URL": "http://127.0.0.1:7400",
    "PLATFORM_TIMEOUT_S": 2.0,
    "PLATFORM_WATCH_S": 20.0,
    "PLATFORM_HOSTS_PERIOD_S": 0.5,
    # The entry process.
    "ENTRY_HTTP_PORT": 8080,
    "ENTRY_STREAM_PORT": 7410,
    "ENTRY_LONGEST_BODY_BYTES": 1_048_576,
    "ENTRY_LONGEST_QUEUE": 2000,
    "ENTRY_STOP_TIMEOUT_S": 30.0,
    "ENTRY_SLOT_METHOD": "owner",
    "ENTRY_ADMISSION_METHOD": "shares",
    "ENTRY_CONNECT_TIMEOUT_S": 0.5,
    # The manager process.
    "MANAGER_STREAM_PORT": 7420,
    "MANAGER_PEERS": [],
    "MANAGER_SILENCE_S": 2.5,
    # Logs of every process.
    "LOG_LEVEL": "INFO",
}

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]

EXIT_BAD_SETTINGS = 2
PEER_PATTERN = r"^[a-z0-9.-]+/[a-z0-9.-]+/[0-9a-f.:]+$"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Validated settings; field names are INI section and key joined by ``_``.

    Durations are in seconds and sizes in bytes. ``manager_peers`` holds
    ``name/data_centre/address`` of the entry hosts that are known at start.
    """

    host_name: Name
    host_data_centre: Name
    host_address: str
    platform_url: Annotated[str, msgspec.Meta(pattern=r"^https?://[0-9\[]")]
    platform_timeout_s: Seconds
    platform_watch_s: Seconds
    platform_hosts_period_s: Seconds
    entry_http_port: Port
    entry_stream_port: Port
    entry_longest_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=67_108_864)]
    entry_longest_queue: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    entry_stop_timeout_s: Seconds
    entry_slot_method: Literal["owner", "split"]
    entry_admission_method: Literal["shares", "fifo"]
    entry_connect_timeout_s: Seconds
    manager_stream_port: Port
    manager_peers: list[Annotated[str, msgspec.Meta(pattern=PEER_PATTERN)]]
    manager_silence_s: Seconds
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]


FIELD_IN_MESSAGE = re.compile(r"`\$\.([a-z_]+)")


def read_settings(path) -> Result[Settings, SettingInvalid]:
    """Reads and checks an INI settings file of an entry or manager.

    Args:
        path: The file's path.

    Returns:
        The validated settings, or ``SettingInvalid`` with file, section, key,
        the value found and the value expected.
    """
    values = read_values(path, DEFAULT_SETTINGS)
    return values.bind(lambda found: check_settings(found, source=path))


def read_values(path, defaults) -> Result[dict, SettingInvalid]:
    """Reads the values of an INI file as text.

    Args:
        path: The file's path.
        defaults: Known settings by upper-case ``SECTION_KEY``.

    Returns:
        Texts by upper-case name, or ``SettingInvalid``.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream)
    except OSError as error:
        return Failure(
            SettingInvalid(
                f"{path} cannot be read ({error.strerror})",
                "Give the path of a readable INI file with --settings.",
            )
        )
    except (configparser.Error, UnicodeDecodeError) as error:
        return Failure(
            SettingInvalid(
                f"{path} is not valid INI ({str(error).splitlines()[0]})",
                "Write sections as [name] and settings as key = value.",
            )
        )
    values = {}
    for section in parser.sections():
        for key, text in parser.items(section):
            name = f"{section}_{key}".upper()
            if name not in defaults:
                return Failure(_unknown_key(path, section, key, defaults))
            values[name] = text
    return Success(values)


def check_settings(values, source="settings") -> Result[Settings, SettingInvalid]:
    """Merges raw values into the defaults and checks them.

    Args:
        values: Upper-case setting names to text or typed values.
        source: File name for error messages.

    Returns:
        The validated settings or ``SettingInvalid``.
    """
    merged = DEFAULT_SETTINGS | values
    if isinstance(merged["MANAGER_PEERS"], str):
        merged["MANAGER_PEERS"] = merged["MANAGER_PEERS"].split()
    converted = convert_values(merged, Settings, source)
    return converted.bind(lambda settings: _check_addresses(settings, source))


def convert_values(values, settings_type, source):
    """Converts text values by upper-case name into a settings type."""
    fields = {name.lower(): value for name, value in values.items()}
    try:
        return Success(msgspec.convert(fields, settings_type, strict=False))
    except msgspec.ValidationError as error:
        return Failure(_invalid_value(source, fields, str(error)))


def _check_addresses(settings, source):
    for name, address in _addresses(settings):
        try:
            ipaddress.ip_address(address)
        except ValueError:
            message = f"Expected an IP address - at `$.{name}`"
            return Failure(
                _invalid_value(source, msgspec.structs.asdict(settings), message)
            )
    return Success(settings)


def _addresses(settings):
    yield "host_address", settings.host_address
    for peer in settings.manager_peers:
        yield "manager_peers", peer.rsplit("/", 1)[1]


def _unknown_key(path, section, key, defaults):
    known = sorted(
        name.split("_", 1)[1].lower()
        for name in defaults
        if name.startswith(f"{section.upper()}_")
    )
    sections = sorted({name.split("_", 1)[0].lower() for name in defaults})
    expected = ", ".join(known) or "one of the sections " + ", ".join(sections)
    return SettingInvalid(
        f"{path} [{section}] {key} is not a known setting",
        f"Remove it or write one of: {expected}.",
    )


def _invalid_value(source, fields, message):
    found = FIELD_IN_MESSAGE.search(message)
    field = found.group(1) if found else ""
    section, _, key = field.partition("_")
    expected = message.split(" - at ")[0]
    return SettingInvalid(
        f"{source} [{section}] {key} is {fields.get(field)!r}",
        f"Write a value that passes the check ({expected}).",
    )


def require_settings(path):
    """Reads settings at program start; exits with status 2 if they are invalid."""
    return exit_if_invalid(read_settings(Path(path)))


def exit_if_invalid(result):
    """Unwraps validated settings; exits with status 2 if they are invalid."""
    if isinstance(result, Failure):
        print(str(result.failure()), file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    return result.unwrap()
