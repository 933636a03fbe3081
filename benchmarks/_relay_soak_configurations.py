"""Configurations that change during a relay soak run, and their checks."""

import bisect
import collections
import dataclasses
import json
import math
import random
from collections.abc import Iterator, Mapping

from benchmarks._relay_soak_disruptions import is_in_touch
from benchmarks._relay_soak_records import Records, SentRequest
from egretlever.core import Seconds, ServiceName
from egretlever.platform.tests.wire_builders import build_soak_configuration
from egretlever.transport import read_clock

SERVICES = (ServiceName("ordering"), ServiceName("listing"))
_MOVED_PATH = "/moved/"
_ADDED_PATH = "/added/"
# A configuration keeps the route that its predecessor added, and drops the one
# before.
_ADDED_ROUTES = 2
# Added routes that are called: the present ones, and some that were dropped.
_CALLED_ROUTES = 4
_FIRST_VERSION = 8
_NOT_FOUND = 404
# Time after its confirmation in which a configuration comes into force.
APPLY_LIMIT = Seconds(2.0)
# Time after a sign of a version in which requests may still be under an older
# one, in one process.
_ROLLBACK_SLACK = Seconds(0.25)
_ROLLBACK_SLACK_IN_TROUBLE = Seconds(2.0)


@dataclasses.dataclass(slots=True)
class ConfigurationVersion:
    """One version of the configuration.

    Parameters
    ----------
    number : int
        Number of the version.
    routes : mapping of str to ServiceName
        Service of each path prefix that changes.
    begun, confirmed : Seconds
        When it was sent to the store, and when the store confirmed it.
    """

    number: int
    routes: Mapping[str, ServiceName]
    begun: Seconds
    confirmed: Seconds = Seconds(math.inf)


