"""The gateway on sockets: it carries out the decisions of orchidhatch.gateway and reports what happened."""
