package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/standin/fabric"
)

// A caller's download is whole although each of its packets crosses a balancer
// picked at random, and every flow stays with the one agent it opened at.
func TestDownloadsAreWholeWhenPacketsAreSprayed(t *testing.T) {
	r := standard(t, 2, target)
	for range 4 {
		c := r.caller(desk)
		_, first, err := c.get("/")
		r.is.NoErr(err)
		r.whole(r.startDownload(c))
		_, again, err := c.get("/")
		r.is.NoErr(err)
		r.is.Equal(first, again)
	}
	for _, b := range r.balancers {
		r.is.True(b.metrics.Value("balancer_forward_named") > 100)
		r.is.Equal(b.metrics.Value("balancer_forward_drop_foreign"), int64(0))
	}
}

// The caller's downloads go on to their whole end. A balancer dies while they
// run: packets on their way to it are lost, and agents that answered by it
// switch to another; then one joins that has seen none of the flows.
func TestDownloadSurvivesBalancerDeathAndJoin(t *testing.T) {
	r := standard(t, 2, target)
	var running []*download
	for range 3 {
		running = append(running, r.startDownload(r.caller(desk)))
	}
	time.Sleep(200 * time.Millisecond)
	dead := r.killBalancer("balancer-0")
	time.Sleep(200 * time.Millisecond)
	r.fabric.RemoveBalancer(dead.ip)
	r.addBalancer("balancer-new")
	r.apply()
	for _, d := range running {
		r.whole(d)
	}
	r.is.True(r.balancers["balancer-new"].metrics.Value("balancer_forward_named") > 0)
}

// The caller's feed shows every line, and its download is whole, while each
// balancer in turn is replaced by a new one at another address. No balancer that
// knew the flow's beginning is left at the end.
func TestFeedSurvivesReplacementOfEveryBalancer(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.caller(desk))
	running := r.startDownload(r.caller(desk))
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("new-%d", i))
		old := r.balancers[fmt.Sprintf("balancer-%d", i)]
		r.fabric.RemoveBalancer(old.ip)
		r.apply()
		r.goesOn(feed)
		r.killBalancer(fmt.Sprintf("balancer-%d", i))
		r.apply()
		r.goesOn(feed)
	}
	r.whole(running)
}

// The caller's feed and download go on where packets come late, twice and out
// of order, and some not at all.
func TestLateReorderedDuplicatedPackets(t *testing.T) {
	r := standard(t, 2, target)
	r.fabric.SetFaults(fabric.Faults{
		Loss: 0.02, Duplicate: 0.1, Reorder: 0.1,
		Hold: 15 * time.Millisecond, Delay: time.Millisecond,
	})
	feed := r.openFeed(r.caller(desk))
	r.whole(r.startDownload(r.caller(desk)))
	r.goesOn(feed)
	r.is.True(r.fabric.Stats().Lost > 0)
}

// The caller's feed goes on while one of three balancers is cut off from the
// fabric: a third of its packets vanish, both ways, until the partition heals.
func TestFeedSurvivesPartitionedBalancer(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.caller(desk))
	cut := r.balancers["balancer-1"].ip
	r.fabric.Partition(cut)
	r.goesOn(feed)
	r.fabric.Heal(cut)
	r.goesOn(feed)
}

// A caller whose flow goes silent for good in the middle, both ways, learns of
// it within the idle timeout, as does the agent, which frees the flow's place;
// meanwhile a new flow works.
func TestSilentFlowIsNoticedAtBothEnds(t *testing.T) {
	r := standard(t, 1, target)
	feed := r.openFeed(r.caller(desk))
	r.goesOn(feed)
	var from netip.AddrPort
	for _, from = range r.fabric.Callers() {
		r.fabric.Silence(from)
	}
	r.is.Equal(r.agents[1].Flows(), 1)
	_, _, err := r.caller(desk).get("/")
	r.is.NoErr(err)
	r.eventually("caller is told", func() bool { return feed.err.Load() != nil })
	r.eventually("agent frees the flow", func() bool { return r.agents[1].Flows() == 1 })
}
