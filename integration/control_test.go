package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/scenario"
)

// Exit codes of bergamotctl.
const (
	exitOK          = 0
	exitConflict    = 4
	exitUnreachable = 5
)

// pollTimeout bounds waits for a condition that has no time limit of its own.
const pollTimeout = 40 * time.Second

// ctl runs the built bergamotctl with an operator's certificate.
type ctl struct {
	identity keys.Settings
}

func newCtl(t *testing.T, f *testFleet) ctl {
	t.Helper()
	identity, err := f.IssueOperatorCertificate("integration")
	if err != nil {
		t.Fatal(err)
	}
	return ctl{identity: identity}
}

// run returns the exit code and the output.
func (c ctl) run(ctx context.Context, control []string, args ...string) (int, string) {
	args = append(args, "-control", strings.Join(control, ","),
		"-tls-authority", c.identity.Authority, "-tls-certificate", c.identity.Certificate, "-tls-key", c.identity.Key)
	cmd := exec.CommandContext(ctx, ctlBinary, args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return -1, err.Error()
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", pollTimeout, what)
}

// presetInForce reads the preset in force from the control VMs at the addresses, with
// a read that is current as of the request.
func presetInForce(ctx context.Context, f *testFleet, addresses ...string) (string, error) {
	client := &operator.Client{Addresses: addresses, TLS: f.Client.TLS}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	view, err := client.Read(ctx, operator.PartSummary)
	if err != nil {
		return "", err
	}
	return view.InForce, nil
}

// leader returns the index of the leading control VM.
func leader(t *testing.T, f *testFleet) int {
	t.Helper()
	found := -1
	eventually(t, "a leader", func() bool {
		for i, address := range f.OperatorAddresses() {
			local, err := f.Client.Local(t.Context(), address)
			if err == nil && local.Leader == f.Controls[i].Name {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// Guards against stale reads from a control VM that the others can't reach. Operators
// and subscribers still reach it, and presets are switched through the other two. It
// must not answer a read as current, its subscribers must move to another control VM,
// no balancer's revision may decrease, and no caller may see an error.
func TestControlVMPartitionedForWholeRun(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[0], true)
	isolated := (leader(t, f) + 1) % 3
	var steps []scenario.Step
	steps = append(steps, scenario.Step{At: 0.02, Name: "partition " + f.Controls[isolated].Name, Do: func(context.Context, *scenario.Runner) error {
		f.links.block(isolated)
		return nil
	}})
	for n, preset := range []string{scenario.PresetPeak, scenario.PresetOrdinary, scenario.PresetMaintenance} {
		steps = append(steps, scenario.Step{At: 0.3 + 0.2*float64(n), Name: "switch to " + preset, Do: func(ctx context.Context, run *scenario.Runner) error {
			return run.SwitchTo(ctx, preset)
		}})
	}
	steps = append(steps, scenario.Step{At: 0.9, Name: "read from the partitioned VM", Do: func(ctx context.Context, _ *scenario.Runner) error {
		got, err := presetInForce(ctx, f, f.OperatorAddresses()[isolated])
		if err == nil {
			return errors.Errorf("partitioned VM answered a read as current: %q", got)
		}
		return nil
	}})
	f.runScenario(t, scenario.Scenario{Name: "control-cut-off", Steps: steps})
	is.NoErr(f.links.unblock(isolated))
	eventually(t, "the partitioned VM catches up", func() bool {
		got, err := presetInForce(t.Context(), f, f.OperatorAddresses()[isolated])
		return err == nil && got == scenario.PresetMaintenance
	})
	f.close(t)
}

// Guards against a paused leader that acts on its outdated leadership when it resumes,
// like a VM after live migration or without processor time. Another leader accepts a
// switch meanwhile; the resumed VM must neither revert it nor answer the old preset.
func TestPausedLeaderResumes(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[1], false)
	paused := leader(t, f)
	pausedProcess := f.Controls[paused].Process.(*process)
	is.NoErr(pausedProcess.pause())
	others := append([]string(nil), f.OperatorAddresses()...)
	others = append(others[:paused], others[paused+1:]...)
	c := newCtl(t, f)
	eventually(t, "the other control VMs accept a switch", func() bool {
		code, _ := c.run(t.Context(), others, "switch", scenario.PresetPeak, "-command-id", "frozen-leader", "-timeout", "5s")
		return code == exitOK
	})
	is.NoErr(pausedProcess.resume())
	for range 20 {
		got, err := presetInForce(t.Context(), f, f.OperatorAddresses()[paused])
		if err == nil {
			is.Equal(got, scenario.PresetPeak)
		}
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "the resumed VM has the switch", func() bool {
		got, err := presetInForce(t.Context(), f, f.OperatorAddresses()[paused])
		return err == nil && got == scenario.PresetPeak
	})
	f.close(t)
}

// Guards against a replacement that doesn't count for the quorum. A control VM loses
// its disk and is replaced, then a second one is lost for good. The accepted preset
// must stay in force, and the remaining two must accept the next switch.
func TestSecondControlVMLostAfterReplacement(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[0], false)
	c := newCtl(t, f)
	is.NoErr(f.SwitchTo(t.Context(), scenario.PresetPeak))

	first := f.Controls[2]
	is.NoErr(first.Process.Kill())
	is.NoErr(os.RemoveAll(f.ControlFolder(first)))
	is.NoErr(f.StartControl(first))
	eventually(t, "the replacement becomes a member", func() bool {
		code, _ := c.run(t.Context(), f.OperatorAddresses(), "members", "replace", first.Name, "-timeout", "40s")
		return code == exitOK
	})
	second := f.Controls[1]
	is.NoErr(second.Process.Kill())
	second.Process = nil
	left := []string{f.OperatorAddresses()[0], f.OperatorAddresses()[2]}
	eventually(t, "the accepted preset is still in force", func() bool {
		got, err := presetInForce(t.Context(), f, left...)
		return err == nil && got == scenario.PresetPeak
	})
	eventually(t, "the remaining two control VMs accept a switch", func() bool {
		code, _ := c.run(t.Context(), left, "switch", scenario.PresetOrdinary, "-command-id", "second-lost", "-timeout", "5s")
		return code == exitOK
	})
	f.close(t)
}

// Guards against lost updates: two operators switch presets with the same expected
// version. One must succeed, the other must get the exit code for a conflict, and the
// preset in force must be the successful one's.
func TestConcurrentSwitchesOfSameVersion(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[1], false)
	c := newCtl(t, f)
	version := currentVersion(t, f, c)
	presets := []string{scenario.PresetPeak, scenario.PresetMaintenance}
	var codes [2]int
	var wg sync.WaitGroup
	for i, preset := range presets {
		wg.Go(func() {
			codes[i], _ = c.run(t.Context(), f.OperatorAddresses(), "switch", preset, "-if-version", version)
		})
	}
	wg.Wait()
	winner := 0
	if codes[1] == exitOK {
		winner = 1
	}
	is.Equal(codes[winner], exitOK)
	is.Equal(codes[1-winner], exitConflict)
	got, err := presetInForce(t.Context(), f, f.OperatorAddresses()...)
	is.NoErr(err)
	is.Equal(got, presets[winner])

	// A command that is resent with the same ID, because its answer was lost, returns
	// the first outcome and changes nothing.
	code, first := c.run(t.Context(), f.OperatorAddresses(), "switch", scenario.PresetOrdinary, "-command-id", "lost-answer")
	is.Equal(code, exitOK)
	code, again := c.run(t.Context(), f.OperatorAddresses()[1:], "switch", scenario.PresetOrdinary, "-command-id", "lost-answer")
	is.Equal(code, exitOK)
	is.Equal(again, first)
	f.close(t)
}

func currentVersion(t *testing.T, f *testFleet, c ctl) string {
	t.Helper()
	code, out := c.run(t.Context(), f.OperatorAddresses(), "status", "-json")
	if code != exitOK {
		t.Fatalf("status: exit %d: %s", code, out)
	}
	var status struct {
		Current struct {
			Version json.Number `json:"version"`
		} `json:"current"`
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		t.Fatal(err)
	}
	return status.Current.Version.String()
}

// Guards against a data plane that depends on control. All control VMs are down for
// most of the run: callers must see no error, and bergamotctl must exit with the code
// for unreachable. After control restarts from disk, the preset must be unchanged.
func TestAllControlVMsDown(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[1], false)
	c := newCtl(t, f)
	is.NoErr(f.SwitchTo(t.Context(), scenario.PresetPeak))
	f.runScenario(t, scenario.Scenario{Name: "control-gone", Steps: []scenario.Step{
		{At: 0.1, Name: "all control VMs crash", Do: func(context.Context, *scenario.Runner) error {
			for _, vm := range f.Controls {
				if err := vm.Process.Kill(); err != nil {
					return err
				}
				vm.Process = nil
			}
			return nil
		}},
		{At: 0.5, Name: "run bergamotctl status", Do: func(ctx context.Context, _ *scenario.Runner) error {
			if code, out := c.run(ctx, f.OperatorAddresses(), "status", "-timeout", "2s"); code != exitUnreachable {
				return errors.Errorf("status: exit %d: %s", code, out)
			}
			return nil
		}},
		{At: 0.7, Name: "all control VMs restart", Do: func(_ context.Context, run *scenario.Runner) error {
			for _, vm := range run.Controls {
				if err := run.StartControl(vm); err != nil {
					return err
				}
			}
			return nil
		}},
	}})
	eventually(t, "the preset is unchanged", func() bool {
		got, err := presetInForce(t.Context(), f, f.OperatorAddresses()...)
		return err == nil && got == scenario.PresetPeak
	})
	is.NoErr(f.SwitchTo(t.Context(), scenario.PresetOrdinary))
	f.close(t)
}
