package proxy

import (
	"context"
	"sync"
	"time"

	"bergamotstall/internal/admission"
)

// admitter applies admission control to concurrent requests.
type admitter struct {
	now func() time.Duration

	mu         sync.Mutex
	queue      *admission.Queue
	waiting    map[admission.Ticket]chan *Refusal
	lastTicket admission.Ticket
}

func newAdmitter(now func() time.Duration, cfg admission.Config) *admitter {
	return &admitter{now: now, queue: admission.New(cfg), waiting: map[admission.Ticket]chan *Refusal{}}
}

// permit is an admitted request's right to run.
type permit struct {
	admitter *admitter
	ticket   admission.Ticket
}

// admit waits for a slot. ctx ends the wait; deadline is when the caller gives up, 0 for
// never.
func (a *admitter) admit(ctx context.Context, caller string, deadline time.Duration) (*permit, *Refusal) {
	a.mu.Lock()
	a.lastTicket++
	p := &permit{admitter: a, ticket: a.lastTicket}
	verdict := a.queue.Offer(a.now(), admission.Request{Ticket: p.ticket, Caller: caller, Deadline: deadline})
	if verdict.Displaced != 0 {
		a.notify(verdict.Displaced, a.newRefusal(admission.Displaced))
	}
	switch verdict.Decision {
	case admission.Admit:
		a.mu.Unlock()
		return p, nil
	case admission.Reject:
		refusal := a.newRefusal(verdict.Reason)
		a.mu.Unlock()
		return nil, refusal
	}
	ready := make(chan *Refusal, 1)
	a.waiting[p.ticket] = ready
	a.mu.Unlock()
	return a.wait(ctx, p, ready)
}

func (a *admitter) wait(ctx context.Context, p *permit, ready chan *Refusal) (*permit, *Refusal) {
	select {
	case refusal := <-ready:
		if refusal != nil {
			return nil, refusal
		}
		return p, nil
	case <-ctx.Done():
	}
	p.release()
	if ctx.Err() == context.DeadlineExceeded {
		return nil, &Refusal{Reason: ReasonDeadline, Status: statusRefused}
	}
	return nil, &Refusal{Reason: ReasonCancelled, Status: statusRefused}
}

// newRefusal builds the refusal for an admission decision. The caller must hold the lock.
func (a *admitter) newRefusal(reason admission.Reason) *Refusal {
	load := a.queue.Load()
	after := load.MeanSlotTime * time.Duration(load.Waiting+1) / time.Duration(max(load.Slots, 1))
	r := &Refusal{Reason: Reason(reason), Status: statusRefused, RetryAfter: after}
	if reason == admission.Displaced {
		r.Status = statusTooMany
	}
	return r
}

// notify ends a ticket's wait; a nil refusal admits it. The caller must hold the lock.
func (a *admitter) notify(t admission.Ticket, refusal *Refusal) {
	ready, ok := a.waiting[t]
	if !ok {
		return
	}
	delete(a.waiting, t)
	ready <- refusal
}

func (a *admitter) applyChange(change admission.Change) {
	for _, t := range change.Start {
		a.notify(t, nil)
	}
	for _, t := range change.Drop {
		a.notify(t, a.newRefusal(admission.DeadlineExceeded))
	}
}

func (a *admitter) configure(cfg admission.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyChange(a.queue.Configure(a.now(), cfg))
}

func (a *admitter) load() admission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Load()
}

func (a *admitter) freeSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Free()
}

// release ends the request, whether it is waiting, running or streaming. Calling it again
// does nothing.
func (p *permit) release() {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, p.ticket)
	a.applyChange(a.queue.Finish(a.now(), p.ticket))
}

// startStream releases the slot while the response continues as a stream.
func (p *permit) startStream() {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyChange(a.queue.StartStream(a.now(), p.ticket))
}
