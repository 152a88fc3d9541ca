package balancer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/settings"
	"bergamotstall/internal/table"
)

// oneControl is a control VM with a table that never changes.
type oneControl struct {
	distribution.Registrar
	table    *table.Table
	announce chan distribution.Announcement
}

func (c *oneControl) Table() *table.Table       { return c.table }
func (c *oneControl) Changed() <-chan struct{}  { return nil }
func (c *oneControl) ContactAge() time.Duration { return 0 }

func (c *oneControl) AnnounceBalancer(_ context.Context, a distribution.Announcement) error {
	c.announce <- a
	return nil
}

func (c *oneControl) BalancerSilent(context.Context, distribution.Silence) error { return nil }

// Callers' packets go through a balancer that was told to stop for as long as its
// grace lasts, while the fabric takes it out; control is told at once. Then it
// ends without an error.
func TestStopForwardsThroughItsGrace(t *testing.T) {
	is := is.New(t)
	x := newFar(t, is)
	control := &oneControl{table: oneService(x.service, x.tunnel), announce: make(chan distribution.Announcement, 8)}
	server := distribution.NewServer(distribution.ServerConfig{Name: "control-1", Source: control, Registrar: control, Log: quiet()})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()

	b, err := New(Settings{
		Name: "balancer-1", DataCentre: "accra-a", Tunnel: freePort(is).String(),
		Controls: []string{ln.Addr().String()}, StopGrace: 2 * time.Second,
	}, quiet())
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	is.Equal((<-control.announce).Tunnel, b.forwarder.Tunnel().String())
	reaches(t, b.Metrics(), "balancer_revision", 1)

	packet := shortPacket(b.forwarder.view.Load().steering, 1, 1200)
	arrives := func() {
		_, err := x.caller.WriteToUDPAddrPort(packet, x.service)
		is.NoErr(err)
		receive(is, x.agent)
	}
	arrives()
	stop()
	is.True((<-control.announce).Draining)
	arrives()
	is.NoErr(<-ended)
}

// Impossible settings are refused with file, line, field and what is allowed.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	const good = "name: b\ndataCentre: d\ntunnel: 127.0.0.1:9000\ncontrols: [\"127.0.0.1:7000\"]\n"
	var s Settings
	is.NoErr(settings.Decode("b.yaml", []byte(good), &s))
	for bad, want := range map[string]string{
		"name: \"\"\n" + good[8:]:          "b.yaml:1: name: missing",
		good + "bind: localhost\n":         "b.yaml:5: bind:",
		good + "sockets: 65\n":             "b.yaml:5: sockets:",
		good + "stopGrace: -1s\n":          "b.yaml:5: stopGrace:",
		good + "metrics: 9001\n":           "b.yaml:5: metrics:",
		good + "tls: {authority: x}\n":     "tls",
		good + "tunel: 127.0.0.1:9000\n":   "b.yaml:5: tunel:",
		"name: b\ndataCentre: d\n":         "controls: missing",
		good[:len(good)-17] + ":7000\"]\n": "controls[0]:",
	} {
		var s Settings
		err := settings.Decode("b.yaml", []byte(bad), &s)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", bad, err, want)
		}
	}
}
