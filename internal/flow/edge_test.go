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

// deafConn is a caller's socket that receives nothing, as if its packets had a spoofed
// source address.
type deafConn struct {
	net.PacketConn
}

func (d deafConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		if _, from, err := d.PacketConn.ReadFrom(b); err != nil {
			return 0, from, err
		}
	}
}

// SetReadBuffer and SetWriteBuffer exist because quic-go logs a warning without them.
func (deafConn) SetReadBuffer(int) error  { return nil }
func (deafConn) SetWriteBuffer(int) error { return nil }

func (r *rig) dial(t *quic.Transport, service string) (*quic.Conn, error) {
	s, _ := r.table.ServiceNamed(service)
	to, err := net.ResolveUDPAddr("udp", s.Address)
	r.is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	r.Cleanup(cancel)
	return t.Dial(ctx, to, &tls.Config{RootCAs: r.pool, ServerName: service, NextProtos: []string{http3.NextProtoH3}}, nil)
}

func (r *rig) socket() *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.is.NoErr(err)
	r.Cleanup(func() { _ = c.Close() })
	return c
}

// A flood of handshakes from spoofed addresses must not keep other callers out. From 100
// pending handshakes on, callers must validate their address first, which spoofed ones
// can't, so that they cost no further handshakes.
func TestFloodOfHandshakesMustProveAddresses(t *testing.T) {
	r := standardRig(t, 1, targetHandler)
	const flood = 150
	for range flood {
		x := &quic.Transport{Conn: deafConn{r.socket()}}
		go func() { _, _ = r.dial(x, defaultService) }()
	}
	agent := r.agents[1]
	r.eventually("address validation is required", func() bool { return agent.metrics.Value("flow_address_proof_asked") > 0 })
	r.is.True(agent.Flows() <= 100)
	_, _, err := r.caller(defaultService).get("/")
	r.is.NoErr(err)
}

// A feed must continue when the caller's address changes, as when a phone moves to another
// network: the connection ID names the agent, whatever the source address.
func TestFeedSurvivesCallersNewAddress(t *testing.T) {
	r := standardRig(t, 3, targetHandler)
	first := &quic.Transport{Conn: r.socket()}
	conn, err := r.dial(first, defaultService)
	r.is.NoErr(err)
	x := &http3.Transport{}
	feed := r.openFeed(&caller{
		Client: &http.Client{Transport: x.NewClientConn(conn)},
		url:    "https://" + r.table.Services[0].Address,
	})
	r.requireFeedContinues(feed)
	path, err := conn.AddPath(&quic.Transport{Conn: r.socket()})
	r.is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r.is.NoErr(path.Probe(ctx))
	r.is.NoErr(path.Switch())
	time.Sleep(100 * time.Millisecond)
	for _, from := range r.fabric.Callers() {
		if from.Port() == uint16(first.Conn.LocalAddr().(*net.UDPAddr).Port) {
			r.fabric.Silence(from)
		}
	}
	r.requireFeedContinues(feed)
}
