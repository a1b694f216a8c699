"""Prepares a copy of the repository with one mechanism disabled.

Run with ``python -m benchmarks.ablation MECHANISM FOLDER``, where FOLDER is a copy of
the repository. Its deploy file then starts the programs with `benchmarks.without`.
"""

from pathlib import Path

import click

from benchmarks.without import MECHANISMS

__all__ = ["disable_mechanism", "main"]

_LAUNCHER = "deploy/launch.py"


def disable_mechanism(mechanism: str, deploy_file: str) -> str:
    """Return a deploy file that starts all programs with a mechanism disabled.

    :param mechanism: a key of `benchmarks.without.MECHANISMS`.
    :param deploy_file: text of an unmodified deploy file.
    :raises ValueError: no program in it is started by the launcher.
    """
    if _LAUNCHER not in deploy_file:
        raise ValueError(f"no program is started by {_LAUNCHER}: use an unchanged copy")
    return deploy_file.replace(_LAUNCHER, f"benchmarks/without.py {mechanism}")


@click.command()
@click.argument("mechanism", type=click.Choice(sorted(MECHANISMS)))
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def main(mechanism: str, folder: Path) -> None:
    """Disable MECHANISM in the copy of the repository in FOLDER."""
    file = folder / "deploy" / "system.toml"
    file.write_text(
        disable_mechanism(mechanism, file.read_text(encoding="utf-8")), encoding="utf-8"
    )
    click.echo(f"{file}: without {mechanism}")


if __name__ == "__main__":
    main()
