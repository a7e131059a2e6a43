"""Command line of the scheduler."""

import sys

from pistachiohaven.exceptions import SettingsError


def main() -> None:
    """Run the command given by the arguments; exit with 1 on invalid settings."""
    import fire  # noqa: PLC0415

    from pistachiohaven.components.cli import Commands  # noqa: PLC0415

    try:
        fire.Fire(Commands(), name="pistachiohaven")
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
