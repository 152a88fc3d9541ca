package flow_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// deaf is a caller's socket that hears nothing, like one whose packets carry
// another's address.
type deaf struct {
	net.PacketConn
}

func (d deaf) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		if _, from, err := d.PacketConn.ReadFrom(b); err != nil {
			return 0, from, err
		}
	}
}

// SetReadBuffer and SetWriteBuffer exist because quic-go warns without them.
func (deaf) SetReadBuffer(int) error  { return nil }
func (deaf) SetWriteBuffer(int) error { return nil }

func (r *rig) dial(t *quic.Transport, service string) (*quic.Conn, error) {
	s, _ := r.table.ServiceNamed(service)
	to, err := net.ResolveUDPAddr("udp", s.Address)
	r.is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	r.Cleanup(cancel)
	return t.Dial(ctx, to, &tls.Config{RootCAs: r.pool, ServerName: service, NextProtos: []string{http3.NextProtoH3}}, nil)
}

func (r *rig) socket() *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.is.NoErr(err)
	r.Cleanup(func() { _ = c.Close() })
	return c
}

// A caller gets its flow while handshakes that nobody will finish pile up at the
// agent: from a hundred on, callers have to prove their address first, which
// those with a made-up one can't, so that they cost no more handshakes.
func TestFloodOfHandshakesMustProveAddresses(t *testing.T) {
	r := standard(t, 1, target)
	const flood = 150
	for range flood {
		x := &quic.Transport{Conn: deaf{r.socket()}}
		go func() { _, _ = r.dial(x, desk) }()
	}
	agent := r.agents[1]
	r.eventually("proof is asked for", func() bool { return agent.metrics.Value("flow_address_proof_asked") > 0 })
	r.is.True(agent.Flows() <= 100)
	_, _, err := r.caller(desk).get("/")
	r.is.NoErr(err)
}

// A caller's feed goes on when the caller's address changes in the middle, as
// when a surveyor's phone moves to another network: the packets name the agent,
// whichever address they come from.
func TestFeedSurvivesCallersNewAddress(t *testing.T) {
	r := standard(t, 3, target)
	first := &quic.Transport{Conn: r.socket()}
	conn, err := r.dial(first, desk)
	r.is.NoErr(err)
	x := &http3.Transport{}
	feed := r.openFeed(&caller{
		Client: &http.Client{Transport: x.NewClientConn(conn)},
		url:    "https://" + r.table.Services[0].Address,
	})
	r.goesOn(feed)
	path, err := conn.AddPath(&quic.Transport{Conn: r.socket()})
	r.is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r.is.NoErr(path.Probe(ctx))
	r.is.NoErr(path.Switch())
	time.Sleep(100 * time.Millisecond)
	for _, from := range r.fabric.Callers() {
		if from.Port() == uint16(first.Conn.LocalAddr().(*net.UDPAddr).Port) {
			r.fabric.Silence(from)
		}
	}
	r.goesOn(feed)
}
