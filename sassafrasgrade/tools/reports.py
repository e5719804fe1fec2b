"""Reports burn rates of the error budget, from the metrics of the entries."""

import sys
from collections import defaultdict
from dataclasses import dataclass

import fire
from prometheus_client.parser import text_string_to_metric_families
from tornado import gen
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop

from sassafrasgrade.counters import IN_TIME, PREFIX
from sassafrasgrade.http_clients import create_http_client, fetch_response
from sassafrasgrade.systems.burn_rates import ALLOWED_SHARE, burn_rate
from sassafrasgrade.tools.formats import print_json, print_table

FETCH_TIMEOUT_S = 3.0
HTTP_OK = 200
EXIT_BURNING = 1
ANSWERS_METRIC = f"{PREFIX}_answers_total"


@dataclass(frozen=True)
class BurnRow:
    """Burn rate of one pool and urgency class.

    Attributes:
        pool: Name of the pool.
        urgency: Urgency class.
        answers: Number of answers.
        missed: Number of answers that were late, failed or refused.
        burn: Missed answers as a multiple of the allowed number.
        worst_reason: The most frequent reason for a miss; empty without misses.
    """

    pool: str
    urgency: str
    answers: int
    missed: int
    burn: float
    worst_reason: str


async def fetch_answers(client, url):
    """Returns counts by (pool, urgency, result, reason) of one entry, or None."""
    request = HTTPRequest(f"{url}/metrics", request_timeout=FETCH_TIMEOUT_S)
    response = await fetch_response(client, request)
    if response.code != HTTP_OK:
        return None
    counts = defaultdict(float)
    for family in text_string_to_metric_families(response.body.decode()):
        for sample in family.samples:
            if sample.name != ANSWERS_METRIC:
                continue
            labels = sample.labels
            key = (
                labels["pool"],
                labels["urgency"],
                labels["result"],
                labels["reason"],
            )
            counts[key] += sample.value
    return counts


async def collect_answers(urls):
    """Adds up the counts of all entries; returns (counts, unreachable URLs)."""
    client = create_http_client(max(1, len(urls)))
    fetched = await gen.multi([fetch_answers(client, url) for url in urls])
    client.close()
    totals = defaultdict(float)
    for counts in fetched:
        for key, value in (counts or {}).items():
            totals[key] += value
    return totals, [url for url, counts in zip(urls, fetched) if counts is None]


def burn_rows(counts, allowed_share):
    """Returns a ``BurnRow`` for each pool and urgency, highest burn rate first."""
    totals = defaultdict(float)
    reasons = defaultdict(lambda: defaultdict(float))
    for (pool, urgency, result, reason), value in counts.items():
        totals[(pool, urgency)] += value
        if result != IN_TIME:
            reasons[(pool, urgency)][reason or result] += value
    rows = []
    for key, total in totals.items():
        missed = sum(reasons[key].values())
        worst = max(reasons[key], key=reasons[key].get, default="")
        rate = round(burn_rate(missed, total, allowed_share), 2)
        rows.append(BurnRow(*key, int(total), int(missed), rate, worst))
    return sorted(rows, key=lambda row: (-row.burn, row.pool, row.urgency))


class ReportCommands:
    """Reports over the whole system."""

    def burn(self, entries, seconds=0.0, allowed=ALLOWED_SHARE, json=False):
        """Prints the burn rate of the error budget by pool and urgency.

        Exits with status 1 if any burn rate is higher than allowed (above 1) or
        an entry cannot be reached.

        Args:
            entries: Base URLs of the entries, separated by commas.
            seconds: How long to count from now; 0 counts since the entries started.
            allowed: Share of answers that may miss their deadline.
            json: Whether to print JSON.
        """
        urls = entries.split(",") if isinstance(entries, str) else list(entries)

        async def collect():
            before, _ = await collect_answers(urls) if seconds else ({}, [])
            await gen.sleep(seconds)
            after, unreachable = await collect_answers(urls)
            counts = {key: after[key] - before.get(key, 0.0) for key in after}
            return counts, unreachable

        counts, unreachable = IOLoop.current().run_sync(collect)
        rows = [row for row in burn_rows(counts, allowed) if row.answers]
        if json:
            print_json({"rows": rows, "unreachable": unreachable})
        else:
            headings = ["pool", "urgency", "answers", "missed", "burn", "most often"]
            print_table(
                headings,
                [
                    (r.pool, r.urgency, r.answers, r.missed, r.burn, r.worst_reason)
                    for r in rows
                ],
            )
        for url in unreachable:
            print(f"no metrics from {url}; check that it runs", file=sys.stderr)
        if unreachable or any(row.burn > 1 for row in rows):
            raise SystemExit(EXIT_BURNING)


def main():
    """Entry point of ``sassafrasgrade-report``."""
    fire.Fire(ReportCommands, name="sassafrasgrade-report")
