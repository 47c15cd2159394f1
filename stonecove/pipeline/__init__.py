"""The stages that a request passes through: intake, admission, routing, sending, relaying, recording."""
