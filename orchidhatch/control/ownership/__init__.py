"""Sessions, claims with fencing tokens, records and registered gateways."""
