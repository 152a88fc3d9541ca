package check

import (
	"cmp"
	"math"
	"slices"
)

// Share is the number of executions on one host.
type Share struct {
	Service string
	Host    string
	Runs    int
}

// Imbalance describes how unevenly work is distributed over a service's hosts.
type Imbalance struct {
	Service string
	Hosts   int
	// MaxToMean is the busiest host's work divided by the mean; 1 is even.
	MaxToMean float64
	// Variation is the coefficient of variation, the standard deviation divided by
	// the mean; 0 is even.
	Variation float64
}

// Shares counts the executions on each host, sorted by service and host.
func Shares(runs []Run) []Share {
	var out []Share
	index := map[Share]int{}
	for _, run := range runs {
		key := Share{Service: run.Service, Host: run.Host}
		i, seen := index[key]
		if !seen {
			i = len(out)
			index[key] = i
			out = append(out, key)
		}
		out[i].Runs++
	}
	slices.SortFunc(out, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	return out
}

// Imbalances computes the imbalance of each service. The shares must be sorted by
// service.
func Imbalances(shares []Share) []Imbalance {
	var out []Imbalance
	for len(shares) > 0 {
		n := 1
		for n < len(shares) && shares[n].Service == shares[0].Service {
			n++
		}
		out = append(out, imbalance(shares[:n]))
		shares = shares[n:]
	}
	return out
}

func imbalance(shares []Share) Imbalance {
	sum, highest := 0.0, 0.0
	for _, s := range shares {
		sum += float64(s.Runs)
		highest = max(highest, float64(s.Runs))
	}
	mean := sum / float64(len(shares))
	squares := 0.0
	for _, s := range shares {
		squares += (float64(s.Runs) - mean) * (float64(s.Runs) - mean)
	}
	out := Imbalance{Service: shares[0].Service, Hosts: len(shares)}
	if mean > 0 {
		out.MaxToMean = highest / mean
		out.Variation = math.Sqrt(squares/float64(len(shares))) / mean
	}
	return out
}
