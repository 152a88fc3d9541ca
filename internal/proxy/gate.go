package proxy

import (
	"context"
	"sync"
	"time"

	"bergamotstall/internal/admission"
)

// gate runs the admission decision for concurrent requests.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[admission.Ticket]chan *Refusal
	last    admission.Ticket
}

func newGate(now func() time.Duration, cfg admission.Config) *gate {
	return &gate{now: now, queue: admission.New(cfg), waiting: map[admission.Ticket]chan *Refusal{}}
}

// pass is one request's right to run.
type pass struct {
	gate   *gate
	ticket admission.Ticket
}

// enter waits for a slot. ctx ends the waiting; deadline, where it isn't 0, is
// when the caller gives up.
func (g *gate) enter(ctx context.Context, caller string, deadline time.Duration) (*pass, *Refusal) {
	g.mu.Lock()
	g.last++
	p := &pass{gate: g, ticket: g.last}
	verdict := g.queue.Offer(g.now(), admission.Request{Ticket: p.ticket, Caller: caller, Deadline: deadline})
	if verdict.Displaced != 0 {
		g.tell(verdict.Displaced, g.refusal(admission.Displaced))
	}
	switch verdict.Answer {
	case admission.Enter:
		g.mu.Unlock()
		return p, nil
	case admission.TurnAway:
		refusal := g.refusal(verdict.Reason)
		g.mu.Unlock()
		return nil, refusal
	}
	ready := make(chan *Refusal, 1)
	g.waiting[p.ticket] = ready
	g.mu.Unlock()
	return g.await(ctx, p, ready)
}

func (g *gate) await(ctx context.Context, p *pass, ready chan *Refusal) (*pass, *Refusal) {
	select {
	case refusal := <-ready:
		if refusal != nil {
			return nil, refusal
		}
		return p, nil
	case <-ctx.Done():
	}
	p.leave()
	if ctx.Err() == context.DeadlineExceeded {
		return nil, &Refusal{Reason: ReasonDeadline, Status: statusRefused}
	}
	return nil, &Refusal{Reason: ReasonCancelled, Status: statusRefused}
}

// refusal dresses a reason of the decision. The caller holds the lock.
func (g *gate) refusal(reason admission.Reason) *Refusal {
	load := g.queue.Load()
	after := load.Hold * time.Duration(load.Waiting+1) / time.Duration(max(load.Slots, 1))
	r := &Refusal{Reason: Reason(reason), Status: statusRefused, RetryAfter: after}
	if reason == admission.Displaced {
		r.Status = statusTooMany
	}
	return r
}

// tell ends the waiting of a ticket. The caller holds the lock.
func (g *gate) tell(t admission.Ticket, refusal *Refusal) {
	ready, ok := g.waiting[t]
	if !ok {
		return
	}
	delete(g.waiting, t)
	ready <- refusal
}

func (g *gate) apply(change admission.Change) {
	for _, t := range change.Start {
		g.tell(t, nil)
	}
	for _, t := range change.Drop {
		g.tell(t, g.refusal(admission.TooLate))
	}
}

func (g *gate) configure(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.queue.Configure(g.now(), cfg))
}

func (g *gate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

func (g *gate) free() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Free()
}

// leave ends the request, wherever it stands. Calling it again does nothing.
func (p *pass) leave() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, p.ticket)
	g.apply(g.queue.Leave(g.now(), p.ticket))
}

// stream gives the slot back while the answer goes on.
func (p *pass) stream() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.queue.Stream(g.now(), p.ticket))
}
