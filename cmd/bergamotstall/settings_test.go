package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// setUpExample changes to a new folder, with empty files for the certificate and key that an
// agent's example names, and returns the example settings of a role.
func setUpExample(t *testing.T, role string) string {
	is := is.New(t)
	data, err := os.ReadFile("../../examples/" + role + ".yaml")
	is.NoErr(err)
	t.Chdir(t.TempDir())
	is.NoErr(os.WriteFile("callers.pem", nil, 0o600))
	is.NoErr(os.WriteFile("callers-key.pem", nil, 0o600))
	return string(data)
}

func TestExamplesAreGood(t *testing.T) {
	for _, role := range []string{"balancer", "agent", "control"} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile("s.yaml", []byte(setUpExample(t, role)), 0o600))
			code, out, errOut := runCommand(role, "-check", "-settings", "s.yaml")
			is.Equal(errOut, "")
			is.Equal(code, exitOK)
			is.Equal(out, "s.yaml: settings of a "+role+" are good\n")
		})
	}
}

// Guards against invalid settings with which a balancer or agent starts, or which it
// refuses without saying why. The error must have file, line and field.
func TestBadBalancerAndAgentSettings(t *testing.T) {
	for _, c := range []struct{ role, name, old, new, want string }{
		{"balancer", "unknown field", "sockets: 2", "socket: 2", `:12: socket: unknown field "socket"`},
		{"balancer", "bind", "bind: 127.0.2.1", "bind: everywhere", `:8: bind: "everywhere" is no IP number`},
		{"balancer", "port", "tunnel: 127.0.2.1:7201", "tunnel: 127.0.2.1:72010", `:10: tunnel: "127.0.2.1:72010" is no address`},
		{"balancer", "negative duration", "stopGrace: 5s", "stopGrace: -5s", ":23: stopGrace: -5s (allowed: 0s to 5m0s)"},
		{"balancer", "control", "  - 127.0.1.2:7102", "  - brescia", `:17: controls[1]: "brescia" is no address`},
		{"agent", "slots", "slots: 7", "slots: 0", ":16: slots: 0 (allowed: 1 to 100000)"},
		{"agent", "wrong type", "connections: 2000", "connections: [2000]", ":17: "},
		{"agent", "target missing", "target: 127.0.3.1:8080", "target: \"\"", ":7: target: missing (allowed: ip:port, port 1 to 65535)"},
		{"agent", "certificate", "certificate: callers.pem", "certificate: nowhere.pem", `:27: callerTLS.certificate: "nowhere.pem" can't be read`},
		{"agent", "way of answers", "return: balancer", "return: back", `:14: return: "back" (allowed: balancer or direct)`},
		{"agent", "no control", "controls:\n  - 127.0.1.1:7102\n  - 127.0.1.2:7102\n  - 127.0.1.3:7102", "controls: []", ":21: controls: missing"},
	} {
		t.Run(c.role+" "+c.name, func(t *testing.T) {
			is := is.New(t)
			good := setUpExample(t, c.role)
			is.True(strings.Contains(good, c.old)) // the case changes the good file
			is.NoErr(os.WriteFile("s.yaml", []byte(strings.Replace(good, c.old, c.new, 1)), 0o600))
			code, _, errOut := runCommand(c.role, "-settings", "s.yaml")
			is.Equal(code, exitUsage)
			if !strings.HasPrefix(errOut, "s.yaml"+c.want) {
				t.Errorf("got %q, want prefix %q", errOut, filepath.Base("s.yaml")+c.want)
			}
		})
	}
}
