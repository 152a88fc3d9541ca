// Package integration tests the built binaries as separate processes on loopback, each
// with its own address, between a stand-in fabric and stand-in targets. Proxies on the
// connections to control VMs inject faults.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// serverBinary and ctlBinary are the paths of the built bergamotstall and bergamotctl.
var serverBinary, ctlBinary string

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
	serverBinary, ctlBinary = filepath.Join(folder, "bergamotstall"), filepath.Join(folder, "bergamotctl")
	return m.Run()
}
