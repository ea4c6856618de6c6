"""Names of the commands and the modules that implement them."""

COMMANDS = {
    "entry": "laurelrock.commands.entry",
    "relay": "laurelrock.commands.relay",
    "settings": "laurelrock.commands.settings",
    "validate": "laurelrock.commands.validate",
}
