"""Run the command line."""

import sys

from pistachiohaven.exceptions import SettingsError


def main() -> None:
    """Run the command that the arguments name."""
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
