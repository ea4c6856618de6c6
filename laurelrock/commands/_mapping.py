"""Modules that implement the commands, and the first lines of their texts."""

COMMANDS = {
    "entry": (
        "laurelrock.commands.entry",
        "Runs the role that callers ask.",
    ),
    "gateway": (
        "laurelrock.commands.gateway",
        "Runs the role that serves callers on the users' platform.",
    ),
    "publish": (
        "laurelrock.commands.publish",
        "Puts a manifest in force at every daemon.",
    ),
    "relay": (
        "laurelrock.commands.relay",
        "Runs the role that calls searchers.",
    ),
    "settings": (
        "laurelrock.commands.settings",
        "Prints every option with its range, default and meaning.",
    ),
    "status": (
        "laurelrock.commands.status",
        "Prints the manifest in force and the state of every daemon.",
    ),
    "validate": (
        "laurelrock.commands.validate",
        "Checks a manifest file.",
    ),
}
