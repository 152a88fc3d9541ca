package steering

import (
	"slices"
	"time"

	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

// stepMS is the interval at which changing shares are recomputed, in milliseconds. All
// processes use the same steps of the wall clock, so that they place a flow alike as far
// as their clocks agree. A change of preset takes six steps, each of which moves a sixth
// of its flows.
const stepMS = 500

func stepAt(now time.Time) int64 { return now.UnixMilli() / stepMS }

// setChoosers builds the choosers of the given services.
func (ct *CompiledTable) setChoosers(of []*Service) {
	type group struct {
		active, live []Candidate
	}
	groups := make(map[table.ServiceID]*group, len(of))
	for _, s := range of {
		groups[s.ID] = new(group)
	}
	for _, x := range ct.table.Targets {
		g := groups[x.Service]
		if g == nil || x.State == table.Retired {
			continue
		}
		g.live = append(g.live, Candidate{Agent: x.Agent, Share: 1})
		if x.State == table.Active {
			g.active = append(g.active, Candidate{Agent: x.Agent, Share: slowstart.Share(x, ct.step*stepMS)})
		}
	}
	for _, s := range of {
		s.chooser = NewChooser(groups[s.ID].active)
		s.fallback = NewChooser(groups[s.ID].live)
	}
}

// UpdateShares returns the table with the shares at the given time, or the same table if none has
// changed. Only the choosers of services with a changing share are rebuilt.
func (ct *CompiledTable) UpdateShares(now time.Time) *CompiledTable {
	step := stepAt(now)
	if step <= ct.step {
		return ct
	}
	changing := ct.changingServices()
	if len(changing) == 0 {
		return ct
	}
	out := *ct
	out.step = step
	out.Services = slices.Clone(ct.Services)
	out.services = make(map[table.ServiceID]*Service, len(ct.services))
	var rebuilt []*Service
	for i, s := range out.Services {
		if changing[s.ID] {
			s = &Service{ID: s.ID, Name: s.Name, Address: s.Address, Limit: s.Limit}
			out.Services[i] = s
			rebuilt = append(rebuilt, s)
		}
		out.services[s.ID] = s
	}
	out.setChoosers(rebuilt)
	return &out
}

// changingServices returns the services with a target whose share was still changing at
// the table's step.
func (ct *CompiledTable) changingServices() map[table.ServiceID]bool {
	var out map[table.ServiceID]bool
	at := ct.step * stepMS
	for i := range ct.table.Targets {
		x := &ct.table.Targets[i]
		if at-x.ChangedAtMS >= slowstart.ShiftMS && at-x.JoinedAtMS >= slowstart.SlowStartMS {
			continue
		}
		if out == nil {
			out = make(map[table.ServiceID]bool)
		}
		out[x.Service] = true
	}
	return out
}
