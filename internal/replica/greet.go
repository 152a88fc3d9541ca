package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/framing"
)

func (r *Replica) ownGreeting() *greeting {
	return &greeting{
		Version: protocolVersion,
		Cluster: r.cluster.Load(),
		Replica: r.id,
		Name:    r.cfg.Name,
		Address: r.cfg.Advertise,
	}
}

// greet opens a connection as its dialler and returns the other's greeting.
func (r *Replica) greet(conn *framing.Conn) (greeting, error) {
	if err := conn.Raw().SetReadDeadline(time.Now().Add(dialTimeout)); err != nil {
		return greeting{}, errors.Wrap(err, "replica: read deadline")
	}
	if _, err := conn.Write(kindGreeting, r.ownGreeting()); err != nil {
		return greeting{}, err
	}
	return r.readGreeting(conn)
}

func (r *Replica) answerGreeting(conn *framing.Conn) (greeting, error) {
	peer, err := r.readGreeting(conn)
	if err != nil {
		return peer, err
	}
	_, err = conn.Write(kindGreeting, r.ownGreeting())
	return peer, err
}

// readGreeting refuses a peer of another cluster: after a disk was restored
// from another cluster's, or an address reused, its messages would be taken for
// this cluster's.
func (r *Replica) readGreeting(conn *framing.Conn) (greeting, error) {
	var peer greeting
	f, err := conn.Read()
	if err != nil {
		return peer, err
	}
	if f.Kind != kindGreeting {
		return peer, errors.Wrapf(errGreeting, "frame kind %d", f.Kind)
	}
	if err := f.Decode(&peer); err != nil {
		return peer, errors.Wrap(errGreeting, err.Error())
	}
	mine := r.cluster.Load()
	switch {
	case peer.Version != protocolVersion:
		return peer, errors.Wrapf(errVersion, "version %d", peer.Version)
	case mine != 0 && peer.Cluster != 0 && mine != peer.Cluster:
		return peer, errors.Wrapf(errCluster, "cluster %016x", peer.Cluster)
	}
	return peer, nil
}

// findCluster asks the peers whether one has a cluster already.
func (r *Replica) findCluster() (address string, found bool) {
	answers := make(chan string, len(r.cfg.Peers))
	for _, peer := range r.cfg.Peers {
		go func() {
			if r.hasCluster(peer) {
				answers <- peer
			} else {
				answers <- ""
			}
		}()
	}
	for range r.cfg.Peers {
		if peer := <-answers; peer != "" {
			return peer, true
		}
	}
	return "", false
}

func (r *Replica) hasCluster(address string) bool {
	if address == r.cfg.Advertise {
		return false
	}
	raw, err := r.dial(context.Background(), address)
	if err != nil {
		return false
	}
	defer raw.Close()
	answer, err := r.greet(framing.NewConn(raw, frameLimit, writeTimeout))
	return err == nil && answer.Cluster != 0
}
