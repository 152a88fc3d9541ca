package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// agentStreams is how many control VMs an agent keeps streams to: one may be lost
	// without a gap. With a stream to each, 12,000 agents are over what one VM serves,
	// and after a power cut VMs serve all of a fleet before anybody has a table.
	agentStreams = 2
	// reachWithin is how long a VM may take to answer before another one is tried.
	reachWithin = 500 * time.Millisecond
	// secondAfter is when an agent attaches to its second VM: until then the VMs are
	// free to serve every node once.
	secondAfter = time.Second
)

// reachable tells what is known of a control VM's stream.
type reachable struct {
	ip string
	// healthy says that it was heard lately, or was begun so lately that it may be.
	healthy bool
}

// preference orders control VMs for a node by rendezvous hashing: agents spread over
// them evenly, and come back to the ones that remember their flows.
func preference(node string, controls []string) []string {
	out := slices.Clone(controls)
	weight := func(ip string) uint64 { return xxhash.Sum64String(node + "|" + ip) }
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// chooseControls returns the VMs that a node should keep streams to, out of those that
// it prefers in this order: as many as it takes to have the wanted number of healthy
// ones. Those before that aren't healthy go on being tried.
func chooseControls(ordered []reachable, wanted int) []string {
	var out []string
	healthy := 0
	for _, r := range ordered {
		if healthy == wanted {
			break
		}
		out = append(out, r.ip)
		if r.healthy {
			healthy++
		}
	}
	return out
}

// choose returns the VMs to keep streams to now; started is since when each stream is
// kept. Balancers keep one to each VM: what they place depends on the union of lists.
func (c *Client) choose(now time.Time, controls []string, started map[string]keptStream) []string {
	if c.cfg.Node.Role != Agent {
		return controls
	}
	wanted := agentStreams
	if now.Sub(c.startedAt) < secondAfter {
		wanted = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ordered []reachable
	for _, ip := range preference(c.cfg.Node.Address, controls) {
		kept, ok := started[ip]
		heard := c.streams[ip] != nil && now.Sub(c.streams[ip].heardAt) < beatPatience
		ordered = append(ordered, reachable{ip: ip, healthy: heard || !ok || now.Sub(kept.at) < reachWithin})
	}
	return chooseControls(ordered, wanted)
}
