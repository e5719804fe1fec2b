"""Pure decision functions over the tables: no sockets, clocks or sleeping."""
