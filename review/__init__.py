"""Cases of an independent review, outside of CI and of the default tests."""
