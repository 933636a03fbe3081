"""egretlever-load: replays recorded requests and checks the responses."""

import pathlib
from typing import Annotated

import typer
from google.protobuf import json_format

from egretlever.core import Finding
from egretlever.programs import _common, _runtime
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address
from egretlever.standins import make_load_generator, read_mix, summarize_results

app = _common.make_app(
    "egretlever-load", "Load generator that checks every answer."
)
_File = Annotated[pathlib.Path, typer.Argument(help="INI file of settings.")]


@app.command()
def check(file: _File) -> None:
    """Check settings and print all findings."""
    _common.check_settings(file, settings_pb2.LoadSettings)


@app.command()
def play(
    file: _File,
    mix: Annotated[
        pathlib.Path, typer.Argument(help="Recorded requests, JSON lines.")
    ],
    results: Annotated[
        pathlib.Path | None,
        typer.Option(help="File for the result of each attempt, JSON lines."),
    ] = None,
) -> None:
    """Play recorded requests; exits with 1 when an answer was not whole.

    After SIGTERM or SIGINT no further request is sent, and those in flight
    end.
    """
    settings = _common.load_settings(file, settings_pb2.LoadSettings).load
    nodes = [parse_address(text) for text in settings.nodes]
    try:
        requests = read_mix(mix)
    except (OSError, json_format.ParseError) as error:
        _common.exit_with_findings([Finding(str(mix), str(error))])
    load = make_load_generator(
        nodes, settings.seed, settings.order_attempts, settings.max_in_flight
    )
    _runtime.run_until_signal(
        lambda: load.play(requests), lambda _: load.stop()
    )
    if results is not None:
        lines = (
            json_format.MessageToJson(
                result, preserving_proto_field_name=True, indent=None
            )
            for result in load.results
        )
        results.write_text("\n".join(lines) + "\n", encoding="utf-8")
    summaries = summarize_results(load.results)
    for summary in summaries:
        print(summary)
    if any(summary.wrong_answers for summary in summaries):
        raise typer.Exit(1)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
