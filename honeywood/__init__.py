"""honeywood: a front that routes RPCs and guards releases."""
