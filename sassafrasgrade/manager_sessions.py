"""Streams accepted by a manager: peer managers, entries and operators."""

from sassafrasgrade.messages import EntryStatus, Hello, MembershipAck


class ManagerSession:
    """One accepted stream.

    Attributes:
        hello: ``Hello`` of the other side; its fields are empty until it arrives.
        report: Last ``EntryReport``, if it is an entry.
    """

    def __init__(self, stream, on_message, on_close):
        self._stream = stream
        self._on_message = on_message
        self._on_close = on_close
        self.hello = Hello("", "", "")
        self.report = None

    def on_message(self, message):
        """Passes a message on, with this session as its sender."""
        self._on_message(message, self)

    def on_close(self):
        """Reports that the stream closed."""
        self._on_close(self)

    def send(self, message):
        """Sends a message back on the stream."""
        self._stream.send(message)


class SessionTable:
    """The accepted streams of a manager.

    Args:
        own_name: Host name of the manager.
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._sessions = set()

    def add(self, session):
        """Adds a new stream."""
        self._sessions.add(session)

    def discard(self, session):
        """Drops a closed stream."""
        self._sessions.discard(session)

    def entries(self):
        """Returns the sessions of entries."""
        return [s for s in self._sessions if s.hello.role == "entry"]

    def send_entries(self, message):
        """Sends a message to every connected entry."""
        for session in self.entries():
            session.send(message)

    def own_report(self):
        """Returns the last report of the entry on this host, or None."""
        reports = [s.report for s in self.entries() if s.hello.name == self._own_name]
        return reports[-1] if reports else None

    def acks(self):
        """Returns a ``MembershipAck`` for each entry that reported."""
        return [
            MembershipAck(name, report.membership_version, report.busy_hosts)
            for name, report in self._reports()
        ]

    def burning_pools(self):
        """Returns the pools whose error budget burns too fast at any entry, sorted."""
        return sorted(
            {p for _, report in self._reports() for p in report.burning_pools}
        )

    def statuses(self):
        """Returns an ``EntryStatus`` for each entry that reported."""
        return [
            EntryStatus(name, report.generation, report.state)
            for name, report in self._reports()
        ]

    def _reports(self):
        for session in self.entries():
            if session.report is not None:
                yield session.hello.name, session.report
