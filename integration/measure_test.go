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

// measureEnv names the environment variable that enables measurements, which take
// minutes and check nothing.
const measureEnv = "BERGAMOTSTALL_MEASURE"

const (
	idleTime = 20 * time.Second
	// clockTicks is the number of units of processor time in /proc per second.
	clockTicks = 100
)

// usage is the processor time and memory that a process has used.
type usage struct {
	cpu time.Duration
	// rss is the resident memory in KB.
	rss int
}

func usageOf(t *testing.T, pid int) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields are parsed after the command's closing bracket, since the command may
	// contain spaces. User and system time are fields 14 and 15 of the line.
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

// TestMeasureProcessesAtRest prints the processor time and memory of each role's
// process without callers, for an installation of a user's real size.
func TestMeasureProcessesAtRest(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " isn't set")
	}
	f := newTestFleet(t, scenario.Layouts()[0], false)
	time.Sleep(idleTime / 4)
	before := make([]usage, len(f.processes.all))
	for i, p := range f.processes.all {
		before[i] = usageOf(t, p.cmd.Process.Pid)
	}
	time.Sleep(idleTime)
	t.Logf("%s, %v without callers", report.Machine(), idleTime)
	for i, p := range f.processes.all {
		now := usageOf(t, p.cmd.Process.Pid)
		t.Logf("%-36s %6.2f%% of a core, %6.1f MB resident", p.name, 100*(now.cpu-before[i].cpu).Seconds()/idleTime.Seconds(), float64(now.rss)/1024)
	}
	f.close(t)
}