class ConfigurationHistory:
    """All versions of the configuration of a run.

    Parameters
    ----------
    rng : random.Random
        Source of the services to which routes move.

    Attributes
    ----------
    versions : list of ConfigurationVersion
        Versions in the order of their numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.versions: list[ConfigurationVersion] = []

    def begin_version(self) -> tuple[ConfigurationVersion, bytes]:
        """Create the next version and its body."""
        number = _FIRST_VERSION + len(self.versions)
        routes = {_MOVED_PATH: self._rng.choice(SERVICES)}
        for added in range(number - _ADDED_ROUTES + 1, number + 1):
            routes[f"{_ADDED_PATH}{added}/"] = SERVICES[0]
        version = ConfigurationVersion(number, routes, read_clock())
        self.versions.append(version)
        return version, _encode(version)

    def list_recent_paths(self) -> list[str]:
        """List paths on routes that were moved, added or dropped lately."""
        newest = self.versions[-1].number
        called = range(newest - _CALLED_ROUTES + 1, newest + 1)
        added = [f"{_ADDED_PATH}{number}/1" for number in called]
        return [f"{_MOVED_PATH}1"] * _CALLED_ROUTES + added


def _encode(version: ConfigurationVersion) -> bytes:
    fields = json.loads(build_soak_configuration(SERVICES[0]))
    orders, reads, services, limits = fields["resources"]
    more = [
        ("large", "/large/", reads, SERVICES[0], {"timeout": "12s"}),
        ("tail", "/tail/", reads, SERVICES[1], {"timeout": "6s"}),
        ("long", "/long/", reads, SERVICES[1], {"timeout": "12s"}),
        (
            "long-orders",
            "/long-orders/",
            orders,
            SERVICES[1],
            {"timeout": "12s"},
        ),
        *(
            (prefix.strip("/").replace("/", "-"), prefix, reads, service, {})
            for prefix, service in version.routes.items()
        ),
    ]
    routes = [
        {
            **kind,
            "metadata": {"name": name},
            "spec": {
                **kind["spec"],
                **changes,
                "prefix": prefix,
                "service": service,
            },
        }
        for name, prefix, kind, service, changes in more
    ]
    listing = {**services, "metadata": {"name": SERVICES[1]}}
    fields["version"] = f"{version.number:08x}"
    fields["resources"] = [orders, reads, *routes, services, listing, limits]
    return json.dumps(fields).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class _Handling:
    """How a request was handled, and which versions allow that.

    The service is None when no route was found.
    """

    sent: SentRequest
    seen: Seconds
    service: ServiceName | None
    oldest: int
    newest: int


class ConfigurationCheck:
    """Checks that versions come into force in time and never go back.

    Parameters
    ----------
    records : Records
        What callers and servers observed.
    history : ConfigurationHistory
        All versions.

    Attributes
    ----------
    age_in_touch, age_in_trouble : Seconds
        Longest time after the confirmation of a version at which a request was
        sent that was handled as only an older one allows, by hosts in touch and
        by others.
    """

    def __init__(self, records: Records, history: ConfigurationHistory) -> None:
        self._records = records
        self._versions = {one.number: one for one in history.versions}
        self.age_in_touch = Seconds(0.0)
        self.age_in_trouble = Seconds(0.0)

    def find_violations(self) -> list[str]:
        """Return a line for each broken promise."""
        found = []
        handlings = []
        for sent, seen, service in self._list_observations():
            allowing = self._find_allowing(sent.path, seen, service)
            if allowing:
                handlings.append(
                    _Handling(sent, seen, service, allowing[0], allowing[-1])
                )
            else:
                found.append(
                    f"{sent.request} {sent.path} was handled by {service} as no"
                    " version allows"
                )
        found += [line for one in handlings if (line := self._check_age(one))]
        return found + self._check_rollbacks(handlings)

    def _list_observations(
        self,
    ) -> Iterator[tuple[SentRequest, Seconds, ServiceName | None]]:
        runs = collections.defaultdict(list)
        for run in self._records.arrivals:
            runs[run.request].append(run)
        for sent in self._records.sent:
            if not sent.path.startswith((_MOVED_PATH, _ADDED_PATH)):
                continue
            for run in runs[sent.request]:
                yield sent, run.at, run.service
            if sent.status == _NOT_FOUND:
                yield sent, sent.ended, None

    def _find_allowing(
        self, path: str, seen: Seconds, service: ServiceName | None
    ) -> list[int]:
        prefix = path[: path.rindex("/") + 1]
        return [
            number
            for number, version in self._versions.items()
            if version.begun <= seen and version.routes.get(prefix) == service
        ]

    def _check_age(self, one: _Handling) -> str | None:
        following = self._versions.get(one.newest + 1)
        if following is None:
            return None
        age = Seconds(one.sent.begun - following.confirmed)
        if age <= min(self.age_in_touch, self.age_in_trouble):
            return None
        if not self._is_in_touch(one):
            self.age_in_trouble = max(self.age_in_trouble, age)
            return None
        self.age_in_touch = max(self.age_in_touch, age)
        if age <= APPLY_LIMIT:
            return None
        return (
            f"{one.sent.request} {one.sent.path} at {one.sent.host} was handled"
            f" by {one.service} as version {one.newest} allows, {age:.2f} s"
            " after the confirmation of the next one"
        )

    def _check_rollbacks(self, handlings: list[_Handling]) -> list[str]:
        found = []
        processes: dict[tuple[str, int], list[_Handling]] = (
            collections.defaultdict(list)
        )
        for one in handlings:
            if one.sent.start:
                processes[one.sent.host, one.sent.start].append(one)
        for process in processes.values():
            # Highest oldest version that a server saw, in order of time.
            signs: list[tuple[Seconds, int]] = []
            for one in sorted(process, key=lambda one: one.seen):
                if one.service is not None and (
                    not signs or one.oldest > signs[-1][1]
                ):
                    signs.append((one.seen, one.oldest))
            for one in process:
                seen = self._find_sign(signs, one, _ROLLBACK_SLACK)
                if one.newest < seen and not self._is_in_touch(one):
                    slack = _ROLLBACK_SLACK_IN_TROUBLE
                    seen = self._find_sign(signs, one, slack)
                if one.newest < seen:
                    found.append(
                        f"{one.sent.request} at {one.sent.host} was handled as"
                        f" version {one.newest} allows, after version {seen}"
                    )
        return found

    @staticmethod
    def _find_sign(
        signs: list[tuple[Seconds, int]], one: _Handling, slack: Seconds
    ) -> int:
        """Find the oldest version of the last sign before a request."""
        end = bisect.bisect_left(signs, (one.sent.begun - slack, 0))
        return signs[end - 1][1] if end else 0

    def _is_in_touch(self, one: _Handling) -> bool:
        return is_in_touch(
            self._records.applied_events,
            one.sent.host,
            one.sent.begun,
            one.seen,
        )
