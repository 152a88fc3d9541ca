package settings

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample is a settings type for the tests. The errors that the tests expect contain its name.
type sample struct {
	Listen string        `yaml:"listen"`
	Slots  int           `yaml:"slots"`
	Wait   time.Duration `yaml:"wait"`
	Peers  []struct {
		Address string `yaml:"address"`
	} `yaml:"peers"`
}

func (s *sample) Problems() []Problem {
	var c Checker
	c.Address("listen", s.Listen)
	c.Range("slots", s.Slots, 1, 100)
	c.Duration("wait", s.Wait, 0, time.Minute)
	for _, p := range s.Peers {
		c.Address("peers[0].address", p.Address)
	}
	return c.Problems()
}

// Guards against errors that don't lead to the mistake in the file. Each text must have
// file, line and field, and say which values are allowed.
func TestErrorsNameLineFieldAndAllowedValues(t *testing.T) {
	const good = "listen: 127.0.0.1:1\nslots: 7\nwait: 2s\n"
	for _, c := range []struct{ name, data, want string }{
		{"good", good, ""},
		{"unknown field", good + "slot: 3\n", `f.yaml:4: slot: unknown field "slot" (allowed: see the examples directory)`},
		{"wrong type", "listen: 127.0.0.1:1\nslots: many\n", "f.yaml:2: many: cannot unmarshal string into Go struct field sample.Slots of type int (allowed: see the examples directory)"},
		{"port", "listen: 127.0.0.1:0\nslots: 7\n", `f.yaml:1: listen: "127.0.0.1:0" is no address (allowed: ip:port, port 1 to 65535)`},
		{"range", "listen: 127.0.0.1:1\nslots: 0\n", "f.yaml:2: slots: 0 (allowed: 1 to 100)"},
		{"negative", "listen: 127.0.0.1:1\nslots: 1\nwait: -1s\n", "f.yaml:3: wait: -1s (allowed: 0s to 1m0s)"},
		{"no duration", "listen: 127.0.0.1:1\nslots: 1\nwait: soon\n", `f.yaml:3: wait: "soon" is no duration (allowed: a number with a unit, as in 500ms, 10s or 24h)`},
		{"duration without unit", "listen: 127.0.0.1:1\nslots: 1\nwait: 5\n", "f.yaml:3: 5: cannot unmarshal uint64 into Go struct field sample.Wait of type time.Duration (allowed: see the examples directory)"},
		{"missing", "slots: 1\n", "f.yaml:1: listen: missing (allowed: ip:port, port 1 to 65535)"},
		{"nested", good + "peers:\n  - address: here\n", `f.yaml:5: peers[0].address: "here" is no address (allowed: ip:port, port 1 to 65535)`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode("f.yaml", []byte(c.data), new(sample))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}
