"""Ebonyshore serves online and batch inference on one fleet of targets.

This package re-exports the public API for programs that embed the coordination parts without the
daemons. Each name is imported on first access, so that a daemon of one role does not load the
modules of the other.
"""

from importlib import import_module

_MODULES = {
    "frame.clock": ("Clock", "ManualClock", "SystemClock"),
    "frame.environment": ("Environment", "make_environment"),
    "frame.errors": (
        "EbonyshoreError",
        "RefusedError",
        "RequestError",
        "SettingsError",
        "StoreError",
    ),
    "frame.kernel": ("Kernel", "Service"),
    "store.lease": ("Lease",),
    "store.marked_write": ("MarkedObject", "MarkedStore"),
    "store.platform_api": (
        "Instance",
        "InstanceList",
        "ObjectStore",
        "StoredObject",
        "WeightStore",
    ),
    "frame.process_settings": ("ProcessSettings", "load_settings"),
    "frame.result_codes": ("RESULT_INFO", "Execution", "ResultCode"),
    "agent.scheduler": ("Decision", "SchedulerState", "Weighting", "decide"),
    "settings.settings_store": ("SettingsHead", "SettingsStore"),
    "settings.settings_tree": ("EffectiveSettings", "SettingsTree"),
    "entry.suspicion": ("SuspicionTable",),
    "frame.task": ("Mailbox", "SocketTask", "Task"),
}
_MODULE_BY_NAME = {name: module for module, names in _MODULES.items() for name in names}

__all__ = sorted(_MODULE_BY_NAME)


def __getattr__(name: str) -> object:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)


def __dir__() -> list[str]:
    return sorted({*globals(), *__all__})
