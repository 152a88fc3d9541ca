package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// randomDefinition returns a definition with most of 40 routes, and random timeouts and
// backends.
func randomDefinition(rng *rand.Rand, version Version) *Definition {
	d := &Definition{Version: version, Services: []Service{{Name: "desk"}, {Name: "archive", ColdPerSecond: float64(rng.IntN(3))}, {Name: "quotes"}}}
	for n := range 40 {
		if rng.IntN(8) == 0 {
			continue
		}
		d.Routes = append(d.Routes, Route{
			Name: fmt.Sprint(n), IP: [4]byte{198, 18, 0, byte(n)}, Port: 443, TimeoutMS: uint32(1 + rng.IntN(3)), Priority: uint32(rng.IntN(2)),
			Backends:       []Backend{{d.Services[rng.IntN(3)].Name, uint32(rng.IntN(2))}, {"desk", 1}},
			AllowedRegions: [][]string{nil, {"lombardia"}, {"lombardia", "ashanti"}}[rng.IntN(3)],
			Kind:           RequestKind(rng.IntN(int(Upload) + 1)), GoalMS: uint32(rng.IntN(3)),
		})
	}
	return d
}

// updatedTable returns a node's table after it applied the update that the store sends
// it.
func updatedTable(t *testing.T, s *ReplicatedStore, held *Table) *Table {
	t.Helper()
	var version Version
	if held != nil {
		version = held.Version
	}
	data, err := s.Current().Since(version)
	if err != nil {
		t.Fatal(err)
	}
	var update TableUpdate
	if _, err := update.UnmarshalMsg(data); err != nil {
		t.Fatal(err)
	}
	table, err := update.Table(held)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against nodes whose table, after any sequence of updates, differs from the table
// of the definition in force.
func TestUpdatesYieldTheTableInForce(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := NewReplicatedStore()
		var nodes []*Table
		for version := Version(1); version < 2*maxDeltas; version += Version(1 + rng.IntN(3)) {
			d := randomDefinition(rng, version)
			s.setDefinition(d)
			nodes = append(nodes, nil)
			for i, held := range nodes {
				if i%2 == 0 || rng.IntN(10) == 0 { // half of the nodes fall behind
					nodes[i] = updatedTable(t, s, held)
					is.Equal(nodes[i], NewTable(d))
				}
			}
		}
		is.True(len(s.Current().deltas) <= maxDeltas)
	}
}

// Guards against updates of builds that don't know the routes' kinds and goals being refused.
func TestUpdateWithoutKindsAndGoals(t *testing.T) {
	is := is.New(t)
	d := &Definition{Version: 1, Services: []Service{{Name: "desk"}}, Routes: []Route{
		{Name: "r", Port: 443, TimeoutMS: 900, Backends: []Backend{{"desk", 1}}, Kind: Upload, GoalMS: 300},
	}}
	at := d.Routes[0].Address()
	is.Equal(NewTable(d).Demand(at), Demand{Kind: Upload, Goal: 300 * time.Millisecond, Timeout: 900 * time.Millisecond})
	update := FullUpdate(d)
	update.Kinds, update.GoalsMS = nil, nil
	table, err := update.Table(nil)
	is.NoErr(err)
	is.Equal(table.Demand(at), Demand{Timeout: 900 * time.Millisecond})
}

// Guards against full tables that are sent when a single route changes.
func TestSizeOfOneRoutesChange(t *testing.T) {
	is := is.New(t)
	size := func(routes int) int {
		s := NewReplicatedStore()
		d := &Definition{Version: 1, Services: []Service{{Name: "desk"}}}
		for n := range routes {
			d.Routes = append(d.Routes, Route{IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443, TimeoutMS: 1000, Backends: []Backend{{"desk", 1}}})
		}
		s.setDefinition(d)
		next := &Definition{Version: 2, Services: d.Services, Routes: append([]Route(nil), d.Routes...)}
		next.Routes[7].TimeoutMS = 2000
		s.setDefinition(next)
		data, err := s.Current().Since(1)
		is.NoErr(err)
		return len(data)
	}
	is.Equal(size(20), size(2100))
	is.True(size(2100) < 100)
}

// Guards against changes that are applied to another version than the one they start
// from.
func TestUpdateOfAnotherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewReplicatedStore()
	s.setDefinition(randomDefinition(rng, 1))
	s.setDefinition(randomDefinition(rng, 2))
	s.setDefinition(randomDefinition(rng, 3))
	update := &TableUpdate{Version: 3, From: 2}
	_, err := update.Table(NewTable(randomDefinition(rng, 1)))
	is.True(errors.Is(err, ErrVersionMismatch))
	_, err = update.Table(nil)
	is.True(errors.Is(err, ErrVersionMismatch))
}

// Guards against a panic on an update that refers to a service index out of range.
func TestUpdateWithUnknownServiceIsRefused(t *testing.T) {
	is := is.New(t)
	update := &TableUpdate{Version: 3, Routes: []UpdateRoute{{Backends: []UpdateBackend{{Service: 1, Weight: 1}}}}}
	_, err := update.Table(nil)
	is.True(err != nil)
}
