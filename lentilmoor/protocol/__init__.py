"""Messages between entries, generated from peer.proto."""
