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

// fakeControl is a control VM with a table that never changes.
type fakeControl struct {
	distribution.Registrar
	table     *table.Table
	announced chan distribution.Announcement
}

func (c *fakeControl) Table() *table.Table       { return c.table }
func (c *fakeControl) Changed() <-chan struct{}  { return nil }
func (c *fakeControl) ContactAge() time.Duration { return 0 }

func (c *fakeControl) AnnounceBalancer(_ context.Context, a distribution.Announcement) error {
	c.announced <- a
	return nil
}

func (c *fakeControl) BalancerSilent(context.Context, distribution.Silence) error { return nil }

// Guards against packets that are lost when a balancer stops, before the fabric has removed
// it: the balancer notifies control at once, forwards packets during its stop grace, and
// then ends without an error.
func TestStopForwardsDuringStopGrace(t *testing.T) {
	is := is.New(t)
	endpoints := newTestEndpoints(t, is)
	control := &fakeControl{table: oneService(endpoints.service, endpoints.tunnel), announced: make(chan distribution.Announcement, 8)}
	server := distribution.NewServer(distribution.ServerConfig{Name: "control-1", Source: control, Registrar: control, Log: discardLogger()})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()

	b, err := New(Settings{
		Name: "balancer-1", DataCentre: "accra-a", Tunnel: freePort(is).String(),
		Controls: []string{ln.Addr().String()}, StopGrace: 2 * time.Second,
	}, discardLogger())
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	is.Equal((<-control.announced).Tunnel, b.forwarder.Tunnel().String())
	waitForCounter(t, b.Metrics(), "balancer_revision", 1)

	packet := shortPacket(b.forwarder.state.Load().steering, 1, 1200)
	arrives := func() {
		_, err := endpoints.caller.WriteToUDPAddrPort(packet, endpoints.service)
		is.NoErr(err)
		receive(is, endpoints.agent)
	}
	arrives()
	stop()
	is.True((<-control.announced).Draining)
	arrives()
	is.NoErr(<-ended)
}

// Guards against invalid settings that are accepted, or refused without file, line and
// field.
func TestInvalidSettingsAreRefused(t *testing.T) {
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
