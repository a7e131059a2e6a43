"""Entry point that runs one stand-in by name."""

import trio

from pistachiohaven.config import load
from pistachiohaven.exceptions import SettingsError

from ._engine import run_engine
from ._platform import run_platform
from ._service import run_service
from ._settings import EngineSettings, PlatformSettings, ServiceSettings


def run(kind: str, path: str) -> None:
    """Run the stand-in `kind` (platform, engine or service) until it is killed.

    Raises SettingsError if there is no such stand-in or its settings are invalid.
    """
    if kind == "platform":
        trio.run(run_platform, load(path, PlatformSettings))
    elif kind == "engine":
        trio.run(run_engine, load(path, EngineSettings))
    elif kind == "service":
        trio.run(run_service, load(path, ServiceSettings))
    else:
        raise SettingsError(
            f"no stand-in called {kind}: expected platform, engine or service"
        )
