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

// pollTime bounds waits whose length proves nothing.
const pollTime = 40 * time.Second

// ctl runs the built bergamotctl as an operator does.
type ctl struct {
	identity keys.Settings
}

func newCtl(t *testing.T, r *rig) ctl {
	t.Helper()
	identity, err := r.OperatorIdentity("integration")
	if err != nil {
		t.Fatal(err)
	}
	return ctl{identity: identity}
}

// run returns the exit code and what was printed.
func (c ctl) run(ctx context.Context, control []string, args ...string) (int, string) {
	args = append(args, "-control", strings.Join(control, ","),
		"-tls-authority", c.identity.Authority, "-tls-certificate", c.identity.Certificate, "-tls-key", c.identity.Key)
	cmd := exec.CommandContext(ctx, tool, args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return -1, err.Error()
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(pollTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("not met in %v: %s", pollTime, what)
}

// inForce asks one control VM, through the log's barrier.
func inForce(ctx context.Context, r *rig, addresses ...string) (string, error) {
	one := &operator.Client{Addresses: addresses, TLS: r.Client.TLS}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	view, err := one.Read(ctx, operator.PartSummary)
	if err != nil {
		return "", err
	}
	return view.InForce, nil
}

// leader returns the index of the control VM that leads.
func leader(t *testing.T, r *rig) int {
	t.Helper()
	found := -1
	eventually(t, "a leader", func() bool {
		for i, address := range r.OperatorAddresses() {
			local, err := r.Client.Local(t.Context(), address)
			if err == nil && local.Leader == r.Controls[i].Name {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// One control VM hears nothing from the others for the whole run, while its own
// address stays reachable and operators switch presets through the rest. It
// answers no read as current, its subscribers go elsewhere, no balancer's
// revision falls, and callers notice nothing.
func TestControlVMCutOffForTheWholeRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[0], true)
	lone := (leader(t, r) + 1) % 3
	var steps []scenario.Step
	steps = append(steps, scenario.Step{At: 0.02, What: "cut " + r.Controls[lone].Name, Do: func(context.Context, *scenario.Play) error {
		r.links.cut(lone)
		return nil
	}})
	for n, preset := range []string{scenario.Peak, scenario.Ordinary, scenario.Maintenance} {
		steps = append(steps, scenario.Step{At: 0.3 + 0.2*float64(n), What: "switch to " + preset, Do: func(ctx context.Context, p *scenario.Play) error {
			return p.SwitchTo(ctx, preset)
		}})
	}
	steps = append(steps, scenario.Step{At: 0.9, What: "ask the VM that is cut off", Do: func(ctx context.Context, _ *scenario.Play) error {
		got, err := inForce(ctx, r, r.OperatorAddresses()[lone])
		if err == nil {
			return errors.Errorf("it answered %q as current", got)
		}
		return nil
	}})
	r.play(t, scenario.Scenario{Name: "control-cut-off", Steps: steps})
	is.NoErr(r.links.mend(lone))
	eventually(t, "the VM has caught up", func() bool {
		got, err := inForce(t.Context(), r, r.OperatorAddresses()[lone])
		return err == nil && got == scenario.Maintenance
	})
	r.close(t)
}

// The leader is paused, as a VM that is moved or starved, and wakes believing
// that it still leads. Meanwhile another leader has taken a switch; the one that
// wakes neither reverts it nor answers the old preset.
func TestFrozenLeaderWakes(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[1], false)
	frozen := leader(t, r)
	p := r.Controls[frozen].Process.(*process)
	is.NoErr(p.freeze())
	others := append([]string(nil), r.OperatorAddresses()...)
	others = append(others[:frozen], others[frozen+1:]...)
	c := newCtl(t, r)
	eventually(t, "the others accept a switch", func() bool {
		code, _ := c.run(t.Context(), others, "switch", scenario.Peak, "-command-id", "frozen-leader", "-timeout", "5s")
		return code == exitOK
	})
	is.NoErr(p.thaw())
	for range 20 {
		got, err := inForce(t.Context(), r, r.OperatorAddresses()[frozen])
		if err == nil {
			is.Equal(got, scenario.Peak)
		}
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "the VM that woke has the switch", func() bool {
		got, err := inForce(t.Context(), r, r.OperatorAddresses()[frozen])
		return err == nil && got == scenario.Peak
	})
	r.close(t)
}

// A control VM loses its disk and is replaced; right after that a second one is
// lost for good. The accepted preset is still in force, and the two that are
// left, the replacement among them, accept the next switch.
func TestSecondControlVMLostAfterAReplacement(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[0], false)
	c := newCtl(t, r)
	is.NoErr(r.SwitchTo(t.Context(), scenario.Peak))

	first := r.Controls[2]
	is.NoErr(first.Process.Kill())
	is.NoErr(os.RemoveAll(r.ControlFolder(first)))
	is.NoErr(r.StartControl(first))
	eventually(t, "the replacement is taken in", func() bool {
		code, _ := c.run(t.Context(), r.OperatorAddresses(), "members", "replace", first.Name, "-timeout", "40s")
		return code == exitOK
	})
	second := r.Controls[1]
	is.NoErr(second.Process.Kill())
	second.Process = nil
	left := []string{r.OperatorAddresses()[0], r.OperatorAddresses()[2]}
	eventually(t, "the accepted preset is still in force", func() bool {
		got, err := inForce(t.Context(), r, left...)
		return err == nil && got == scenario.Peak
	})
	eventually(t, "the two that are left accept a switch", func() bool {
		code, _ := c.run(t.Context(), left, "switch", scenario.Ordinary, "-command-id", "second-lost", "-timeout", "5s")
		return code == exitOK
	})
	r.close(t)
}

// Two operators saw the same version and both switch. One wins; the other's
// exit code says conflict, and the preset in force is the winner's.
func TestOperatorsRaceWithEqualVersion(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[1], false)
	c := newCtl(t, r)
	version := versionOf(t, r, c)
	presets := []string{scenario.Peak, scenario.Maintenance}
	var codes [2]int
	var wg sync.WaitGroup
	for i, preset := range presets {
		wg.Go(func() {
			codes[i], _ = c.run(t.Context(), r.OperatorAddresses(), "switch", preset, "-if-version", version)
		})
	}
	wg.Wait()
	winner := 0
	if codes[1] == exitOK {
		winner = 1
	}
	is.Equal(codes[winner], exitOK)
	is.Equal(codes[1-winner], exitConflict)
	got, err := inForce(t.Context(), r, r.OperatorAddresses()...)
	is.NoErr(err)
	is.Equal(got, presets[winner])

	// The winner lost the answer and sends the command again: the first outcome
	// comes back, and nothing changes.
	code, first := c.run(t.Context(), r.OperatorAddresses(), "switch", scenario.Ordinary, "-command-id", "lost-answer")
	is.Equal(code, exitOK)
	code, again := c.run(t.Context(), r.OperatorAddresses()[1:], "switch", scenario.Ordinary, "-command-id", "lost-answer")
	is.Equal(code, exitOK)
	is.Equal(again, first)
	r.close(t)
}

func versionOf(t *testing.T, r *rig, c ctl) string {
	t.Helper()
	code, out := c.run(t.Context(), r.OperatorAddresses(), "status", "-json")
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

// Control is gone altogether for most of the run. Callers notice nothing; the
// operator's tool says unreachable, and the balancers' counters say since when.
// When control is back on its disks, the preset is what it was.
func TestControlGoneAltogether(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[1], false)
	c := newCtl(t, r)
	is.NoErr(r.SwitchTo(t.Context(), scenario.Peak))
	r.play(t, scenario.Scenario{Name: "control-gone", Steps: []scenario.Step{
		{At: 0.1, What: "all control VMs die", Do: func(context.Context, *scenario.Play) error {
			for _, vm := range r.Controls {
				if err := vm.Process.Kill(); err != nil {
					return err
				}
				vm.Process = nil
			}
			return nil
		}},
		{At: 0.5, What: "ask", Do: func(ctx context.Context, _ *scenario.Play) error {
			if code, out := c.run(ctx, r.OperatorAddresses(), "status", "-timeout", "2s"); code != exitUnreachable {
				return errors.Errorf("status: exit %d: %s", code, out)
			}
			return nil
		}},
		{At: 0.7, What: "control is back", Do: func(_ context.Context, p *scenario.Play) error {
			for _, vm := range p.Controls {
				if err := p.StartControl(vm); err != nil {
					return err
				}
			}
			return nil
		}},
	}})
	eventually(t, "the preset is what it was", func() bool {
		got, err := inForce(t.Context(), r, r.OperatorAddresses()...)
		return err == nil && got == scenario.Peak
	})
	is.NoErr(r.SwitchTo(t.Context(), scenario.Ordinary))
	r.close(t)
}
