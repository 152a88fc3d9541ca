package keys

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
)

var loopback = net.IPv4(127, 0, 0, 1)

func newAuthority(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := Init(folder); err != nil {
		t.Fatal(err)
	}
	return folder
}

func loadStore(t *testing.T, files Files) *Store {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := Load(files, log, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func issueFiles(t *testing.T, folder string, role Role, name string) Files {
	t.Helper()
	files, err := Issue(folder, role, name, loopback)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// handshake connects a client to a listener and returns the error of each end: the
// server's after its handshake, the client's after it has read a byte.
func handshake(t *testing.T, server, client *tls.Config, host string) (atServer, atClient error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	serverResult := make(chan error, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			serverResult <- err
			return
		}
		defer raw.Close()
		conn := tls.Server(raw, server)
		err = conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		serverResult <- err
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	conn, atClient := Client(context.Background(), raw, client, host)
	if atClient == nil {
		_, atClient = conn.Read(make([]byte, 1))
	}
	_ = raw.Close()
	return <-serverResult, atClient
}

// Guards against a listener that serves a peer with an invalid certificate: a wrong role,
// an unknown authority, an expired or no certificate. The peer receives no byte, and the
// counter of the reason increases.
func TestServerRefusesInvalidPeers(t *testing.T) {
	folder, foreign := newAuthority(t), newAuthority(t)
	control := loadStore(t, issueFiles(t, folder, Control, "control-1"))
	late, err := issue(folder, Agent, "late", []net.IP{loopback}, time.Now().Add(-48*time.Hour), 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	expired, err := tls.LoadX509KeyPair(late.Certificate, late.Key)
	if err != nil {
		t.Fatal(err)
	}
	withCertificate := func(certs ...tls.Certificate) *tls.Config {
		return &tls.Config{InsecureSkipVerify: true, Certificates: certs}
	}
	selfSigned, _, err := SelfSigned("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		client  *tls.Config
		listens []Role
		want    error
		reason  string
	}{
		{"agent on the agents' listener", loadStore(t, issueFiles(t, folder, Agent, "agent-1")).Client(Control), []Role{Agent, Balancer}, nil, ""},
		{"agent on the operators' listener", loadStore(t, issueFiles(t, folder, Agent, "agent-1")).Client(Control), []Role{Operator}, ErrWrongRole, "role"},
		{"certificate of another authority", loadStore(t, issueFiles(t, foreign, Agent, "agent-1")).Client(Control), []Role{Agent}, ErrAuthority, "authority"},
		{"expired certificate", withCertificate(expired), []Role{Agent}, ErrExpired, "expired"},
		{"no certificate", withCertificate(), []Role{Agent}, ErrNoCertificate, ""},
		{"self-signed certificate", withCertificate(selfSigned), []Role{Agent}, ErrAuthority, "authority"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			// The client must not refuse the server before the server checks the client.
			client := c.client.Clone()
			client.VerifyConnection = nil
			before := control.metrics.Value("tls_refused_" + c.reason)
			atServer, atClient := handshake(t, control.Server(c.listens...), client, "127.0.0.1")
			if c.want == nil {
				is.NoErr(atServer)
				is.NoErr(atClient)
				return
			}
			is.True(atServer != nil)
			is.True(atClient != nil) // no byte reaches a refused peer
			if c.reason != "" {
				is.True(errors.Is(atServer, c.want))
				is.Equal(control.metrics.Value("tls_refused_"+c.reason), before+1)
			}
		})
	}
}

// Guards against a subscriber that trusts a server other than control: one with an agent's
// certificate, with a certificate of another authority, or with a control VM's certificate
// for another address.
func TestClientRefusesInvalidServers(t *testing.T) {
	folder, foreign := newAuthority(t), newAuthority(t)
	agent := loadStore(t, issueFiles(t, folder, Agent, "agent-1"))
	control := loadStore(t, issueFiles(t, folder, Control, "control-1"))
	for _, c := range []struct {
		name   string
		server *Store
		host   string
		want   error
	}{
		{"control", control, "127.0.0.1", nil},
		{"an agent", loadStore(t, issueFiles(t, folder, Agent, "agent-2")), "127.0.0.1", ErrWrongRole},
		{"control of another authority", loadStore(t, issueFiles(t, foreign, Control, "control-1")), "127.0.0.1", ErrAuthority},
		{"control on another address", control, "127.0.0.9", ErrAddress},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := c.server.Server(Agent)
			server.VerifyConnection = nil
			_, atClient := handshake(t, server, agent.Client(Control), c.host)
			if c.want == nil {
				is.NoErr(atClient)
				return
			}
			is.True(errors.Is(atClient, c.want))
		})
	}
}

// Guards against a restart for each renewal: a renewed certificate is used without one. A
// renewal that is half written or expired leaves the current certificate in use.
func TestRenewedCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	folder := newAuthority(t)
	files := issueFiles(t, folder, Control, "control-1")
	s := loadStore(t, files)
	first := s.current().Leaf.SerialNumber

	issueFiles(t, folder, Control, "control-1")
	is.NoErr(os.Chtimes(files.Certificate, time.Now(), time.Now().Add(time.Minute)))
	s.reloadIfChanged()
	second := s.current().Leaf.SerialNumber
	is.True(first.Cmp(second) != 0)
	is.Equal(s.metrics.Value("tls_reloads"), int64(1))

	_, err := issue(folder, Control, "control-1", nil, time.Now().Add(-48*time.Hour), time.Hour)
	is.NoErr(err)
	is.True(errors.Is(s.Reload(), ErrOwnCertificateExpired))
	is.NoErr(os.WriteFile(files.Key, []byte("half"), 0o600))
	is.True(errors.Is(s.Reload(), ErrFiles))
	is.Equal(s.current().Leaf.SerialNumber.Cmp(second), 0) // the valid one stays in use
}

// Guards against an authority that is replaced by a second Init, certificates with unknown
// roles or with names that leave the folder, and keys that other users can read.
func TestInitAndIssueRefuseInvalidRequests(t *testing.T) {
	is := is.New(t)
	folder := newAuthority(t)
	is.True(errors.Is(Init(folder), ErrExists))
	_, err := Issue(folder, Role("root"), "x")
	is.True(errors.Is(err, ErrRole))
	_, err = Issue(folder, Agent, "../../etc/x")
	is.True(errors.Is(err, ErrName))
	_, err = Issue(t.TempDir(), Agent, "x")
	is.True(errors.Is(err, ErrNoAuthority))
	info, err := os.Stat(issueFiles(t, folder, Agent, "a").Key)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
}
