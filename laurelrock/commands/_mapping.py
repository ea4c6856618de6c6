"""Command registry: the module and the summary of each command.

The summaries repeat the first lines of the modules' docstrings, so that the
help of `laurelrock` imports no command module.
"""

#: Module and summary of each command, by command name.
COMMANDS = {
    "check": (
        "laurelrock.commands.check",
        "Checks a configuration before it is sent, and compares it with"
        " another one.",
    ),
    "entry": (
        "laurelrock.commands.entry",
        "Runs the role that callers send requests to.",
    ),
    "gateway": (
        "laurelrock.commands.gateway",
        "Runs the gateway role, which serves callers on the users' platform.",
    ),
    "publish": (
        "laurelrock.commands.publish",
        "Publishes a manifest and puts it in force at every daemon.",
    ),
    "relay": (
        "laurelrock.commands.relay",
        "Runs the role that calls searchers.",
    ),
    "settings": (
        "laurelrock.commands.settings",
        "Prints every option with its range, default and description.",
    ),
    "status": (
        "laurelrock.commands.status",
        "Prints the manifest in force and the state of every daemon.",
    ),
    "validate": (
        "laurelrock.commands.validate",
        "Validates a manifest file.",
    ),
}
