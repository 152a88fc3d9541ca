package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodControl = `name: control-a
dataCentre: accra-a
folder: data
replica:
  listen: 127.0.1.1:7101
  peers:
    - {name: control-a, address: 127.0.1.1:7101}
    - {name: control-b, address: 127.0.1.2:7101}
subscribers: 127.0.1.1:7102
operators: 127.0.1.1:7103
metrics: 127.0.1.1:7104
`

// Guards against invalid settings with which control starts, or which it refuses without
// saying why. The error must have file, line, field and the allowed values, and the exit
// code must be 2.
func TestBadControlSettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "folder: data", "folders: data", `:3: folders: unknown field "folders"`},
		{"wrong type", "listen: 127.0.1.1:7101", "listen: [1]", `:5: `},
		{"empty", goodControl, "", ":1: "},
		{"no name", "name: control-a\n", "name: \"\"\n", ":1: name: missing"},
		{"no data centre", "dataCentre: accra-a\n", "", ":1: dataCentre: missing"},
		{"no folder", "folder: data\n", "", ":1: folder: missing"},
		{"port 0", "subscribers: 127.0.1.1:7102", "subscribers: 127.0.1.1:0", `:9: subscribers: "127.0.1.1:0" is no address`},
		{"address missing", "operators: 127.0.1.1:7103\n", "", ":1: operators: missing (allowed: ip:port, port 1 to 65535)"},
		{"one address for two", "subscribers: 127.0.1.1:7102", "subscribers: 127.0.1.1:7101", `:9: subscribers: "127.0.1.1:7101" is replica.listen too (allowed: an address of its own)`},
		{"peer twice", "name: control-b", "name: control-a", `:8: replica.peers[1].name: "control-a" appears twice`},
		{"peer without port", "127.0.1.2:7101", "127.0.1.2", `:8: replica.peers[1].address: "127.0.1.2" is no address`},
		{"not among its peers", "name: control-a\n", "name: control-c\n", `:7: replica.peers: "control-c" is not among them`},
		{"no peers", "peers:\n    - {name: control-a, address: 127.0.1.1:7101}\n    - {name: control-b, address: 127.0.1.2:7101}", "peers: []", `:6: replica.peers: 0 peers (allowed: 1 to 9)`},
		{"TLS file missing", "metrics: 127.0.1.1:7104", "tls: {authority: nowhere.pem, certificate: nowhere.pem, key: nowhere.key}", `:11: tls.authority: "nowhere.pem" can't be read`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(goodControl, c.old)) // the case changes the good file
			file := filepath.Join(t.TempDir(), "control.yaml")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(goodControl, c.old, c.new, 1)), 0o600))
			code, _, errOut := runCommand("control", "-settings", file)
			is.Equal(code, exitUsage)
			if !strings.HasPrefix(errOut, file+c.want) {
				t.Errorf("got %q, want prefix %q", errOut, file+c.want)
			}
			is.True(strings.Contains(errOut, "event=103"))
		})
	}
}

func TestCheckDoesNotStart(t *testing.T) {
	is := is.New(t)
	code, out, errOut := runCommand("control", "-check", "-settings", "../../examples/control.yaml")
	is.Equal(code, exitOK)
	is.Equal(errOut, "")
	is.Equal(out, "../../examples/control.yaml: settings of a control are good\n")
}

func TestBadUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"contrl"}, {"control"}, {"control", "-settings"}, {"control", "-set", "x"}} {
		is := is.New(t)
		code, _, errOut := runCommand(args...)
		is.Equal(code, exitUsage)
		is.True(errOut != "")
	}
}

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = dispatch(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}
