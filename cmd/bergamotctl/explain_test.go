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

// Guards against misleading exit codes and texts when the operator asks for a flow that no
// log names, gives no or two modes, or names a file that doesn't exist.
func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "balancer.log")
	line := `{"event":700,"flow":"100.64.0.1:1030>198.18.0.1:443","verdict":"reset-nowhere","asked":7,"time":"2026-07-18T01:13:05Z","vm":"entry-1"}`
	if err := os.WriteFile(name, []byte(line+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"-flow", "100.64.0.1:1030>198.18.0.1:443", name}, exitOK, "outcome: reset-nowhere"},
		{[]string{"-worst", name}, exitOK, "      1  reset-nowhere"},
		{[]string{"-flow", "nobody", name}, exitRefused, "no line on flow"},
		{[]string{name}, exitUsage, "usage"},
		{[]string{"-flow", "x", "-worst", name}, exitUsage, "usage"},
		{[]string{"-worst", name + ".gone"}, exitFailed, "no such file"},
	} {
		t.Run(strings.Join(c.args[:len(c.args)-1], " "), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(dispatch(context.Background(), append([]string{"explain"}, c.args...), &out, &out), c.code)
			is.True(strings.Contains(out.String(), c.out))
		})
	}
}
