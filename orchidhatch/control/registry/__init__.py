"""The endpoint registry: store, writes, watches, replication, promotion, backups and rebuild."""
