package spread

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated tests: the verdict is the same each
// time. Another is tried with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
