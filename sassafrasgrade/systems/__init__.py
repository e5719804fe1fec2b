"""Pure decisions over the tables: no sockets, no clocks, no sleeping."""
