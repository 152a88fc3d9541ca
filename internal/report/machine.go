package report

import (
	"fmt"
	"runtime"
)

// Machine describes the machine that the process runs on: operating system, architecture,
// number of processors and Go version.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}
