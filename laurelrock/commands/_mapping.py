"""Names of the commands and the modules that implement them."""

COMMANDS = {
    "entry": "laurelrock.commands.entry",
    "publish": "laurelrock.commands.publish",
    "relay": "laurelrock.commands.relay",
    "settings": "laurelrock.commands.settings",
    "status": "laurelrock.commands.status",
    "validate": "laurelrock.commands.validate",
}
