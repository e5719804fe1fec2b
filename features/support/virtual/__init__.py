"""Virtual time: real nodes against a simulated platform, without sockets."""
