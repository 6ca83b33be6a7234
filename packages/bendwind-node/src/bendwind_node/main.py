"""Run bendwindd from its command line."""

import sys
from pathlib import Path

from bendwind_node.early_signals import capture_signals

EXIT_BAD_SETTINGS = 5


def run(config: str, check: bool = False) -> None:
    """Run the process that a settings file describes.

    Args:
        config: the TOML settings file, see docs/SETTINGS.md.
        check: check the file and end.
    """
    from bendwind_node.settings import load_settings

    loaded = load_settings(Path(str(config)))
    if loaded.is_error():
        print(f"bendwindd: {loaded.error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print(f"{config}: ok")
        return
    _run_checked(loaded.ok, Path(str(config)))


def _run_checked(settings, file: Path) -> None:
    # These modules are expensive to import, and a check of the settings needs none of them.
    from bendwind_node.daemon import Extension
    from bendwind_node.daemon.process import run_process
    from bendwind_node.settings import load_settings

    status = run_process(settings, Extension(settings_file=file, load=load_settings))
    if status:
        sys.exit(status)


def main() -> None:
    """Run bendwindd."""
    capture_signals()
    import fire

    fire.Fire(run, name="bendwindd")


if __name__ == "__main__":
    main()
