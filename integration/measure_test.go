package integration

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotstall/internal/report"
	"bergamotstall/internal/scenario"
)

// measureVar turns the measurements on, which take minutes and judge nothing.
const measureVar = "BERGAMOTSTALL_MEASURE"

const (
	restTime = 20 * time.Second
	// clockTicks is the kernel's unit of processor time, a hundredth of a second.
	clockTicks = 100
)

// usage is what one process has used so far.
type usage struct {
	cpu time.Duration
	// rss is its resident memory in KB.
	rss int
}

func usageOf(t *testing.T, pid int) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields follow the command's closing bracket; user and system time are
	// the 14th and 15th of all.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return usage{cpu: time.Duration(user+system) * time.Second / clockTicks, rss: residentKB(t, pid)}
}

func residentKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// TestMeasureProcessesAtRest prints what each role's process costs without any
// callers, at a user's real size.
func TestMeasureProcessesAtRest(t *testing.T) {
	if os.Getenv(measureVar) == "" {
		t.Skip(measureVar + " isn't set")
	}
	r := newRig(t, scenario.Layouts()[0], false)
	time.Sleep(restTime / 4)
	before := make([]usage, len(r.procs.all))
	for i, p := range r.procs.all {
		before[i] = usageOf(t, p.cmd.Process.Pid)
	}
	time.Sleep(restTime)
	t.Logf("%s, %v at rest", report.Machine(), restTime)
	for i, p := range r.procs.all {
		now := usageOf(t, p.cmd.Process.Pid)
		t.Logf("%-36s %6.2f%% of a core, %6.1f MB resident", p.name, 100*(now.cpu-before[i].cpu).Seconds()/restTime.Seconds(), float64(now.rss)/1024)
	}
	r.close(t)
}
