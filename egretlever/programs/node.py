"""egretlever-node: proxy and fleet member on one host."""

import pathlib
from typing import Annotated

import typer

from egretlever.node import make_node
from egretlever.programs import _common, _runtime
from egretlever.schema import settings_pb2

app = _common.make_app(
    "egretlever-node", "Proxy for callers and member of the fleet."
)
_File = Annotated[pathlib.Path, typer.Argument(help="INI file of settings.")]


@app.command()
def check(file: _File) -> None:
    """Check settings and print all findings."""
    _common.check_settings(file, settings_pb2.NodeSettings)


@app.command()
def run(
    file: _File,
    verbose: Annotated[bool, typer.Option(help="Log debug lines.")] = False,
) -> None:
    """Run the node until a planned stop by SIGTERM or SIGINT."""
    settings = _common.load_settings(file, settings_pb2.NodeSettings)
    _runtime.start_logging(verbose)
    node = make_node(settings)
    _runtime.run_until_signal(node.run, lambda _: node.stop())


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
