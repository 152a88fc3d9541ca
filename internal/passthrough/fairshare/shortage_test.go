package fairshare_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const lightClients = 40

// greedyRate is what the greedy client asks for, in requests a second: more than all targets
// can run.
const greedyRate = 1000

// settle is how long shares take to settle.
const settle = 2 * time.Second

// compete has many clients and a greedy one compete for some seconds, after shares have
// settled, and returns what they got a second.
func compete(f *fleet, lightRate float64, seconds int, disturb func()) (light, greedy client) {
	f.askEach(lightClients, plainRoute, lightRate, settle)
	f.ask(200, plainRoute, greedyRate, settle)
	f.run(settle)
	if disturb != nil {
		disturb()
	}
	during := time.Duration(seconds) * time.Second
	all := f.askEach(lightClients, plainRoute, lightRate, during)
	g := f.ask(200, plainRoute, greedyRate, during)
	f.run(during + deadline)
	return total(all).perSecond(seconds), g.perSecond(seconds)
}

func (c client) perSecond(seconds int) client {
	return client{asked: c.asked / seconds, inTime: c.inTime / seconds, late: c.late / seconds, refused: c.refused / seconds}
}

func logf(t *testing.T, all ...client) {
	t.Helper()
	for _, c := range all {
		t.Logf("a second: %d asked, %d in time, %d late, %d refused", c.asked, c.inTime, c.late, c.refused)
	}
}

// Guards against a client that gets slots by sending most, over all balancers and agents: it
// gets what the others leave, all of that, and no more.
func TestGreedyClientGetsWhatOthersLeave(t *testing.T) {
	is := is.New(t)
	light, greedy := compete(newFleet(true), 10, 5, nil)
	logf(t, light, greedy)
	is.True(light.inTime >= light.asked*98/100)
	is.True(light.served()+greedy.served() >= int(0.9*capacity))

	light, greedy = compete(newFleet(false), 10, 5, nil)
	logf(t, light, greedy)
	is.True(light.inTime < light.asked*60/100) // without shares
}

// Guards against a share that is exceeded while others wait: where all ask for more than
// their share, the greedy one gets hardly more than each of the others.
func TestNobodyExceedsItsShareWhileOthersWait(t *testing.T) {
	is := is.New(t)
	light, greedy := compete(newFleet(true), 20, 5, nil)
	logf(t, light, greedy)
	share := (light.served() + greedy.served()) / (lightClients + 1)
	is.True(greedy.served() <= 2*share)
	is.True(greedy.served() >= share/2)
	is.True(light.served()+greedy.served() >= int(0.9*capacity))
}

// Guards against an urgent route behind one that is less so, and against a less urgent one
// that gets less than the urgent one leaves.
func TestLessUrgentGetWhatUrgentLeave(t *testing.T) {
	is := is.New(t)
	f := newFleet(true)
	u := f.askEach(lightClients, urgentRoute, 0.5*capacity/lightClients, 5*time.Second)
	p := f.askEach(lightClients, plainRoute, capacity/lightClients, 5*time.Second)
	f.run(6 * time.Second)
	urgent, plain := total(u).perSecond(5), total(p).perSecond(5)
	logf(t, urgent, plain)
	is.True(urgent.inTime >= urgent.asked*99/100)
	is.True(urgent.served()+plain.served() >= int(0.9*capacity))
}

// Guards against balancers that learn late of a shortage, refuse first packets beside an idle
// slot, or go from refusing all to admitting all, and against a flood at its end.
func TestShortageBeginsAndEndsSmoothly(t *testing.T) {
	is := is.New(t)
	f := newFleet(true)
	calm := f.askEach(lightClients, plainRoute, 0.5*capacity/lightClients, 6*time.Second)
	f.run(time.Second)
	began := f.now
	extra := f.askEach(lightClients, plainRoute, 2*capacity/lightClients, 2*time.Second)
	f.run(2 * time.Second)
	ended := f.now
	f.run(4 * time.Second)

	tenth := 100 * time.Millisecond
	answered := func(at time.Duration) (n int) {
		for _, c := range append(calm, extra...) {
			n += c.answeredAt[at.Truncate(tenth)]
		}
		return n
	}
	full := int(capacity * tenth.Seconds())
	for at := began + 3*tenth; at < ended-tenth; at += tenth {
		is.True(answered(at) >= full*7/10) // slots stay in use throughout
		is.True(f.doorRefusals[at.Truncate(tenth)] > 0)
	}
	for at := ended + 3*tenth; at < ended+20*tenth; at += tenth {
		is.True(answered(at) <= full)
		is.True(f.doorRefusals[at.Truncate(tenth)] <= 2)
		is.True(at < ended+10*tenth || f.doorRefusals[at.Truncate(tenth)] == 0)
	}
	is.Equal(f.idleRefusals, 0)
}

// Guards against shares that are lost with a machine's memory: agents restart beside their
// targets, and a balancer is new.
func TestSharesAreRelearned(t *testing.T) {
	is := is.New(t)
	f := newFleet(true)
	light, _ := compete(f, 10, 5, func() {
		for _, a := range f.agents[:3] {
			a.start(false)
		}
		f.balancers[0].start()
	})
	logf(t, light)
	is.True(light.inTime >= light.asked*95/100)
}

// Guards against callers refused beside free slots, or slots left idle, where reports are lost.
func TestLostReportsKeepSlotsInUse(t *testing.T) {
	is := is.New(t)
	f := newFleet(true)
	f.lostReports = 0.1
	light, greedy := compete(f, 10, 5, nil)
	logf(t, light, greedy)
	is.True(light.inTime >= light.asked*95/100)
	is.True(light.served()+greedy.served() >= int(0.9*capacity))
}

// Guards against a door that is closed by reports of agents of the build before, which don't
// state who waits, and against shares that need the stamps of new balancers.
func TestOldReportsLeaveTheDoorOpen(t *testing.T) {
	is := is.New(t)
	f := newFleet(true)
	f.oldBuild = true
	light, greedy := compete(f, 10, 5, nil)
	logf(t, light, greedy)
	is.Equal(len(f.doorRefusals), 0)
	is.True(light.served()+greedy.served() >= int(0.9*capacity))
	is.True(light.inTime >= light.asked*80/100)
}
