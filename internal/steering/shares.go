package steering

import (
	"slices"
	"time"

	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

// stepMS is how often shares that move are taken anew, in milliseconds. All
// processes take them at the same steps of the clock, so that they place a flow
// alike as far as their clocks agree. At six steps a preset shift moves a sixth
// of its flows at a time.
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

// UpdateShares returns the table with the shares of the given time, or the same table
// where none has moved. Only the choosers of services with a moving target are
// built anew.
func (ct *CompiledTable) UpdateShares(now time.Time) *CompiledTable {
	step := stepAt(now)
	if step <= ct.step {
		return ct
	}
	moving := ct.moving()
	if len(moving) == 0 {
		return ct
	}
	out := *ct
	out.step = step
	out.Services = slices.Clone(ct.Services)
	out.services = make(map[table.ServiceID]*Service, len(ct.services))
	var fresh []*Service
	for i, s := range out.Services {
		if moving[s.ID] {
			s = &Service{ID: s.ID, Name: s.Name, Address: s.Address, Limit: s.Limit}
			out.Services[i] = s
			fresh = append(fresh, s)
		}
		out.services[s.ID] = s
	}
	out.setChoosers(fresh)
	return &out
}

// moving returns the services with a target whose share wasn't at its end at the
// table's step.
func (ct *CompiledTable) moving() map[table.ServiceID]bool {
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
