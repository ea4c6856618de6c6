"""What the core needs of the world, as small typed interfaces."""
