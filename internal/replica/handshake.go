package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/framing"
)

func (r *Replica) localHandshake() *handshake {
	return &handshake{
		Version: protocolVersion,
		Cluster: r.cluster.Load(),
		Replica: r.id,
		Name:    r.cfg.Name,
		Address: r.cfg.Advertise,
	}
}

// startHandshake performs the dialler's side of the handshake and returns the peer's.
func (r *Replica) startHandshake(conn *framing.Conn) (handshake, error) {
	if err := conn.Raw().SetReadDeadline(time.Now().Add(dialTimeout)); err != nil {
		return handshake{}, errors.Wrap(err, "replica: read deadline")
	}
	if _, err := conn.Write(kindHandshake, r.localHandshake()); err != nil {
		return handshake{}, err
	}
	return r.readHandshake(conn)
}

func (r *Replica) answerHandshake(conn *framing.Conn) (handshake, error) {
	peer, err := r.readHandshake(conn)
	if err != nil {
		return peer, err
	}
	_, err = conn.Write(kindHandshake, r.localHandshake())
	return peer, err
}

// readHandshake refuses a peer of another cluster. After a disk was restored from another
// cluster's, or an address was reused, such a peer's messages could be taken for this
// cluster's.
func (r *Replica) readHandshake(conn *framing.Conn) (handshake, error) {
	var peer handshake
	f, err := conn.Read()
	if err != nil {
		return peer, err
	}
	if f.Kind != kindHandshake {
		return peer, errors.Wrapf(errHandshake, "frame kind %d", f.Kind)
	}
	if err := f.Decode(&peer); err != nil {
		return peer, errors.Wrap(errHandshake, err.Error())
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

// findCluster looks for a peer that already belongs to a cluster and returns its address.
func (r *Replica) findCluster() (address string, found bool) {
	answers := make(chan string, len(r.cfg.Peers))
	for _, peer := range r.cfg.Peers {
		go func() {
			if r.peerHasCluster(peer) {
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

func (r *Replica) peerHasCluster(address string) bool {
	if address == r.cfg.Advertise {
		return false
	}
	raw, err := r.dial(context.Background(), address)
	if err != nil {
		return false
	}
	defer raw.Close()
	answer, err := r.startHandshake(framing.NewConn(raw, maxFrameBytes, writeTimeout))
	return err == nil && answer.Cluster != 0
}
