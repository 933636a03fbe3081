"""egretlever-ctl: command-line tool of the operator."""

import pathlib
from typing import Annotated

import typer

from egretlever.programs import _common, _ctl_catalogue, _ctl_servers
from egretlever.programs._ctl_common import CtlContext
from egretlever.schema import settings_pb2

_Version = _common.make_version_option("egretlever-ctl")

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="Operate a fleet of egretlever nodes. Exit codes: 0 done, 1 refused"
    " or conflict, 2 findings, 3 store away, 4 effect unknown, 5 nodes away.",
)
app.add_typer(_ctl_catalogue.app, name="catalogue")
app.add_typer(_ctl_servers.server_app, name="server")
app.command("nodes")(_ctl_servers.show_nodes)
app.command("servers")(_ctl_servers.show_servers)


@app.callback()
def read_options(
    context: typer.Context,
    settings: Annotated[
        pathlib.Path,
        typer.Option(envvar="EGRETLEVER_CTL_SETTINGS", help="Settings file."),
    ] = pathlib.Path("ctl.ini"),
    version: _Version = False,  # type: ignore[valid-type]
) -> None:
    """Keep the options that stand before the command."""
    context.obj = CtlContext(settings)


@app.command()
def check(context: typer.Context) -> None:
    """Check the settings file and print every finding."""
    _common.check_settings(context.obj.settings_path, settings_pb2.CtlSettings)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
