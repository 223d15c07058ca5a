package replica_test

import "flag"

// Draws are the same on every run unless -rapid.seed is set; 0 draws at random.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
