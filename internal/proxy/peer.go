package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"bergamotstall/internal/retry"
	"bergamotstall/internal/table"
)

// Headers between agents. A caller's own are removed.
const (
	headerService    = headerPrefix + "Service"
	headerAgent      = headerPrefix + "Agent"
	headerCaller     = headerPrefix + "Caller"
	headerCredential = headerPrefix + "Credential"
)

// ReasonWrongPeer: the address of a peer belongs to another agent now.
const ReasonWrongPeer Reason = "wrong-peer"

// newPeerTransport carries requests to other agents, each once.
func newPeerTransport(cfg *PeerTLS, limits Limits) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			if cfg == nil {
				return dialPeer(ctx, nil, address)
			}
			return dialPeer(ctx, cfg.Client, address)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTime,
		// The peer waits for a slot, then for its target.
		ResponseHeaderTimeout: limits.QueueTime + limits.AnswerTime,
		ExpectContinueTimeout: limits.QueueTime + limits.AnswerTime,
		DisableCompression:    true,
	}
}

// runAt hands the request over to a peer. Where the peer refuses it, it may go
// on elsewhere: a body isn't sent before the peer has a slot for it.
func (x *Relay) runAt(c *call, peer table.Target) result {
	x.count.add("peers.handed-over")
	out := c.outgoing(c.ctx, peer.Peer)
	out.Header.Set(headerService, x.cfg.Service)
	out.Header.Set(headerAgent, strconv.FormatUint(uint64(peer.Agent), 10))
	out.Header.Set(headerCaller, c.caller)
	out.Header.Set(headerCredential, formatSum(c.credential))
	if !c.safe && out.ContentLength != 0 {
		out.Header.Set("Expect", "100-continue")
	}
	resp, got, err := sendOnce(x.peerHTTP, out)
	switch {
	case err == nil:
		return fromPeer(resp)
	case !got.Handed:
		x.count.add("peers.unreachable")
		return result{refusal: x.notHanded(c), outcome: retry.NotRun}
	default:
		x.count.add("peers.lost")
		return result{unknown: x.noAnswer(c, err), outcome: retry.Lost}
	}
}

// fromPeer reads what a peer's agent says for itself from its answer.
func fromPeer(resp *http.Response) result {
	if reason := resp.Header.Get(HeaderNotRun); reason != "" {
		_ = resp.Body.Close()
		return result{refusal: &Refusal{Reason: Reason(reason), Status: resp.StatusCode}, outcome: retry.NotRun}
	}
	if reason := resp.Header.Get(HeaderUnknown); reason != "" {
		_ = resp.Body.Close()
		return unknown(Reason(reason), resp.StatusCode)
	}
	return answered(resp, nil)
}

// servePeer takes a request that another agent hands over. It runs here or not
// at all: handed on once more, requests could go in circles.
func (x *Relay) servePeer(w http.ResponseWriter, r *http.Request) {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.count.add("peers.taken")
	c := x.newCall(r)
	defer c.end()
	c.caller = r.Header.Get(headerCaller)
	c.credential = parseSum(r.Header.Get(headerCredential))
	number, _ := strconv.ParseUint(r.Header.Get(headerAgent), 10, 32)
	switch {
	case r.Header.Get(headerService) != x.cfg.Service || table.AgentNumber(number) != x.self():
		x.answer(w, c, refused(ReasonWrongPeer))
	case x.drained():
		x.answer(w, c, refused(ReasonDraining))
	default:
		res := x.runHere(c)
		res.settle() // the other agent may go on at once
		x.answer(w, c, res)
	}
}
