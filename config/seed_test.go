package config_test

import "flag"

// The seed is fixed by default, so that runs are reproducible. -rapid.seed=0 selects a random one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
