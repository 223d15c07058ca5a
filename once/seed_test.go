package once_test

import "flag"

// Random draws are the same on every run, unless -rapid.seed says otherwise; 0 draws at random.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
