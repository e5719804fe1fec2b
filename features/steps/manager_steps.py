"""Steps on managers: who reads the platform, links to peers, ranges of hosts."""

import asyncio
from types import SimpleNamespace

from behave import then

from sassafrasgrade.answers import Reason
from sassafrasgrade.http_delegates import RequestDelegate
from sassafrasgrade.manager_peers import ManagerLinks
from sassafrasgrade.systems.platform_readers import ManagerView, should_read
from sassafrasgrade.table_readers import expand_hosts

SILENCE_S = 2.0
JITTER_S = 0.5
NO_READER = [ManagerView("a", 0.1, 9.0, False)]
VIEWS_BY_CASE = {
    "its reader answers": [ManagerView("a", 0.1, 0.1, True)],
    "its reader has been silent for 2.3 s": [ManagerView("a", 2.3, 0.0, True)],
    "its reader has been silent for 2.6 s": [ManagerView("a", 2.6, 0.0, True)],
    "no reader was ever known": NO_READER,
}


@then('a manager that does not rank first reads if "{case}": {reads}')
def check_reads(context, case, reads):
    # A live manager that does not read ranks before this one.
    views = [*VIEWS_BY_CASE[case], ManagerView("b", 0.1, 9.0, False)]
    found = should_read("c-13", views, SILENCE_S, JITTER_S)
    assert found == (reads == "yes"), found


@then('a manager whose peer moves from "{old}" to "{new}" links to "{linked}"')
def check_peer_address(context, old, new, linked):
    async def update_twice():
        settings = SimpleNamespace(
            host_name="own",
            host_data_centre="z",
            manager_peers=(),
            manager_stream_port=7401,
        )
        links = ManagerLinks(settings, lambda link: None, lambda message, link: None)
        for address in (old, new):
            peer = SimpleNamespace(name="peer", data_centre="z", address=address)
            links.update_peers({"peer": peer})
        found = [link.address for link in links._links_by_name.values()]
        links.close()
        return found

    assert asyncio.run(update_twice()) == [linked]


@then('the hosts "{pattern}" are refused, naming "{text}"')
def check_refused_hosts(context, pattern, text):
    try:
        names = expand_hosts(pattern)
    except ValueError as error:
        assert text in str(error), error
    else:
        raise AssertionError(names)


@then("a page request whose body exceeds the limit is answered as too long")
def check_long_page_body(context):
    answers = []
    entry = SimpleNamespace(
        page=lambda method, path: lambda headers, body: answers.append("served"),
        settings=SimpleNamespace(entry_longest_body_bytes=10),
        record_request=lambda: None,
    )
    delegate = RequestDelegate(entry, None)
    delegate._respond = answers.append
    start = SimpleNamespace(method="POST", path="/jobs")
    delegate.headers_received(start, {})
    delegate.data_received(b"x" * 11)
    assert len(answers) == 1 and answers[0].reason is Reason.BODY_TOO_LONG, answers
