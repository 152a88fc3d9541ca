package distribution

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for the property tests, so that their result is reproducible;
// -rapid.seed sets another one. It fails if streams leak goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
