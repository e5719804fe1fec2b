"""Typed errors; every message ends with a remedy."""

from dataclasses import dataclass
from typing import ClassVar

import msgspec

# What decoding bytes from outside may raise: wrong form or type, text that is not
# UTF-8, values nested too deeply, numbers out of range.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError, OverflowError)


@dataclass(frozen=True)
class SassafrasgradeError:
    """Base of all typed errors.

    Attributes:
        detail: What went wrong, as one clause.
        remedy: What the reader can do about it, as one sentence.
    """

    detail: str
    remedy: str
    kind: ClassVar[str] = "error"

    def __str__(self):
        return f"{self.kind}: {self.detail}. {self.remedy}"


@dataclass(frozen=True)
class SettingInvalid(SassafrasgradeError):
    """A settings file has an invalid value or an unknown key."""

    kind: ClassVar[str] = "setting-invalid"


@dataclass(frozen=True)
class TableInvalid(SassafrasgradeError):
    """A row of the routes or pools table is invalid."""

    kind: ClassVar[str] = "table-invalid"


@dataclass(frozen=True)
class PlatformUnavailable(SassafrasgradeError):
    """The platform did not answer in time or answered with a failure."""

    kind: ClassVar[str] = "platform-unavailable"


@dataclass(frozen=True)
class RevisionConflict(SassafrasgradeError):
    """A compare-and-swap found another revision than expected.

    Attributes:
        items: Current items of the compared keys, if the store returned them.
    """

    items: tuple = ()
    kind: ClassVar[str] = "revision-conflict"


@dataclass(frozen=True)
class StoreRefused(SassafrasgradeError):
    """The store refused a call, which had no effect."""

    kind: ClassVar[str] = "store-refused"


@dataclass(frozen=True)
class LeaseGone(SassafrasgradeError):
    """A lease no longer exists in the store."""

    kind: ClassVar[str] = "lease-gone"


@dataclass(frozen=True)
class HistoryCompacted(SassafrasgradeError):
    """The store no longer holds the history that a watch asked for."""

    kind: ClassVar[str] = "history-compacted"


@dataclass(frozen=True)
class RequestInvalid(SassafrasgradeError):
    """A caller's request is malformed."""

    kind: ClassVar[str] = "request-invalid"


@dataclass(frozen=True)
class ConfigurationConflict(SassafrasgradeError):
    """Another operator changed the same rows first."""

    kind: ClassVar[str] = "configuration-conflict"


@dataclass(frozen=True)
class ConfigurationUnknown(SassafrasgradeError):
    """Whether a commit was applied could not be determined."""

    kind: ClassVar[str] = "configuration-unknown"


@dataclass(frozen=True)
class ConfigurationDamaged(SassafrasgradeError):
    """The head refers to a record that is missing or cannot be decoded."""

    kind: ClassVar[str] = "configuration-damaged"


@dataclass(frozen=True)
class ConfigurationOutdated(SassafrasgradeError):
    """The configuration in force was not confirmed for too long."""

    kind: ClassVar[str] = "configuration-outdated"


@dataclass(frozen=True)
class ConfigurationOlder(SassafrasgradeError):
    """The platform has an older generation than the one in force in the fleet."""

    kind: ClassVar[str] = "configuration-older"


@dataclass(frozen=True)
class RolloutIncomplete(SassafrasgradeError):
    """A generation is not yet in force on some live entry hosts."""

    kind: ClassVar[str] = "rollout-incomplete"
