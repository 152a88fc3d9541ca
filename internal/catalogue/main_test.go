package catalogue

import (
	"flag"
	"os"
	"testing"
)

// The property tests draw from a fixed seed, so that each run has one verdict;
// -rapid.seed explores further.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
