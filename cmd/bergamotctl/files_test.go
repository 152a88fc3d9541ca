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

const goodCatalogue = `services:
  - name: casework
    address: 127.0.0.1:8443
  - name: map-documents
    address: 127.0.0.1:8444
presets:
  - name: ordinary
  - name: peak
    services:
      - service: casework
        dataCentres:
          - {name: accra-a, weight: 50}
        hosts:
          - {host: casework-1, weight: 10}
`

// Guards against invalid catalogue files that are sent to control, or refused without
// saying why. The error must have file, line, field and the allowed values, the exit code
// must be 2, and nothing may be sent.
func TestBadCatalogueFiles(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "address: 127.0.0.1:8444", "adress: 127.0.0.1:8444", `:5: adress: unknown field "adress"`},
		{"wrong type", "name: accra-a, weight: 50", "name: accra-a, weight: heavy", `:12: heavy: cannot unmarshal`},
		{"no mapping", goodCatalogue, "- casework\n", `:1: `},
		{"broken YAML", "services:\n  - name: casework", "services: [\n  - name: casework", `:`},
		{"empty file", goodCatalogue, "", `:1: `},
		{"no services", goodCatalogue, "presets:\n  - name: ordinary\n", `:1: services: missing (allowed: at least one service)`},
		{"no presets", goodCatalogue[strings.Index(goodCatalogue, "presets"):], "", `:1: presets: missing (allowed: at least one preset)`},
		{"address without port", "127.0.0.1:8444", "127.0.0.1", `:5: services[1].address: "127.0.0.1" is no address (allowed: ip:port, port 1 to 65535)`},
		{"address with a name", "127.0.0.1:8444", "maps:8444", `:5: services[1].address: "maps:8444" is no address`},
		{"port out of range", "127.0.0.1:8444", "127.0.0.1:70000", `:5: services[1].address: "127.0.0.1:70000" is no address`},
		{"address used twice", "127.0.0.1:8444", "127.0.0.1:8443", `:5: services[1].address: "127.0.0.1:8443" is service "casework"'s`},
		{"service twice", "name: map-documents", "name: casework", `:4: services[1].name: "casework" appears twice`},
		{"service without name", "name: map-documents", `name: ""`, `:4: services[1].name: missing`},
		{"name too long", "name: map-documents", "name: " + strings.Repeat("m", 65), `:4: services[1].name: 65 bytes long (allowed: at most 64 bytes)`},
		{"negative limit", "address: 127.0.0.1:8444", "address: 127.0.0.1:8444\n    flowLimit: -1", `:6: services[1].flowLimit: -1 (allowed: 0 to 1000000)`},
		{"retry percent", "address: 127.0.0.1:8444", "address: 127.0.0.1:8444\n    retryPercent: 101", `:6: services[1].retryPercent: 101 (allowed: 0 to 100)`},
		{"negative duration", "address: 127.0.0.1:8444", "address: 127.0.0.1:8444\n    keyWindow: -1h", `:6: services[1].keyWindow: -1h0m0s (allowed: 0s to 168h0m0s)`},
		{"duration without unit", "address: 127.0.0.1:8444", "address: 127.0.0.1:8444\n    keyWindow: 24", `:6: 24: cannot unmarshal`},
		{"no duration", "address: 127.0.0.1:8444", "address: 127.0.0.1:8444\n    keyWindow: soon", `:6: keyWindow: "soon" is no duration (allowed: a number with a unit`},
		{"preset twice", "name: peak", "name: ordinary", `:8: presets[1].name: "ordinary" appears twice`},
		{"preset of an unknown service", "service: casework", "service: cases", `:10: presets[1].services[0].service: no service "cases" in this file (allowed: a name under services)`},
		{"weight too large", "weight: 50", "weight: 1001", `:12: presets[1].services[0].dataCentres[0].weight: 1001 (allowed: 0 to 1000)`},
		{"negative weight", "weight: 10", "weight: -10", `:14: `},
		{"host without name", "host: casework-1", `host: ""`, `:14: presets[1].services[0].hosts[0].host: missing`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(goodCatalogue, c.old)) // the case changes the good file
			file := writeFile(t, strings.Replace(goodCatalogue, c.old, c.new, 1))
			code, out, errOut := runCommand("apply", "-f", file, "-control", "127.0.0.1:1")
			is.Equal(code, exitUsage)
			is.Equal(out, "")
			if !strings.HasPrefix(errOut, file+c.want) {
				t.Errorf("got %q, want prefix %q", errOut, file+c.want)
			}
		})
	}
}

// Guards against valid files that are refused: they must pass all checks, and fail only
// because no control VM can be reached.
func TestGoodFilesPass(t *testing.T) {
	is := is.New(t)
	files := []string{writeFile(t, goodCatalogue)}
	examples, err := filepath.Glob("../../examples/catalogue-*.yaml")
	is.NoErr(err)
	is.Equal(len(examples), 2)
	for _, file := range append(files, examples...) {
		code, _, errOut := runCommand("apply", "-f", file, "-control", "127.0.0.1:1")
		is.Equal(code, exitUnreachable)
		is.True(strings.Contains(errOut, "-command-id ")) // how to send it again
	}
}

// Guards against wrong usage without a helpful text or with a wrong exit code.
func TestBadUsage(t *testing.T) {
	settings := writeFile(t, "control: [here]\n")
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, exitUsage, "usage: bergamotctl COMMAND"},
		{"unknown command", []string{"swich"}, exitUsage, `no command "swich"`},
		{"help", []string{"-h"}, exitOK, ""},
		{"help of a command", []string{"switch", "-h"}, exitOK, "usage: bergamotctl switch PRESET"},
		{"no preset", []string{"switch", "-control", "127.0.0.1:1"}, exitUsage, "0 arguments, expected 1"},
		{"no address", []string{"switch", "peak"}, exitUsage, "control: missing (allowed: at least one ip:port"},
		{"bad address", []string{"switch", "peak", "-control", "here"}, exitUsage, `control[0]: "here" is no address`},
		{"bad settings", []string{"switch", "peak", "-settings", settings}, exitUsage, settings + `:1: control[0]: "here" is no address`},
		{"no settings file", []string{"switch", "peak", "-settings", "nowhere.yaml"}, exitUsage, "nowhere.yaml: no such file or directory"},
		{"unknown flag", []string{"switch", "peak", "-if-verson", "3"}, exitUsage, "flag provided but not defined: -if-verson"},
		{"bad flag value", []string{"switch", "peak", "-if-version", "three"}, exitUsage, `invalid value "three" for flag -if-version`},
		{"no file to apply", []string{"apply", "-control", "127.0.0.1:1"}, exitUsage, "-f FILE is missing"},
		{"no step", []string{"keys", "rotate", "-control", "127.0.0.1:1"}, exitUsage, "prepare|sign|drop"},
		{"members without action", []string{"members"}, exitUsage, "members replace VM"},
		{"nobody there", []string{"switch", "peak", "-control", "127.0.0.1:1"}, exitUnreachable, "no control VM answered; 127.0.0.1:1: connect"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := runCommand(c.args...)
			is.Equal(code, c.code)
			if !strings.Contains(errOut, c.want) {
				t.Errorf("got %q, want %q in it", errOut, c.want)
			}
		})
	}
}

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = dispatch(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, data string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
