package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// Fleet is the merged status of the given control VMs. A VM knows the acknowledged
// revision only of its own subscribers, so the client asks every VM and merges the
// replies. The alternatives cost more: acknowledgements through the log would write an
// entry per change for each of 13,200 subscribers, and an exchange of summaries between
// VMs would need another protocol for a query that is made a few times a day.
type Fleet struct {
	VMs []VMStatus `json:"vms"`
	// Balancers are the registered balancers, each with its newest report.
	Balancers []BalancerStatus `json:"balancers"`
	// View is the catalogue's current summary; nil if no quorum answered.
	View *View `json:"current,omitempty"`
	// NoQuorum is the reason why there is no View.
	NoQuorum string `json:"noQuorum,omitempty"`
}

// VMStatus is the status of one control VM, or the error that it couldn't be read with.
type VMStatus struct {
	Address string       `json:"address"`
	Local   *LocalStatus `json:"local,omitempty"`
	Err     string       `json:"error,omitempty"`
}

// BalancerStatus is a balancer with the table revision that it has acknowledged.
type BalancerStatus struct {
	Balancer
	// Heard is false if the balancer is connected to none of the asked VMs.
	Heard bool `json:"heard"`
	// Revision is the newest revision that it acknowledged, AgeMS the age of this report.
	Revision table.Revision `json:"revision"`
	AgeMS    int64          `json:"ageMs"`
}

// Fleet asks all VMs in parallel and merges their replies.
func (c *Client) Fleet(ctx context.Context) *Fleet {
	f := &Fleet{VMs: make([]VMStatus, len(c.Addresses))}
	var running sync.WaitGroup
	for i, address := range c.Addresses {
		running.Go(func() {
			f.VMs[i] = VMStatus{Address: address}
			local, err := c.Local(ctx, address)
			if err != nil {
				f.VMs[i].Err = err.Error()
				return
			}
			f.VMs[i].Local = &local
		})
	}
	running.Wait()
	view, err := c.Read(ctx, PartFleetState)
	if err != nil {
		f.NoQuorum = err.Error()
		return f
	}
	f.View = view
	reports := f.newestReports()
	for _, b := range view.Balancers {
		report, found := reports[subscriberKey{distribution.RoleBalancer.String(), b.Name}]
		f.Balancers = append(f.Balancers, BalancerStatus{Balancer: b, Heard: found, Revision: report.Revision, AgeMS: report.AgeMS})
	}
	return f
}

// subscriberKey identifies a subscriber on any control VM.
type subscriberKey struct{ role, name string }

// newestReports returns each subscriber's newest report. A subscriber that moved to
// another VM may stay in its old VM's list for a while.
func (f *Fleet) newestReports() map[subscriberKey]Subscriber {
	out := make(map[subscriberKey]Subscriber)
	for _, vm := range f.VMs {
		if vm.Local == nil {
			continue
		}
		for _, s := range vm.Local.Subscribers {
			k := subscriberKey{s.Role, s.Name}
			if known, ok := out[k]; !ok || s.AgeMS < known.AgeMS {
				out[k] = s
			}
		}
	}
	return out
}

// Behind names all processes that may not have the revision yet: live balancers, connected
// agents, and control VMs that didn't reply, since their subscribers are unknown.
func (f *Fleet) Behind(revision table.Revision) []string {
	var out []string
	for _, b := range f.Lagging(revision) {
		out = append(out, "balancer "+b.Name)
	}
	for k, s := range f.newestReports() {
		if k.role == distribution.RoleAgent.String() && s.Revision < revision {
			out = append(out, "agent "+k.name)
		}
	}
	for _, vm := range f.VMs {
		if vm.Local == nil {
			out = append(out, "control VM at "+vm.Address)
		}
	}
	slices.Sort(out)
	return out
}

// Prepared returns the revision that first carried the prepared generation of
// the cluster keys; false if none is prepared.
func (f *Fleet) Prepared() (table.Revision, bool) {
	if f.View == nil {
		return 0, false
	}
	for _, k := range f.View.Keys {
		if k.State == statePrepared {
			return k.PreparedAt, true
		}
	}
	return 0, false
}

// Lagging returns the live balancers that haven't acknowledged the revision.
func (f *Fleet) Lagging(revision table.Revision) []BalancerStatus {
	var out []BalancerStatus
	for _, b := range f.Balancers {
		if b.State != stateOffReturnPath && (!b.Heard || b.Revision < revision) {
			out = append(out, b)
		}
	}
	return out
}

// Live returns the number of balancers that control considers live.
func (f *Fleet) Live() int {
	n := 0
	for _, b := range f.Balancers {
		if b.State != stateOffReturnPath {
			n++
		}
	}
	return n
}

// ErrLagging is returned if balancers haven't acknowledged a revision in time.
var ErrLagging = errors.New("operator: not in force on every balancer yet")

// fleetPollInterval is the pause between two reads of the fleet's status.
const fleetPollInterval = 50 * time.Millisecond

// WaitInForce returns once every live balancer has acknowledged the revision.
// If ctx ends first, it returns ErrLagging and the last status of the fleet.
func (c *Client) WaitInForce(ctx context.Context, revision table.Revision) (*Fleet, error) {
	last := &Fleet{NoQuorum: "not asked"}
	for {
		fleet := c.Fleet(ctx)
		if fleet.View != nil {
			last = fleet
			if len(fleet.Lagging(revision)) == 0 {
				return fleet, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, ErrLagging
		case <-time.After(fleetPollInterval):
		}
	}
}
