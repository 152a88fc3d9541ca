package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// drawn is a definition of some routes out of 40, with drawn timeouts and shares.
func drawn(rng *rand.Rand, version Version) *Definition {
	d := &Definition{Version: version, Services: []Service{{Name: "desk"}, {Name: "archive", ColdPerSecond: float64(rng.IntN(3))}, {Name: "quotes"}}}
	for n := range 40 {
		if rng.IntN(8) == 0 {
			continue
		}
		d.Routes = append(d.Routes, Route{
			Name: fmt.Sprint(n), IP: [4]byte{198, 18, 0, byte(n)}, Port: 443, TimeoutMS: uint32(1 + rng.IntN(3)), Priority: uint32(rng.IntN(2)),
			Backends: []Backed{{d.Services[rng.IntN(3)].Name, uint32(rng.IntN(2))}, {"desk", 1}},
			Homes:    [][]string{nil, {"lombardia"}, {"lombardia", "ashanti"}}[rng.IntN(3)],
		})
	}
	return d
}

// nodeAt has a node that holds a table take what a store sends it.
func nodeAt(t *testing.T, s *Store, held *Table) *Table {
	t.Helper()
	var version Version
	if held != nil {
		version = held.Version
	}
	data, err := s.Current().Since(version)
	if err != nil {
		t.Fatal(err)
	}
	var lean Lean
	if _, err := lean.UnmarshalMsg(data); err != nil {
		t.Fatal(err)
	}
	table, err := lean.Table(held)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against nodes that act on another table than that of the definition in force.
func TestChangesLeadToTheSameTable(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := NewStore()
		var nodes []*Table
		for version := Version(1); version < 2*maxSteps; version += Version(1 + rng.IntN(3)) {
			d := drawn(rng, version)
			s.put(d)
			nodes = append(nodes, nil)
			for i, held := range nodes {
				if i%2 == 0 || rng.IntN(10) == 0 { // half of them fall behind
					nodes[i] = nodeAt(t, s, held)
					is.Equal(nodes[i], NewTable(d))
				}
			}
		}
		is.True(len(s.Current().steps) <= maxSteps)
	}
}

// Guards against tables sent whole for each change of one route.
func TestOneRoutesChangeCostsItsSize(t *testing.T) {
	is := is.New(t)
	size := func(routes int) int {
		s := NewStore()
		d := &Definition{Version: 1, Services: []Service{{Name: "desk"}}}
		for n := range routes {
			d.Routes = append(d.Routes, Route{IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443, TimeoutMS: 1000, Backends: []Backed{{"desk", 1}}})
		}
		s.put(d)
		next := &Definition{Version: 2, Services: d.Services, Routes: append([]Route(nil), d.Routes...)}
		next.Routes[7].TimeoutMS = 2000
		s.put(next)
		data, err := s.Current().Since(1)
		is.NoErr(err)
		return len(data)
	}
	is.Equal(size(20), size(2100))
	is.True(size(2100) < 100)
}

// Guards against changes put on top of another version than they are to.
func TestChangesFitTheirVersionOnly(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewStore()
	s.put(drawn(rng, 1))
	s.put(drawn(rng, 2))
	s.put(drawn(rng, 3))
	lean := &Lean{Version: 3, From: 2}
	_, err := lean.Table(NewTable(drawn(rng, 1)))
	is.True(errors.Is(err, ErrOtherVersion))
	_, err = lean.Table(nil)
	is.True(errors.Is(err, ErrOtherVersion))
}

// Guards against a panic on a table that names a service that it doesn't list.
func TestLeanWithAnUnknownServiceIsRefused(t *testing.T) {
	is := is.New(t)
	lean := &Lean{Version: 3, Routes: []LeanRoute{{Backends: []LeanBacked{{Service: 1, Weight: 1}}}}}
	_, err := lean.Table(nil)
	is.True(err != nil)
}
