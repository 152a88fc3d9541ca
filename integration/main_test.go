// Package integration runs the built binaries as processes of their own, an
// address each on loopback, between a fabric stand-in and target stand-ins, with
// fault-injecting proxies on the control links.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the built bergamotstall, tool the built bergamotctl.
var binary, tool string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bergamotstall-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "bergamotstall/cmd/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binary, tool = filepath.Join(folder, "bergamotstall"), filepath.Join(folder, "bergamotctl")
	return m.Run()
}
