package report

import (
	"fmt"
	"runtime"
)

// Machine names the machine of a measurement.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}
