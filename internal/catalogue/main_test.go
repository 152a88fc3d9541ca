package catalogue

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are reproducible.
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
