package check

import (
	"cmp"
	"math"
	"slices"
)

// Share is the work of one host.
type Share struct {
	Service string
	Host    string
	Runs    int
}

// Imbalance tells how unevenly work lies on the hosts of one service.
type Imbalance struct {
	Service string
	Hosts   int
	// MaxToMean is the busiest host's work over the mean; 1 is even.
	MaxToMean float64
	// Variation is the standard deviation over the mean; 0 is even.
	Variation float64
}

// Shares counts runs by host.
func Shares(runs []Run) []Share {
	var out []Share
	at := map[Share]int{}
	for _, run := range runs {
		key := Share{Service: run.Service, Host: run.Host}
		i, seen := at[key]
		if !seen {
			i = len(out)
			at[key] = i
			out = append(out, key)
		}
		out[i].Runs++
	}
	slices.SortFunc(out, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	return out
}

// Imbalances judges the shares service by service.
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
	sum, most := 0.0, 0.0
	for _, s := range shares {
		sum += float64(s.Runs)
		most = max(most, float64(s.Runs))
	}
	mean := sum / float64(len(shares))
	square := 0.0
	for _, s := range shares {
		square += (float64(s.Runs) - mean) * (float64(s.Runs) - mean)
	}
	out := Imbalance{Service: shares[0].Service, Hosts: len(shares)}
	if mean > 0 {
		out.MaxToMean = most / mean
		out.Variation = math.Sqrt(square/float64(len(shares))) / mean
	}
	return out
}
