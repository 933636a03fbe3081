"""Checks the randomised run against the records of callers and servers."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from google.protobuf import json_format, message

from benchmarks._soak_history import Edit, History, Sample, Span
from benchmarks._soak_plan import Kind
from egretlever.core import Outcome
from egretlever.schema import standins_pb2
from egretlever.testing import check_load_run

_DRAIN_LIMIT = 3.0  # seconds, invariant I5
_EDIT_LIMIT = 4.0  # seconds, invariant I7
_LONGEST_REQUEST = 12.0  # seconds: longest deadline, grace period and a resend
_NODE_STOP_KINDS = (Kind.NODE_KILL, Kind.NODE_PAUSE, Kind.NODE_LEAVE)

Results = Sequence[standins_pb2.LoadResult]
Runs = Mapping[str, Sequence[standins_pb2.BackendRecord]]


def _format_message(item: message.Message) -> str:
    return json_format.MessageToJson(
        item, preserving_proto_field_name=True, indent=None
    )


def check_outcomes(results: Results, runs: Runs, history: History) -> None:
    """Check orders, outcomes reported as not run, and answers."""
    check = check_load_run(results, runs)
    for key in check.duplicate_orders:
        records = _find_records(key, results, runs)
        history.report("no order ran twice", key, *records)
    for key in check.lost_orders:
        records = _find_records(key, results, runs)
        history.report("no completed order is lost", key, *records)
    for request in check.not_run_but_ran:
        records = _find_records(request, results, runs)
        history.report("nothing told not run has run", request, *records)
    if check.wrong_answers:
        wrong_answers = [
            _format_message(result)
            for result in results
            if result.outcome == Outcome.COMPLETED.value
            and result.status == 200
            and not result.whole
        ]
        history.report("every whole answer is its caller's own", *wrong_answers)


def _find_records(name: str, results: Results, runs: Runs) -> list[str]:
    reported = [
        f"told {_format_message(result)}"
        for result in results
        if name in (result.order_key, result.request_id)
    ]
    ran = [
        f"ran on {server} {_format_message(run)}"
        for server, records in runs.items()
        for run in records
        if name in (run.order_key, run.request_id)
    ]
    return reported + ran


def check_departures(
    results: Results,
    runs: Runs,
    history: History,
    homes: Mapping[str, str],
) -> None:
    """Check the planned stops of servers.

    The home node announces the departure of its server. It can't do so while
    it is down or paused, so the limit starts at the end of a pause.
    """
    reported = {result.request_id: result for result in results}
    for span in _find_spans(history, Kind.SERVER_DRAIN):
        announced = _find_announcement(span, homes[span.target], history)
        nearby_runs = [
            run
            for run in runs[span.target]
            if span.began - _LONGEST_REQUEST <= run.at_unix_s <= span.ended
        ]
        for run in nearby_runs:
            late = run.at_unix_s - announced
            if late > _DRAIN_LIMIT:
                history.report(
                    "a leaving server gets no request after 3 s",
                    str(span),
                    f"{late:.2f} s {_format_message(run)}",
                    *_list_faults(history, span),
                )
            result = reported.get(run.request_id)
            if result is not None and _was_interrupted(result, span, history):
                history.report(
                    "planned stops of servers cut nothing",
                    str(span),
                    _format_message(result),
                    _format_message(run),
                )


def _find_announcement(span: Span, home: str, history: History) -> float:
    """Return when the home node of a draining server could announce it."""
    announced = span.announced
    if math.isinf(announced):
        return announced
    until = announced + _DRAIN_LIMIT
    if history.find_spans(
        home, span.began, until, Kind.NODE_KILL, Kind.NODE_LEAVE
    ):
        return math.inf
    pauses = history.find_spans(home, announced, announced, Kind.NODE_PAUSE)
    return max([announced, *(pause.ended for pause in pauses)])


def _list_faults(history: History, span: Span) -> list[str]:
    """List stopped nodes and cut links around an announced departure."""
    return [
        str(other)
        for other in history.spans
        if other.kind in (*_NODE_STOP_KINDS, Kind.CUT_TO_NODE)
        and other.overlaps(span.began, span.announced + _DRAIN_LIMIT)
    ]


def _was_interrupted(
    result: standins_pb2.LoadResult, span: Span, history: History
) -> bool:
    """Return whether only the departure explains an unknown outcome."""
    began = result.began_unix_s
    ended = began + result.latency_s
    if result.outcome != Outcome.UNKNOWN.value or ended < span.began:
        return False
    other_causes = [
        other
        for other in history.spans
        if other is not span
        and other.overlaps(began - 1.0, ended)
        and (
            other.target == span.target
            or (
                other.kind is Kind.CUT_TO_SERVER
                and other.detail.endswith(f" {span.target}")
            )
            or (other.kind in _NODE_STOP_KINDS)
            or other.kind in (Kind.PLATFORM, Kind.FLOOD)
        )
    ]
    return not other_causes


def check_node_leaves(
    results: Results, nodes: Mapping[str, str], history: History
) -> None:
    """Check that planned stops of nodes interrupt no request.

    A connection that was never established doesn't count. A truncated answer
    counts only if no server had a fault, because the node forwards answers
    that the server truncates.
    """
    by_node = defaultdict(list)
    for result in results:
        if result.failure in ("closed", "cut"):
            by_node[result.node].append(result)
    for span in _find_spans(history, Kind.NODE_LEAVE):
        for result in by_node[nodes[span.target]]:
            began = result.began_unix_s
            if not span.began - _LONGEST_REQUEST <= began <= span.ended:
                continue
            if began + result.latency_s < span.began:
                continue
            if result.failure == "cut" and _has_server_fault(
                history, began, began + result.latency_s
            ):
                continue
            history.report(
                "planned stops of nodes cut nothing",
                str(span),
                _format_message(result),
            )


def _has_server_fault(history: History, began: float, ended: float) -> bool:
    return any(
        span.kind.value.startswith(("server", "cut-to-server"))
        and span.overlaps(began, ended)
        for span in history.spans
    )


def check_catalogue(history: History) -> None:
    """Check that versions never decrease and edits take effect in time."""
    by_node = defaultdict(list)
    for sample in history.samples:
        by_node[sample.node].append(sample)
    for samples in by_node.values():
        _check_order(samples, history)
        for edit in history.edits:
            _check_edit(edit, samples, history)
    versions = sorted(edit.version for edit in history.edits)
    for first, second in itertools.pairwise(versions):
        if first == second:
            made = [str(e) for e in history.edits if e.version == first]
            history.report("one edit makes a version", *made)


def _check_order(samples: Iterable[Sample], history: History) -> None:
    highest: Sample | None = None
    for sample in samples:
        if not sample.ready:
            continue
        if highest is not None and sample.version < highest.version:
            history.report(
                "the catalogue never goes back",
                str(highest),
                str(sample),
            )
        if highest is None or sample.version > highest.version:
            highest = sample


def _check_edit(
    edit: Edit, samples: Sequence[Sample], history: History
) -> None:
    """Check the first reading requested 4 s or more after an edit.

    Nodes that were stopped or paused in between are skipped.
    """
    before = [item for item in samples if item.answered_at <= edit.accepted]
    after = [
        item
        for item in samples
        if item.requested_at >= edit.accepted + _EDIT_LIMIT
    ]
    if not before or not before[-1].ready or not after:
        return
    first = after[0]
    if first.ready is None or history.find_spans(
        first.node,
        before[-1].requested_at,
        first.answered_at,
        *_NODE_STOP_KINDS,
    ):
        return
    if first.version < edit.version:
        faults = [
            str(span)
            for span in history.spans
            if span.overlaps(edit.accepted - 2.0, first.answered_at)
        ]
        history.report(
            "edits are in force within 4 s",
            str(edit),
            str(first),
            *faults,
        )


def check_logs(logs: Mapping[str, str], history: History) -> None:
    """Check that no log shows a broken invariant or a crashed task."""
    for name, text in logs.items():
        lines = text.splitlines()
        for number, line in enumerate(lines):
            if "InvariantError" in line:
                history.report("no invariant breaks", f"{name}: {line}")
            elif line.startswith("Traceback"):
                shown = "\n".join(lines[number : number + 40])
                history.report("no task crashes", f"{name}: {shown}")


def _find_spans(history: History, kind: Kind) -> list[Span]:
    return [span for span in history.spans if span.kind is kind]
