"""Typed errors; every message ends with what to do about it."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class SassafrasgradeError:
    """Base of all typed errors.

    Attributes:
        detail: What went wrong, as one clause.
        remedy: What the reader should do, as one sentence.
    """

    detail: str
    remedy: str
    kind: ClassVar[str] = "error"

    def __str__(self):
        return f"{self.kind}: {self.detail}. {self.remedy}"


@dataclass(frozen=True)
class SettingInvalid(SassafrasgradeError):
    """A settings file holds a wrong or unknown value."""

    kind: ClassVar[str] = "setting-invalid"


@dataclass(frozen=True)
class TableInvalid(SassafrasgradeError):
    """A row of the routes or pools table is wrong."""

    kind: ClassVar[str] = "table-invalid"


@dataclass(frozen=True)
class PlatformUnavailable(SassafrasgradeError):
    """The platform did not answer in time or answered with a failure."""

    kind: ClassVar[str] = "platform-unavailable"


@dataclass(frozen=True)
class RevisionConflict(SassafrasgradeError):
    """A compare-and-swap found another revision than it expected.

    Attributes:
        items: Present items of the keys compared, if the store told them.
    """

    items: tuple = ()
    kind: ClassVar[str] = "revision-conflict"


@dataclass(frozen=True)
class StoreRefused(SassafrasgradeError):
    """The store refused a call and did nothing."""

    kind: ClassVar[str] = "store-refused"


@dataclass(frozen=True)
class LeaseGone(SassafrasgradeError):
    """A lease of the store has ended."""

    kind: ClassVar[str] = "lease-gone"


@dataclass(frozen=True)
class HistoryCompacted(SassafrasgradeError):
    """The store no longer holds the history that a watch asked for."""

    kind: ClassVar[str] = "history-compacted"


@dataclass(frozen=True)
class RequestInvalid(SassafrasgradeError):
    """A caller's request cannot be read."""

    kind: ClassVar[str] = "request-invalid"


@dataclass(frozen=True)
class ConfigurationConflict(SassafrasgradeError):
    """Another operator changed the same rows first."""

    kind: ClassVar[str] = "configuration-conflict"


@dataclass(frozen=True)
class ConfigurationUnknown(SassafrasgradeError):
    """The outcome of a commit could not be read back."""

    kind: ClassVar[str] = "configuration-unknown"


@dataclass(frozen=True)
class ConfigurationDamaged(SassafrasgradeError):
    """The head names a record that is missing or cannot be decoded."""

    kind: ClassVar[str] = "configuration-damaged"


@dataclass(frozen=True)
class ConfigurationOlder(SassafrasgradeError):
    """The platform holds an older generation than the fleet."""

    kind: ClassVar[str] = "configuration-older"


@dataclass(frozen=True)
class RolloutIncomplete(SassafrasgradeError):
    """Some live entry hosts do not have a generation in force yet."""

    kind: ClassVar[str] = "rollout-incomplete"
