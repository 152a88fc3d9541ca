package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// agentStreamCount is how many control VMs an agent keeps streams to, so that one VM
	// may be lost without a gap. With a stream to every VM, 12,000 agents exceed what one
	// VM can serve, and after a power failure the VMs would serve the whole fleet before
	// any node has a table.
	agentStreamCount = 2
	// attachTimeout is how long a VM may take to answer before another one is tried.
	attachTimeout = 500 * time.Millisecond
	// secondStreamDelay is how long after its start an agent attaches to a second VM.
	// Until then the VMs are free to serve every node once.
	secondStreamDelay = time.Second
)

// candidate is a control VM that a stream may be kept to.
type candidate struct {
	ip string
	// healthy means that the VM was heard within streamTimeout, or that the stream is so
	// new that it may still be connecting.
	healthy bool
}

// rankControls orders control VMs for a node by rendezvous hashing. It spreads agents
// evenly over the VMs and leads them back to the VMs that hold their flow records.
func rankControls(node string, controls []string) []string {
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

// chooseControls returns the VMs to keep streams to, out of candidates in order of
// preference: as many as are needed for the wanted number of healthy ones. Unhealthy ones
// before those stay included, so that they are retried.
func chooseControls(ordered []candidate, wanted int) []string {
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

// choose returns the VMs to keep streams to now. started holds the streams that run.
// Balancers keep a stream to every VM, since they place flows by the union of the VMs'
// lists.
func (c *Client) choose(now time.Time, controls []string, started map[string]runningStream) []string {
	if c.cfg.Node.Role != Agent {
		return controls
	}
	wanted := agentStreamCount
	if now.Sub(c.startedAt) < secondStreamDelay {
		wanted = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ordered []candidate
	for _, ip := range rankControls(c.cfg.Node.Address, controls) {
		kept, ok := started[ip]
		heard := c.streams[ip] != nil && now.Sub(c.streams[ip].heardAt) < streamTimeout
		ordered = append(ordered, candidate{ip: ip, healthy: heard || !ok || now.Sub(kept.at) < attachTimeout})
	}
	return chooseControls(ordered, wanted)
}
