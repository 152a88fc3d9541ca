package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
)

func tlsFor(t *testing.T, folder string, role keys.Role, name string) TLS {
	t.Helper()
	files, err := keys.Issue(folder, role, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	store, err := keys.Load(files, discardLog(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return TLS{Server: store.Server(keys.Control), Client: store.Client(keys.Control)}
}

// Guards against uncertified peers. Three replicas use TLS; a process with an agent's
// certificate, one whose certificate has another name, and one with another authority's
// certificate connect. None may take part.
func TestOnlyCertifiedReplicasTakePart(t *testing.T) {
	is := is.New(t)
	folder, foreign := t.TempDir(), t.TempDir()
	is.NoErr(keys.Init(folder))
	is.NoErr(keys.Init(foreign))
	members := startThree(t, func(c *Config) { c.TLS = tlsFor(t, folder, keys.Control, c.Name) })
	mustPropose(t, members[1], "one")
	requireCommands(t, members, []string{"one"})

	leader := leaderOf(t, members)
	for _, intruder := range []TLS{
		tlsFor(t, folder, keys.Agent, "d"),
		tlsFor(t, folder, keys.Control, "e"),
		tlsFor(t, foreign, keys.Control, "d"),
	} {
		m := newMember(t, newNetwork(), "d", leader.address)
		m.cfg.TLS = intruder
		m.start()
		refused := leader.cfg.Metrics.Value("replica_peers_refused")
		waitFor(t, "the peer to be refused", func() bool { return leader.cfg.Metrics.Value("replica_peers_refused") > refused })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := m.Propose(ctx, []byte("intruder"))
		cancel()
		is.True(err != nil)
		is.Equal(len(leader.Status().Members), 3)
		is.NoErr(m.Close())
	}
	requireCommands(t, members, []string{"one"})
}
