package route

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

func validDefinition() *Definition {
	return &Definition{
		Version:  7,
		Services: []Service{{Name: "casework"}, {Name: "mapdocs"}},
		Routes: []Route{
			{Name: "a", IP: [4]byte{198, 18, 0, 1}, Port: 443, TimeoutMS: 1000, Priority: 1, Backends: []Backend{{"casework", 90}, {"mapdocs", 10}}},
			{Name: "b", IP: [4]byte{198, 18, 0, 1}, Port: 80, TimeoutMS: 2000, Priority: 2, Backends: []Backend{{"mapdocs", 1}}},
		},
		Document: []byte(`{"version":7}`),
	}
}

// Guards against invalid definitions that come into force, in part or as a whole.
func TestInvalidDefinitions(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*Definition)
		want  error
	}{
		{"no version", func(d *Definition) { d.Version = 0 }, ErrNoVersion},
		{"unknown service", func(d *Definition) { d.Routes[1].Backends[0].Service = "x" }, ErrUnknownService},
		{"one service of two unknown", func(d *Definition) { d.Services = d.Services[:1] }, ErrUnknownService},
		{"same address", func(d *Definition) { d.Routes[1].Port = 443 }, ErrSameAddress},
		{"no timeout", func(d *Definition) { d.Routes[0].TimeoutMS = 0 }, ErrNoTimeout},
		{"no backend", func(d *Definition) { d.Routes[1].Backends = nil }, ErrNoBackend},
		{"no weight", func(d *Definition) { d.Routes[1].Backends[0].Weight = 0 }, ErrNoBackend},
		{"service twice", func(d *Definition) { d.Services[1].Name = "casework" }, ErrSameService},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := validDefinition()
			is.NoErr(d.Validate())
			c.spoil(d)
			is.True(errors.Is(d.Validate(), c.want))
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	table := NewTable(validDefinition())
	count := map[ServiceID]int{}
	for port := range uint16(10_000) {
		f := packet.Flow{Client: packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Service: packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}}
		s, ok := table.Pick(f)
		is.True(ok)
		again, _ := table.Pick(f)
		is.Equal(s, again) // a copy of a first packet gets the same service
		count[s]++
	}
	if n := count[IDOf("mapdocs")]; n < 900 || n > 1100 {
		t.Errorf("%d of 10,000 flows went to the service with a tenth of the weight", n)
	}
}

func TestUnknownAddress(t *testing.T) {
	is := is.New(t)
	var none *Table
	at := packet.Endpoint{Port: 1}
	is.Equal(none.Services(at), nil)
	_, ok := none.Pick(packet.Flow{Service: at})
	is.Equal(ok, false)
	table := NewTable(validDefinition())
	_, ok = table.Pick(packet.Flow{Service: at})
	is.Equal(ok, false)
	is.Equal(table.Priority(packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}), uint32(2))
}

func command(t *testing.T, v Version) []byte {
	t.Helper()
	d := validDefinition()
	d.Version = v
	c, err := Command(d)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against an older version that replaces a newer one when operators race and
// resend. The highest version stays in any order of the commands, and a resend changes
// nothing.
func TestHighestVersionWins(t *testing.T) {
	is := is.New(t)
	s := NewReplicatedStore()
	is.Equal(s.Apply(1, command(t, 7)), []byte{byte(Accepted)})
	changed := s.Changed()
	is.Equal(s.Apply(2, command(t, 7)), []byte{byte(Redundant)})
	is.Equal(s.Apply(3, command(t, 5)), []byte{byte(Redundant)})
	is.Equal(s.Apply(4, []byte("no command")), []byte{byte(Malformed)})
	is.Equal(s.Version(), Version(7))
	select {
	case <-changed:
		t.Error("change notified although nothing changed")
	default:
	}
	is.Equal(s.Apply(5, command(t, 9)), []byte{byte(Accepted)})
	<-changed
	is.Equal(s.Current().Definition.Document, validDefinition().Document)
}

// Guards against nodes that are sent an older definition after a reopened replica is
// given a snapshot older than its applied state.
func TestRestoreKeepsNewerDefinition(t *testing.T) {
	is := is.New(t)
	old := NewReplicatedStore()
	old.Apply(1, command(t, 7))
	snapshot, err := old.Snapshot()
	is.NoErr(err)

	s := NewReplicatedStore()
	s.Apply(1, command(t, 9))
	is.NoErr(s.Restore(snapshot))
	is.Equal(s.Version(), Version(9))

	fresh := NewReplicatedStore()
	is.NoErr(fresh.Restore(snapshot))
	is.Equal(fresh.Version(), Version(7))
	is.True(fresh.Restore([]byte("damaged")) != nil)
	empty, err := NewReplicatedStore().Snapshot()
	is.NoErr(err)
	is.NoErr(NewReplicatedStore().Restore(empty))
}
