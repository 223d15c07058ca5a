package delta_test

import "flag"

// Property tests use a fixed seed unless -rapid.seed is set; 0 selects a random one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
