package steering

import "bergamotstall/internal/table"

// maglev is the lookup table of Eisenbud et al. (NSDI 2016), extended by shares. It is
// the alternative that the rendezvous chooser is compared with.
type maglev struct {
	table []uint16
	names []table.AgentNumber
}

// maglevSize returns a prime of about a hundred entries for each target, as the paper
// advises for an error of one percent.
func maglevSize(targets int) int {
	switch {
	case targets <= 10:
		return 1009
	case targets <= 100:
		return 10007
	}
	return 100003
}

func newMaglev(c []Candidate, size int) *maglev {
	m := &maglev{table: make([]uint16, size), names: make([]table.AgentNumber, len(c))}
	const free = ^uint16(0)
	for i := range m.table {
		m.table[i] = free
	}
	next := make([]uint64, len(c))
	skip := make([]uint64, len(c))
	credit := make([]float64, len(c))
	largest := 0.0
	for i, x := range c {
		m.names[i] = x.Agent
		next[i] = mix(uint64(x.Agent)) % uint64(size)
		skip[i] = mix(uint64(x.Agent)^goldenGamma)%uint64(size-1) + 1
		largest = max(largest, x.Share)
	}
	for filled := 0; ; {
		for i, x := range c {
			credit[i] += x.Share / largest
			if credit[i] < 1 {
				continue
			}
			credit[i]--
			for m.table[next[i]] != free {
				next[i] = (next[i] + skip[i]) % uint64(size)
			}
			m.table[next[i]] = uint16(i)
			if filled++; filled == size {
				return m
			}
		}
	}
}

func (m *maglev) choose(flow uint64) table.AgentNumber {
	return m.names[m.table[mix(flow)%uint64(len(m.table))]]
}
