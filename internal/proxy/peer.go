package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"bergamotstall/internal/retry"
	"bergamotstall/internal/table"
)

// HTTP headers between agents. Those in a caller's request are removed.
const (
	headerService    = headerPrefix + "Service"
	headerAgent      = headerPrefix + "Agent"
	headerCaller     = headerPrefix + "Caller"
	headerCredential = headerPrefix + "Credential"
)

// ReasonWrongPeer: the peer's address now belongs to another agent.
const ReasonWrongPeer Reason = "wrong-peer"

// newPeerTransport returns the transport for forwarding requests to other agents.
func newPeerTransport(cfg *PeerTLS, limits Limits) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			if cfg == nil {
				return dialPeer(ctx, nil, address)
			}
			return dialPeer(ctx, cfg.Client, address)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		// The peer waits for a slot, then for its target's response.
		ResponseHeaderTimeout: limits.QueueTimeout + limits.AnswerTimeout,
		ExpectContinueTimeout: limits.QueueTimeout + limits.AnswerTimeout,
		DisableCompression:    true,
	}
}

// runAtPeer forwards the request to a peer. If the peer refuses it, another attempt is
// possible: with "Expect: 100-continue" the body isn't sent before the peer has a slot.
func (x *Proxy) runAtPeer(c *call, peer table.Target) result {
	x.counters.add("peers.handed-over")
	out := c.outgoingRequest(c.ctx, peer.Peer)
	out.Header.Set(headerService, x.cfg.Service)
	out.Header.Set(headerAgent, strconv.FormatUint(uint64(peer.Agent), 10))
	out.Header.Set(headerCaller, c.caller)
	out.Header.Set(headerCredential, formatHash(c.credential))
	if !c.safe && out.ContentLength != 0 {
		out.Header.Set("Expect", "100-continue")
	}
	resp, status, err := sendOnce(x.peerHTTP, out)
	switch {
	case err == nil:
		return peerResult(resp)
	case !status.Sent:
		x.counters.add("peers.unreachable")
		return result{refusal: x.notSentRefusal(c), outcome: retry.NotRun}
	default:
		x.counters.add("peers.lost")
		return result{unknown: x.unknownOutcome(c, err), outcome: retry.NoAnswer}
	}
}

// peerResult returns the result of a peer's response, which may be the peer agent's own
// refusal.
func peerResult(resp *http.Response) result {
	if reason := resp.Header.Get(HeaderNotRun); reason != "" {
		_ = resp.Body.Close()
		return result{refusal: &Refusal{Reason: Reason(reason), Status: resp.StatusCode}, outcome: retry.NotRun}
	}
	if reason := resp.Header.Get(HeaderOutcomeUnknown); reason != "" {
		_ = resp.Body.Close()
		return unknown(Reason(reason), resp.StatusCode)
	}
	return responseResult(resp, nil)
}

// servePeer serves a request that another agent forwarded. It either runs here or is
// refused: if it were forwarded once more, requests could loop.
func (x *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.counters.add("peers.taken")
	c := x.newCall(r)
	defer c.close()
	c.caller = r.Header.Get(headerCaller)
	c.credential = parseHash(r.Header.Get(headerCredential))
	number, _ := strconv.ParseUint(r.Header.Get(headerAgent), 10, 32)
	switch {
	case r.Header.Get(headerService) != x.cfg.Service || table.AgentNumber(number) != x.self():
		x.writeResult(w, c, refused(ReasonWrongPeer))
	case x.isDraining():
		x.writeResult(w, c, refused(ReasonDraining))
	default:
		res := x.runHere(c)
		res.waitReleased() // the other agent may retry elsewhere at once
		x.writeResult(w, c, res)
	}
}
